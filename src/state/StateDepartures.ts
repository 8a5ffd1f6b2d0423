/**
 * Acknowledged departures of endpoints that announce themselves by heartbeats, in the replicated state. A departure is
 * the record with which the endpoint announced that it is leaving or gone: a record that isn't newer is a late one.
 */
import type { MemberRecord } from '../protocol/index.js';
import { isNewerRecord } from './StateDirectory.js';

/** The newest departure of each endpoint, by its id. */
export type Departures = Readonly<Record<string, MemberRecord>>;

/** Identifies a departure. */
export type DepartureKey = Pick<MemberRecord, 'id' | 'incarnation' | 'version'>;

/**
 * Maximum number of departures: several replacements of all endpoints of the largest system within the time for which
 * they are kept. Each takes some 200 bytes of every snapshot of the log.
 */
export const MAX_DEPARTURES = 16_384;

/** Key of a departure. */
export function departureKey({ id, incarnation, version }: DepartureKey): DepartureKey {
  return { id, incarnation, version };
}

/** The departure of an endpoint; undefined if there is none. */
export function findDeparture(departures: Departures, id: string): MemberRecord | undefined {
  return Object.hasOwn(departures, id) ? departures[id] : undefined;
}

/** Adds departures unless ones as new are there; null if there are too many. */
export function addDepartures(
  departures: Departures,
  records: readonly MemberRecord[],
): Departures | null {
  const next = new Map(Object.entries(departures));
  records
    .filter((record) => isNewerRecord(record, next.get(record.id)))
    .forEach((record) => next.set(record.id, record));
  return next.size > MAX_DEPARTURES && next.size > Object.keys(departures).length
    ? null
    : Object.fromEntries(next);
}

/** Drops departures, except those that newer ones have replaced. */
export function dropDepartures(
  departures: Departures,
  dropped: readonly DepartureKey[],
): Departures {
  const kept = new Map(Object.entries(departures));
  dropped.forEach(({ id, incarnation, version }) => {
    const known = kept.get(id);
    if (known?.incarnation === incarnation && known.version === version) {
      kept.delete(id);
    }
  });
  return Object.fromEntries(kept);
}
