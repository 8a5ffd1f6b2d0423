/** When a system may cut answers off. Pure. */
import { ODDITIES } from './SoakOddities.js';
import type { SoakAttempt, SoakRecord } from './SoakTypes.js';

/** After an unplanned disturbance cut answers are its own for this long, ms. */
const DISTURBED_MS = 3_000;

/** Kinds of events that a system must bear without cutting off an answer. */
const PLANNED = new Set<string>([
  'entryTerm',
  'hangUp',
  'configure',
  'withdraw',
  'drain',
  'orderLost',
  ...ODDITIES.filter((kind) => kind !== 'cutLast'),
]);

/** Whether anything but planned work disturbed the system while an attempt ran, or shortly before. */
export function isDisturbed(
  { events, engineEnds }: Pick<SoakRecord, 'events' | 'engineEnds'>,
  { sentAt, endedAt }: Pick<SoakAttempt, 'sentAt' | 'endedAt'>,
): boolean {
  const unplanned = events.filter(({ kind }) => !PLANNED.has(kind));
  const ends = engineEnds.map(({ at }) => ({ from: at, until: at }));
  return [...unplanned, ...ends].some(
    ({ from, until }) => from <= endedAt && until + DISTURBED_MS >= sentAt,
  );
}
