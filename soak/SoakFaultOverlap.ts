/** When a system may cut answers off. Pure. */
import { UNUSUAL_ANSWERS } from './SoakUnusualAnswers.js';
import type { SoakAttempt, SoakRecord } from './SoakTypes.js';

/** After an unplanned disturbance cut answers are its own for this long, ms. */
const AFTERMATH_MS = 3_000;

/** Kinds of events that a system must bear without cutting off an answer. */
const PLANNED_KINDS = new Set<string>([
  'entryTerm',
  'hangUp',
  'configure',
  'withdraw',
  'drain',
  'orderLost',
  ...UNUSUAL_ANSWERS.filter((kind) => kind !== 'cutLast'),
]);

/** Whether anything but planned work disturbed the system while an attempt ran, or shortly before. */
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
