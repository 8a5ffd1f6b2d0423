/**
 * Which endpoints of a service an entry process uses: a limited number in its own AZ, and a few in other
 * AZs in case those fail. A pure function of the members, so it needs no messages.
 */
import type { MemberRecord } from '../protocol/index.js';
import { hashText, rendezvousOrder } from './RoutingHash.js';

/** Endpoints of a service in the own AZ; more would add connections without improving the choice. */
export const OWN_ZONE_SUBSET_SIZE = 32;

/** Endpoints of a service in all other AZs together. */
export const REMOTE_ZONE_SUBSET_SIZE = 8;

/** The entry process that chooses, and the ids of all entry processes of its AZ, including its own. */
export interface SubsetSelf {
  readonly id: string;
  readonly zone: string;
  readonly entries: readonly string[];
}

/**
 * Deterministic subsetting (Beyer et al., "Site Reliability Engineering", 2016, chapter 20): chooses `size` of the
 * ids (up to twice as many if they don't divide evenly) for one of the entry processes, so that about as many
 * processes use each id. Each round of entry processes divides the same shuffled ids into slices, one per process.
 * With rendezvous hashing alone some endpoints have half as many entry processes as others, and uneven load; figures
 * are in docs/design/scale.md.
 */
export function deterministicSubset(
  ids: readonly string[],
  entries: readonly string[],
  self: string,
  size: number,
): readonly string[] {
  if (ids.length <= size) {
    return ids;
  }
  const slices = Math.floor(ids.length / size);
  const position = Math.max(0, [...entries].sort().indexOf(self));
  const round = Math.floor(position / slices);
  const shuffled = rendezvousOrder(hashText(`round ${round}`), ids);
  const slice = position % slices;
  // Slices of about equal size, so that no id is left over in a round.
  const bound = (i: number): number => Math.floor((i * ids.length) / slices);
  return shuffled.slice(bound(slice), bound(slice + 1));
}

function idsOf(records: readonly MemberRecord[]): readonly string[] {
  return records.map(({ id }) => id);
}

/** Ids of the endpoints to use, among the serving endpoints of one service. */
export function selectSubset(
  records: readonly MemberRecord[],
  { id, zone, entries }: SubsetSelf,
): ReadonlySet<string> {
  const own = idsOf(records.filter((record) => record.zone === zone));
  const remote = idsOf(records.filter((record) => record.zone !== zone));
  return new Set([
    ...deterministicSubset(own, entries, id, OWN_ZONE_SUBSET_SIZE),
    ...deterministicSubset(remote, entries, id, REMOTE_ZONE_SUBSET_SIZE),
  ]);
}

/** Filters endpoints to the subset of each service; records of other roles are dropped. */
export function filterToSubsets(
  records: readonly MemberRecord[],
  self: SubsetSelf,
): readonly MemberRecord[] {
  const byService = new Map<string, MemberRecord[]>();
  records.forEach((record) => {
    if (record.role === 'endpoint' && record.offer !== undefined) {
      const key = `${record.offer.fleet}/${record.offer.service}`;
      const known = byService.get(key);
      if (known === undefined) {
        byService.set(key, [record]);
      } else {
        known.push(record);
      }
    }
  });
  return [...byService.values()].flatMap((endpoints) => {
    const chosen = selectSubset(endpoints, self);
    return endpoints.filter(({ id }) => chosen.has(id));
  });
}
