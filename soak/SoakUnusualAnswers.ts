/** Plans the unusual answers of engines in a soak run, alone and around other faults. Pure. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { StandInUnusualAnswer } from '../platform/__tests__/utils/StandInUnusualAnswers.js';
import type { SoakFault, SoakPlanOptions } from './SoakSchedule.js';

/** Kinds of unusual answers: a second answer behind a plain one, resets without a length, and the stand-in's own. */
export type SoakUnusualAnswer = StandInUnusualAnswer | 'extra' | 'resetUnframed';

export const UNUSUAL_ANSWERS = [
  'extra',
  'stale',
  'unframed',
  'resetHalf',
  'resetUnframed',
  'pieces',
  'cutLast',
  'full',
  'failure',
] as const satisfies readonly SoakUnusualAnswer[];

const UNUSUAL_ANSWER_SET: ReadonlySet<string> = new Set(UNUSUAL_ANSWERS);

export function isUnusualAnswer(kind: string): kind is SoakUnusualAnswer {
  return UNUSUAL_ANSWER_SET.has(kind);
}

/** Maximum duration of one kind, ms. */
const MAX_DURATION_MS = 1_500;

/** Kinds in one series at one engine, and the time from the start of one to the start of the next, ms. */
const SERIES_LENGTH = 4;
const SERIES_INTERVAL_MS = 400;

/** Share of the faults of `ACCOMPANIED_KINDS` that get a series around them. */
const ACCOMPANIED_SHARE = 0.25;

/** Maximum time by which a series starts before or after the fault that it accompanies, ms. */
const MAX_OFFSET_MS = 300;

/** Faults that unusual answers are combined with: signals, restarts and changes of configuration. */
const ACCOMPANIED_KINDS: ReadonlySet<string> = new Set([
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
 * Unusual answers of a seed: series at one engine each, some independent and some around the faults given. They have
 * their own generator, so that the faults of a seed don't change.
 */
export function planUnusualAnswers(
  seed: number,
  { endpoints, durationMs, faultsPerSecond }: SoakPlanOptions,
  faults: readonly SoakFault[],
): readonly SoakFault[] {
  const rng = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(rng);
  const series = (from: number): readonly SoakFault[] => {
    const target = `engine-${1 + Math.floor(next() * endpoints)}`;
    return Array.from({ length: SERIES_LENGTH }, (_item, i) => ({
      kind: UNUSUAL_ANSWERS[Math.floor(next() * UNUSUAL_ANSWERS.length)] ?? 'extra',
      target,
      at: Math.max(0, Math.round(from + i * SERIES_INTERVAL_MS)),
      forMs: Math.round(MAX_DURATION_MS * next()),
    }));
  };
  const independent = Array.from(
    { length: Math.ceil((durationMs * faultsPerSecond) / 8_000) },
    () => series(next() * durationMs),
  );
  const accompanying = faults
    .filter(({ kind }) => ACCOMPANIED_KINDS.has(kind) && next() < ACCOMPANIED_SHARE)
    .map(({ at }) => series(at + MAX_OFFSET_MS * (2 * next() - 1)));
  return [...independent, ...accompanying].flat();
}
