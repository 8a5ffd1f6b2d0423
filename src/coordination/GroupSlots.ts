/**
 * Slots at the ranks of a service's groups that one of several entry processes may use.
 *
 * Load reports are up to a quarter of a second old, and all entry processes see the same free slots. If each
 * took all of them, together they would take several times what is free, and the streams would slow each
 * other down until all are late. So at each report a process may add its even share of the free slots to the
 * requests that it runs, and until the next one it may only replace those that end. The next report
 * redistributes the slots that other processes left unused.
 */
import type { EngineCosts, GroupLoad } from '../protocol/index.js';
import {
  passCorrection,
  passTime,
  skewCorrection,
  DEFAULT_PASS_CORRECTION,
  maxWritersFor,
} from './EngineModel.js';

/** Endpoint of one rank of a group. */
export interface GroupRank {
  readonly endpoint: string;
  readonly rank: number;
  readonly zone: string;
}

/** What this process knows of one group. */
export interface GroupSlots {
  readonly group: string;
  readonly ranks: readonly GroupRank[];
  readonly load: GroupLoad | null;
  /** When the load report arrived, ms. */
  readonly loadAt: number;
  /** When the group was found broken, by a refusal of a rank or a stall, ms; null if it is not broken. */
  readonly brokenAt: number | null;
  /** Requests of this process at each endpoint when the load report arrived. */
  readonly ownAtLoad: ReadonlyMap<string, number>;
  /** Requests that this process may run at the group until the next load report. */
  readonly allowance: number;
  /** Maximum number of requests that the whole group should run. */
  readonly limit: number;
  /** Duration of a pass, ms: observed, or else computed from the declared costs. */
  readonly passMs: number;
}

/** Inputs to the calculation of slots. */
export interface SlotParameters {
  readonly costs: EngineCosts;
  /** Longest pause between two events of a stream that counts as on time, ms. */
  readonly pauseMs: number;
  /** Number of entry processes that share the slots. */
  readonly entryHosts: number;
  /** Whether an endpoint may be sent requests; the limit counts only the ranks at such endpoints. By default all. */
  readonly isUsable?: (endpoint: string) => boolean;
}

/** A load report older than this is ignored: the coordinator has crashed or is unreachable. In ms. */
export const LOAD_TTL_MS = 1_500;

/** Part of the longest pause that a pass may take, since prompts are read between passes. */
const MAX_PASS_SHARE = 0.9;

/** Writers (streams being generated) that each rank may have even if passes are too long: late answers have value. */
const MIN_WRITERS = 2;

/** Factor on a process's even share of the free slots, since not all processes have work at once. */
const OVERCOMMIT = 1.3;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Maximum number of writers on a rank, by the costs and the correction; may be a fraction. */
function maxWriters({ costs, pauseMs }: SlotParameters, correction: number): number {
  const allowed = maxWritersFor(costs, correction, pauseMs * MAX_PASS_SHARE);
  return Math.min(costs.slots, Math.max(MIN_WRITERS, allowed));
}

/** Initial state of a group: without a load report this process may use an even share of all slots. */
export function initGroupSlots(
  group: string,
  ranks: readonly GroupRank[],
  params: SlotParameters,
): GroupSlots {
  const limit = ranks.length * maxWriters(params, DEFAULT_PASS_CORRECTION);
  return {
    group,
    ranks,
    load: null,
    loadAt: -Infinity,
    brokenAt: null,
    ownAtLoad: new Map(),
    allowance: Math.ceil(limit / Math.max(1, params.entryHosts)),
    limit,
    passMs: passTime(params.costs, limit / Math.max(1, ranks.length)),
  };
}

/**
 * Factor by which passes take longer than declared: from observed passes, or, before any was observed, from the
 * skew of the map in use.
 *
 * No pass has been observed when a group has just opened with its first map. If all slots were given out at
 * once, passes would exceed the longest pause half a second later, and all these streams would be late. The
 * skew predicts how long passes will be. Once passes have been observed the skew is ignored: counting both
 * gives out fewer slots during each shift of demand, and more requests are late while they wait for one (a
 * score of 0.722 instead of 0.773 where demand shifts every 3.5 s).
 */
function loadCorrection({ costs }: SlotParameters, writers: number, load: GroupLoad): number {
  const observed = passCorrection(costs, writers, load.passMs);
  return load.passMs === null ? Math.max(observed, skewCorrection(costs, load.skew)) : observed;
}

/** Applies a load report; `random`, from 0 to 1, decides whether a fraction of a slot is rounded up. */
export function applyGroupLoad(
  state: GroupSlots,
  load: GroupLoad,
  own: ReadonlyMap<string, number>,
  params: SlotParameters,
  now: number,
  random: number,
): GroupSlots {
  const ranks = Math.max(1, load.active.length);
  const running = sum(load.active) + sum(load.queued);
  const writers = sum(load.active) / ranks;
  const correction = loadCorrection(params, writers, load);
  const slow = load.slow?.length ?? 0;
  const usable = slow < ranks ? ranks - slow : ranks;
  const limit = load.open ? usable * maxWriters(params, correction) : 0;
  const ownRunning = sum(state.ranks.map(({ endpoint }) => own.get(endpoint) ?? 0));
  const free = limit - running;
  const freeShare = (Math.max(0, free) / Math.max(1, params.entryHosts)) * OVERCOMMIT;
  const kept = running > limit ? (ownRunning * limit) / running : ownRunning;
  return {
    ...state,
    load,
    loadAt: now,
    brokenAt: load.open ? null : state.brokenAt,
    ownAtLoad: new Map(own),
    allowance: Math.floor(kept + freeShare + random),
    limit,
    passMs: load.passMs ?? passTime(params.costs, writers) * DEFAULT_PASS_CORRECTION,
  };
}

/**
 * Marks the group as broken, for as long as a load report would count.
 *
 * When the group's coordinator is lost together with one of its ranks, no load report says that the group is
 * broken. Once the last report expired, the group would count as open, and each request and its second attempt
 * would go to ranks that refuse them.
 */
export function markGroupBroken(state: GroupSlots, now: number): GroupSlots {
  return { ...state, brokenAt: now };
}

/** Marks the group as recovered, after an event of one of its streams has arrived. */
export function markGroupRecovered(state: GroupSlots): GroupSlots {
  return state.brokenAt === null ? state : { ...state, brokenAt: null };
}

/** Whether the group answers, as far as this process knows. */
export function isOpenGroup({ load, brokenAt }: GroupSlots): boolean {
  return brokenAt === null && (load === null || load.open);
}

/** This process's own streams at a group. */
export interface OwnStreams {
  /** Number of streams whose first event has arrived and whose last has not. */
  readonly writingCount: number;
  /** When the last event of any of them arrived, ms. */
  readonly lastEventAt: number;
}

/** Number of passes without an event of any own stream after which a group counts as stalled. */
const STALL_PASSES = 4;

/** Minimum time for that, ms: events arrive in bursts when a host is busy, and prompts lengthen a pass. */
const MIN_STALL_MS = 300;

/**
 * Whether a group has stalled: each pass brings an event of each stream, and none has arrived for several passes.
 *
 * When a rank is unreachable, the others wait 1.5 s for it before they report it. A request sent meanwhile
 * may have run when it fails, so its caller can't be told to retry and the request is lost; or it hangs
 * on a connection to the unreachable rank until its caller leaves. So the group counts as broken after 0.3 s
 * without an event, and new requests wait here, where they can't have run.
 */
export function isGroupStalled(state: GroupSlots, own: OwnStreams, now: number): boolean {
  const stallMs = Math.max(MIN_STALL_MS, STALL_PASSES * state.passMs);
  return own.writingCount > 0 && now - own.lastEventAt > stallMs;
}

/** Resets the group's state if its load report, or the time it was found broken, is too old to count. */
export function dropStaleLoad(state: GroupSlots, params: SlotParameters, now: number): GroupSlots {
  const { load, loadAt, brokenAt } = state;
  if (brokenAt !== null && now - brokenAt <= LOAD_TTL_MS) {
    return state;
  }
  const isLoadStale = load !== null && now - loadAt > LOAD_TTL_MS;
  const isBrokenStale = brokenAt !== null && load === null;
  return isLoadStale || isBrokenStale ? initGroupSlots(state.group, state.ranks, params) : state;
}

/** Number of requests that this process runs at a group. */
export function ownRequestsAt(state: GroupSlots, own: ReadonlyMap<string, number>): number {
  return sum(state.ranks.map(({ endpoint }) => own.get(endpoint) ?? 0));
}

/** Number of slots that this process may still use at a group. */
export function freeSlotsAt(state: GroupSlots, own: ReadonlyMap<string, number>): number {
  return Math.max(0, state.allowance - ownRequestsAt(state, own));
}

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
