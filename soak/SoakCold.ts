/** Engines that are cold after a start: plans the starts, and checks what reaches the engines meanwhile. Pure. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { SoakFault, SoakPlanOptions } from './SoakSchedule.js';
import type { SoakFinding, SoakRecord } from './SoakTypes.js';

/** What the service of the engines declares; low enough that callers' load exceeds it. */
export const SOAK_COLD = { startS: 4, perSecond: 2 };

/** Settings of the bound; a low addition, so that hosts that ignore the bound exceed it under a small load. */
const OVERSHOOT = 1.5;
const SLACK = 1;
export const SOAK_COLD_SETTINGS = [
  `bounds.coldOvershoot=${OVERSHOOT}`,
  `bounds.coldSlack=${SLACK}`,
];

/** Maximum number of requests in each second. */
export const SOAK_MAX_COLD = Math.floor(SOAK_COLD.perSecond * OVERSHOOT + SLACK);

const COLD_START_COUNT = 2;
const MIN_COLD_MS = 3_000;
const WINDOW_MS = 1_000;

/** Faults that hold requests back on their way, so that they arrive together. */
const DELAYING_KINDS: ReadonlySet<string> = new Set(['linkDelay', 'cutInward', 'cutOutward']);

/** Engines of a seed that restart cold. They have their own generator, so that the faults of a seed don't change. */
export function planColdStarts(
  seed: number,
  { endpoints, durationMs }: SoakPlanOptions,
): readonly SoakFault[] {
  const rng = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(rng);
  return Array.from({ length: COLD_START_COUNT }, () => ({
    kind: 'coldStart' as const,
    target: `engine-${1 + Math.floor(next() * endpoints)}`,
    at: Math.round(next() * durationMs * 0.7),
    forMs: MIN_COLD_MS + Math.round(next() * MIN_COLD_MS),
  }));
}

/** Largest group of arrivals in one second. */
function busiestSecond(times: readonly number[]): readonly number[] {
  return times.reduce<readonly number[]>((most, from, i) => {
    const within = times.slice(i).filter((at) => at < from + WINDOW_MS);
    return within.length > most.length ? within : most;
  }, []);
}

/** Cold engines that more requests reached in a second than they tolerate, unless a link held requests back. */
export function checkCold({ coldStarts, injectedFaults }: SoakRecord): readonly SoakFinding[] {
  return coldStarts.flatMap(({ host, engine, arrivals }) => {
    const delays = injectedFaults.filter(
      ({ kind, target }) =>
        DELAYING_KINDS.has(kind) && (target === `endpoint-${host}` || target.startsWith('entry-')),
    );
    const undelayed = arrivals.filter(
      (at) => !delays.some(({ from, until }) => from <= at && at <= until + WINDOW_MS),
    );
    const busiest = busiestSecond(undelayed);
    if (busiest.length <= SOAK_MAX_COLD) {
      return [];
    }
    // Arrivals within a few milliseconds were held up and released together; spread ones were sent too often.
    const offsets = busiest.map((at) => Math.round(at - (busiest[0] ?? at)));
    const detail = `${busiest.length} of ${SOAK_MAX_COLD} in a second at ${engine}, after ms: ${offsets.join(' ')}`;
    return [{ rule: 'a cold engine gets few requests', detail }];
  });
}
