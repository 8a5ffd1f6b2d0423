/** Tells when faults may excuse answers that were cut off. Pure. */
import { UNUSUAL_ANSWERS } from './SoakUnusualAnswers.js';
import type { SoakAttempt, SoakRecord } from './SoakTypes.js';

/** Answers cut off up to this long after an unplanned fault are attributed to it, ms. */
const AFTERMATH_MS = 3_000;

/** Kinds of faults during which the system must not cut off an answer. */
const PLANNED_KINDS = new Set<string>([
  'entryTerm',
  'hangUp',
  'configure',
  'withdraw',
  'drain',
  'deregister',
  'orderLost',
  ...UNUSUAL_ANSWERS.filter((kind) => kind !== 'cutLast'),
]);

/** Whether an unplanned fault or an engine crash overlaps an attempt, or ended shortly before it. */
export function overlapsUnplannedFault(
  { injectedFaults, engineCrashes }: Pick<SoakRecord, 'injectedFaults' | 'engineCrashes'>,
  { sentAt, endedAt }: Pick<SoakAttempt, 'sentAt' | 'endedAt'>,
): boolean {
  const unplanned = injectedFaults.filter(({ kind }) => !PLANNED_KINDS.has(kind));
  const crashes = engineCrashes.map(({ at }) => ({ from: at, until: at }));
  return [...unplanned, ...crashes].some(
    ({ from, until }) => from <= endedAt && until + AFTERMATH_MS >= sentAt,
  );
}
