/** Unusual answers of engines in a soak run: which, when, and beside what. Pure. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { StandInUnusualAnswer } from '../platform/__tests__/utils/StandInUnusualAnswers.js';
import type { SoakFault, SoakShape } from './SoakSchedule.js';

/** Kinds of unusual answers: second ones at once, resets without a length, and all of the stand-in's own. */
export type SoakOddity = StandInUnusualAnswer | 'extra' | 'resetUnframed';

export const ODDITIES = [
  'extra',
  'stale',
  'unframed',
  'resetHalf',
  'resetUnframed',
  'pieces',
  'cutLast',
  'full',
  'failure',
] as const satisfies readonly SoakOddity[];

const KINDS: ReadonlySet<string> = new Set(ODDITIES);

export function isOddity(kind: string): kind is SoakOddity {
  return KINDS.has(kind);
}

/** Most time that one kind lasts, ms. */
const MOST_MS = 1_500;

/** Kinds in one series at one engine, and time from the begin of one to the next, ms. */
const SERIES = 4;
const STEP_MS = 400;

/** Share of disturbances that meet a series. */
const MEETING_SHARE = 0.25;

/** A series begins at most so long before or after the disturbance that it meets, ms. */
const MEETING_MS = 300;

/** Disturbances that unusual answers are to meet: signals, restarts and changes of configuration. */
const MET: ReadonlySet<string> = new Set([
  'entryKill',
  'entryPause',
  'entryTerm',
  'endpointKill',
  'endpointPause',
  'hangUp',
  'engineCrash',
  'drain',
  'configure',
  'withdraw',
]);

/**
 * Unusual answers of a seed: one after the other at one engine, alone and beside its disturbances. Drawn by themselves,
 * so that the disturbances of a seed stay as they are.
 */
export function planOddities(
  seed: number,
  { endpoints, lengthMs, rate }: SoakShape,
  faults: readonly SoakFault[],
): readonly SoakFault[] {
  const rng = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(rng);
  const series = (from: number): readonly SoakFault[] => {
    const target = `engine-${1 + Math.floor(next() * endpoints)}`;
    return Array.from({ length: SERIES }, (_item, i) => ({
      kind: ODDITIES[Math.floor(next() * ODDITIES.length)] ?? 'extra',
      target,
      at: Math.max(0, Math.round(from + i * STEP_MS)),
      forMs: Math.round(MOST_MS * next()),
    }));
  };
  const alone = Array.from({ length: Math.ceil((lengthMs * rate) / 8_000) }, () =>
    series(next() * lengthMs),
  );
  const meeting = faults
    .filter(({ kind }) => MET.has(kind) && next() < MEETING_SHARE)
    .map(({ at }) => series(at + MEETING_MS * (2 * next() - 1)));
  return [...alone, ...meeting].flat();
}
