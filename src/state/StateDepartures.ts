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

/** Adds a departure unless one as new is there; null if there are too many. */
export function addDeparture(departures: Departures, record: MemberRecord): Departures | null {
  const known = Object.hasOwn(departures, record.id) ? departures[record.id] : undefined;
  if (!isNewerRecord(record, known)) {
    return departures;
  }
  return known === undefined && Object.keys(departures).length >= MAX_DEPARTURES
    ? null
    : { ...departures, [record.id]: record };
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
