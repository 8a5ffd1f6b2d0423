/** Chooses the rank of a group to which a request is sent. */
import { freeSlotsAt, isOpenGroup, type GroupRank, type GroupSlots } from './GroupSlots.js';

/**
 * Weight of the requests that other processes run at a rank, from the last load report. All processes see the
 * same report, so with full weight they would all choose one rank. Own requests count in full and at once.
 */
const OTHERS_WEIGHT = 0.4;

/** Weighted number of requests at a rank, for the choice of a rank. */
export function workAt(
  state: GroupSlots,
  { endpoint, rank }: GroupRank,
  own: ReadonlyMap<string, number>,
): number {
  const reported = (state.load?.active[rank] ?? 0) + (state.load?.queued[rank] ?? 0);
  const others = Math.max(0, reported - (state.ownAtLoad.get(endpoint) ?? 0));
  return (own.get(endpoint) ?? 0) + OTHERS_WEIGHT * others;
}

/** A rank in another AZ must have this many requests less to be worth the traffic between AZs. */
const REMOTE_ZONE_PENALTY = 0.9;

/** Number of ranks sampled for a request from the own AZ, and from all AZs. */
const LOCAL_SAMPLE = 2;
const ANY_SAMPLE = 2;

interface Candidate {
  readonly state: GroupSlots;
  readonly rank: GroupRank;
}

function sample<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
  return Array.from({ length: count }, () => items[Math.floor(random() * items.length)]).flatMap(
    (item) => (item === undefined ? [] : [item]),
  );
}

/** Ranks of a group that may take a request; slow ranks only if there are no others. */
function usableRanks(
  { load, ranks }: GroupSlots,
  exclude: readonly string[],
): readonly GroupRank[] {
  const left = ranks.filter(({ endpoint }) => !exclude.includes(endpoint));
  const slow = load?.slow ?? [];
  const notSlow = slow.length === 0 ? left : left.filter(({ rank }) => !slow.includes(rank));
  return notSlow.length > 0 ? notSlow : left;
}

/** Ranks that may take a request: those of open groups with free slots, or else of any open group. */
function listCandidates(
  groups: readonly GroupSlots[],
  own: ReadonlyMap<string, number>,
  exclude: readonly string[],
): readonly Candidate[] {
  const usable = groups
    .filter(isOpenGroup)
    .filter(({ ranks }) => ranks.some(({ endpoint }) => !exclude.includes(endpoint)));
  const withFreeSlots = usable.filter((state) => freeSlotsAt(state, own) > 0);
  return (withFreeSlots.length > 0 ? withFreeSlots : usable).flatMap((state) =>
    usableRanks(state, exclude).map((rank) => ({ state, rank })),
  );
}

/**
 * Chooses the endpoint for a request: the one with the least work among a few ranks sampled at random, half of them
 * from the own AZ. Null if no rank may take it.
 *
 * Many processes see the same load report for a quarter of a second. If each compared all ranks, all would
 * send to those that were idle in the report, which then queue requests while others have free slots. With 31
 * processes and 72 ranks, 3 in 100 requests meet a full rank instead of 10 when all ranks are compared, and the
 * fullest rank has 1.8 times the mean instead of 2.5 (bench `routing`).
 */
export function chooseRank(
  groups: readonly GroupSlots[],
  own: ReadonlyMap<string, number>,
  zone: string,
  exclude: readonly string[],
  random: () => number,
): string | null {
  const all = listCandidates(groups, own, exclude);
  const local = all.filter(({ rank }) => rank.zone === zone);
  const drawn = [...sample(local, LOCAL_SAMPLE, random), ...sample(all, ANY_SAMPLE, random)];
  const scored = drawn.map(({ state, rank }) => ({
    endpoint: rank.endpoint,
    score: workAt(state, rank, own) + (rank.zone === zone ? 0 : REMOTE_ZONE_PENALTY),
  }));
  const [first] = scored;
  return first === undefined
    ? null
    : scored.reduce((a, b) => (b.score < a.score ? b : a), first).endpoint;
}
