/**
 * Which endpoints of a service an entry process uses: those of its own AZ, at most so many, and a
 * few elsewhere for when its own fail. A pure function of who is there, so it needs no messages.
 */
import type { MemberRecord } from '../protocol/index.js';
import { hashText, rendezvousOrder } from './RoutingHash.js';

/** Endpoints of a service in the own AZ. More than this add connections and no choice. */
export const OWN_ZONE_SUBSET_SIZE = 32;

/** Endpoints of a service in other AZs. */
export const REMOTE_ZONE_SUBSET_SIZE = 8;

/** Who chooses, and the entry processes of its AZ, itself included. */
export interface SubsetSelf {
  readonly id: string;
  readonly zone: string;
  readonly entries: readonly string[];
}

/**
 * Chooses so many of the ids (up to twice as many where they don't divide) for one of the entry processes, such that all are used by about as
 * many: each round of entry processes deals out the same shuffled ids slice by slice (Beyer et al.,
 * "Site Reliability Engineering", 2016, chapter 20). Rendezvous hashing alone leaves some endpoints
 * with half the entry processes of others, which shows as load; figures in docs/design/scale.md.
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
  // Slices of equal parts, so that no id is left over in a round.
  const bound = (i: number): number => Math.floor((i * ids.length) / slices);
  return shuffled.slice(bound(slice), bound(slice + 1));
}

function idsOf(records: readonly MemberRecord[]): readonly string[] {
  return records.map(({ id }) => id);
}

/** Chooses among the serving endpoints of one service. */
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

/** Keeps, of all endpoints, each service's subset. */
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
