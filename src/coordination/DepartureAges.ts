/**
 * How long departures have been in the log, as one control process has seen it. The log has no time, so the leader
 * measures the age by its own monotonic clock; a new leader may keep a departure longer, and none keeps it shorter.
 */
import type { MemberRecord } from '../protocol/index.js';
import { departureKey, type DepartureKey, type Departures } from '../state/index.js';
import { TOMBSTONE_MS } from './MembershipHub.js';

/** Maximum number of departures that one command drops, so that an entry of the log stays small. */
const MAX_DROPPED_TOGETHER = 512;

/** Departures with the time at which they were first seen, ms, by the endpoint's id. */
export type DepartureAges = ReadonlyMap<
  string,
  { readonly record: MemberRecord; readonly since: number }
>;

/** Notes departures that are new, and leaves out those that have been dropped or replaced. */
export function updateDepartureAges(
  ages: DepartureAges,
  departures: Departures,
  now: number,
): DepartureAges {
  return new Map(
    Object.values(departures).map((record) => {
      const known = ages.get(record.id);
      const isSame =
        known?.record.incarnation === record.incarnation && known.record.version === record.version;
      return [record.id, { record, since: isSame ? known.since : now }];
    }),
  );
}

/** Departures that are older than any message that may still arrive; at most as many as one command may drop. */
export function expiredDepartures(ages: DepartureAges, now: number): readonly DepartureKey[] {
  return [...ages.values()]
    .filter(({ since }) => now - since > TOMBSTONE_MS)
    .slice(0, MAX_DROPPED_TOGETHER)
    .map(({ record }) => departureKey(record));
}
