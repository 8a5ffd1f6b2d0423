/** Prompts of soak requests: the parts that they share, and one that crashes the engines that answer on it. */
import { setTimeout as delay } from 'node:timers/promises';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { overlapsUnplannedFault } from './SoakFaultOverlap.js';
import type { SoakFinding, SoakRecord } from './SoakTypes.js';

/** Id of the part that crashes engines. */
export const FATAL_PART = 'fa7a1';

/** Begin of the bodies of requests with that part; the rest differs. */
export const FATAL_PART_BODY = 'with a fatal part';

const FIRST_PARTS = 5;
const SECOND_PARTS = 11;
const SEND_INTERVAL_MS = 400;

/** Number of crashes after which the part must be held back, the time until it is, ms, and how often it may still run. */
const MAX_CRASHES = 5;
const PROPAGATION_MS = 3_000;
const MAX_LATE_EXECUTIONS = 3;

/** The parts of the prompt of the n-th request; the last one is its own. */
export function promptOf(n: number, isFatal: boolean): readonly string[] {
  return [`a${n % FIRST_PARTS}`, isFatal ? FATAL_PART : `b${n % SECOND_PARTS}`, `c${n}`];
}

/** When requests with the fatal part begin, ms from the start of load. Has its own generator, like the other plans. */
export function planFatalPart(seed: number, durationMs: number): number {
  return Math.round((uniformFloat64(xoroshiro128plus(seed + 1)) * durationMs) / 2);
}

/**
 * Sends requests with the fatal part from `fromMs` until `untilMs` from now, or none if `fromMs` is null; their answers
 * aren't awaited.
 */
export async function sendFatalParts(
  fromMs: number | null,
  untilMs: number,
  send: () => Promise<unknown>,
): Promise<void> {
  if (fromMs === null) {
    return;
  }
  const startedAt = performance.now();
  await delay(fromMs);
  while (performance.now() - startedAt < untilMs) {
    send().catch(() => undefined);
    // eslint-disable-next-line no-await-in-loop
    await delay(SEND_INTERVAL_MS);
  }
}

/**
 * Requests with a part that crashed five engines soon reach no engine any more. Executions during an unplanned fault or
 * shortly after it don't count.
 */
export function checkParts({
  engineCrashes,
  injectedFaults,
  fatalPartExecutions,
}: SoakRecord): readonly SoakFinding[] {
  const crashTimes = engineCrashes
    .filter(({ body }) => body.startsWith(FATAL_PART_BODY))
    .map(({ at }) => at)
    .sort((a, b) => a - b);
  const boundAt = (crashTimes[MAX_CRASHES - 1] ?? Infinity) + PROPAGATION_MS;
  const late = fatalPartExecutions.filter(
    ({ at }) =>
      at > boundAt &&
      !overlapsUnplannedFault({ injectedFaults, engineCrashes: [] }, { sentAt: at, endedAt: at }),
  );
  const detail = `${late.length} requests ran too late, ${crashTimes.length} engines crashed`;
  return late.length > MAX_LATE_EXECUTIONS
    ? [{ rule: 'a part that ends engines is held', detail }]
    : [];
}
