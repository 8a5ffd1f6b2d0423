/**
 * Places at the ranks of a service's groups, as one of several entry processes may use them.
 *
 * Failure: reports are a quarter of a second old, and all entry processes see the same free places.
 * Symptom: together they take several times what is free; writers slow each other until all are late.
 * Enough: at each report a process may add its even part of what is free to what it runs, and may put a
 * new request where one of its own has ended; what others leave unused is shared out by the next report.
 */
import type { EngineCosts, GroupLoad } from '../protocol/index.js';
import {
  passCorrection,
  passTime,
  skewCorrection,
  DEFAULT_PASS_CORRECTION,
  maxWritersFor,
} from './EngineModel.js';

/** One rank's endpoint. */
export interface GroupRank {
  readonly endpoint: string;
  readonly rank: number;
  readonly zone: string;
}

/** What is known of one group. */
export interface GroupSlots {
  readonly group: string;
  readonly ranks: readonly GroupRank[];
  readonly load: GroupLoad | null;
  /** When the load came, ms. */
  readonly loadAt: number;
  /** When a rank said that the group is broken, ms; null where a load since then says otherwise. */
  readonly brokenAt: number | null;
  /** Requests that this process runs at each endpoint when the load came. */
  readonly ownAtLoad: ReadonlyMap<string, number>;
  /** Requests that this process may run at the group until the next load. */
  readonly allowance: number;
  /** Requests that the whole group should run at most. */
  readonly limit: number;
  /** Time of a pass at that load, ms. */
  readonly passMs: number;
}

/** What the figures are worked out from. */
export interface SlotParameters {
  readonly costs: EngineCosts;
  /** Longest pause between two events that is on time, ms. */
  readonly pauseMs: number;
  /** Entry processes that share the places. */
  readonly entryHosts: number;
}

/** A load older than this says nothing; the coordinator is gone or out of reach. In ms. */
export const LOAD_TTL_MS = 1_500;

/** Part of the longest pause that a pass may take: prompts are read in between. */
const MAX_PASS_SHARE = 0.9;

/** Writers that each rank keeps even where passes are too long: late answers are worth something. */
const MIN_WRITERS = 2;

/** More of the free places than its even part that a process may take: not all have work at once. */
const OVERCOMMIT = 1.3;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Writers on each rank that the costs and the passes observed allow. */
function maxWriters({ costs, pauseMs }: SlotParameters, correction: number): number {
  const within = maxWritersFor(costs, correction, pauseMs * MAX_PASS_SHARE);
  return Math.min(costs.slots, Math.max(MIN_WRITERS, within));
}

/** A group just seen: without a load this process takes an even part of all places. */
export function initGroupSlots(
  group: string,
  ranks: readonly GroupRank[],
  rules: SlotParameters,
): GroupSlots {
  const limit = ranks.length * maxWriters(rules, DEFAULT_PASS_CORRECTION);
  return {
    group,
    ranks,
    load: null,
    loadAt: -Infinity,
    brokenAt: null,
    ownAtLoad: new Map(),
    allowance: Math.ceil(limit / Math.max(1, rules.entryHosts)),
    limit,
    passMs: passTime(rules.costs, limit / Math.max(1, ranks.length)),
  };
}

/**
 * What makes passes longer than declared: what was observed, and until then the skew of the map in use.
 *
 * Failure: a group has just opened, with its first map. Symptom: all places are given at once, and half a
 * second later a pass takes longer than the longest pause, so that all these streams are late. Enough: the
 * skew tells how long passes will be. Once passes are observed they count alone: with the skew beside
 * them fewer places are given during each shift of demand, and more requests are late for want of one (worth
 * 0.722 instead of 0.773 where demand shifts every 3.5 s).
 */
function loadCorrection({ costs }: SlotParameters, writers: number, load: GroupLoad): number {
  const observed = passCorrection(costs, writers, load.passMs);
  return load.passMs === null ? Math.max(observed, skewCorrection(costs, load.skew)) : observed;
}

/** Takes a group's load; `random` from 0 to 1 decides on the fraction of a place. */
export function applyGroupLoad(
  state: GroupSlots,
  load: GroupLoad,
  own: ReadonlyMap<string, number>,
  rules: SlotParameters,
  now: number,
  random: number,
): GroupSlots {
  const ranks = Math.max(1, load.active.length);
  const running = sum(load.active) + sum(load.queued);
  const writers = sum(load.active) / ranks;
  const correction = loadCorrection(rules, writers, load);
  const slow = load.slow?.length ?? 0;
  const usable = slow < ranks ? ranks - slow : ranks;
  const limit = load.open ? usable * maxWriters(rules, correction) : 0;
  const ownRunning = sum(state.ranks.map(({ endpoint }) => own.get(endpoint) ?? 0));
  const free = limit - running;
  const part = (Math.max(0, free) / Math.max(1, rules.entryHosts)) * OVERCOMMIT;
  const kept = running > limit ? (ownRunning * limit) / running : ownRunning;
  return {
    ...state,
    load,
    loadAt: now,
    brokenAt: load.open ? null : state.brokenAt,
    ownAtLoad: new Map(own),
    allowance: Math.floor(kept + part + random),
    limit,
    passMs: load.passMs ?? passTime(rules.costs, writers) * DEFAULT_PASS_CORRECTION,
  };
}

/**
 * Takes what a refusal proves: the whole group is broken.
 *
 * Failure: the group's coordinator is lost together with one of its ranks, so that no load tells of it.
 * Symptom: what is known of the group grows old, it passes for open, and each request and its second try
 * go to ranks that refuse them. Enough: a rank's word counts as long as a load would.
 */
export function markGroupBroken(state: GroupSlots, now: number): GroupSlots {
  return { ...state, brokenAt: now };
}

/** The group is heard again: an event of a stream has come from it. */
export function markGroupRecovered(state: GroupSlots): GroupSlots {
  return state.brokenAt === null ? state : { ...state, brokenAt: null };
}

/** Whether the group answers, as far as is known. */
export function isOpenGroup({ load, brokenAt }: GroupSlots): boolean {
  return brokenAt === null && (load === null || load.open);
}

/** What this process sees of its own streams at a group. */
export interface OwnStreams {
  /** Streams whose first event has come and whose last hasn't. */
  readonly writingCount: number;
  /** When an event of any of them came last, ms. */
  readonly lastEventAt: number;
}

/** Passes without an event of any own stream after which a group with writers stands still. */
const STALL_PASSES = 4;

/** The least time for that, ms: events come in bunches when a host is busy, and prompts lengthen a pass. */
const MIN_STALL_MS = 300;

/**
 * Whether a group stands still: each pass brings an event of each stream, and none has come for several.
 *
 * Failure: a rank is out of reach, and the others wait for it before they say so, 1.5 s. Symptom: what is
 * sent meanwhile may have run when it comes back broken, so that nobody may tell its caller to return, and
 * it is lost; or it hangs in a connection to the rank that is out of reach until its caller leaves. Enough:
 * after 0.3 s of silence the group counts as broken, and what comes waits here instead, and hasn't run.
 */
export function isGroupStalled(state: GroupSlots, own: OwnStreams, now: number): boolean {
  const silence = Math.max(MIN_STALL_MS, STALL_PASSES * state.passMs);
  return own.writingCount > 0 && now - own.lastEventAt > silence;
}

/** The group's state once its load, or a rank's word that it is broken, is too old to count. */
export function dropStaleLoad(state: GroupSlots, rules: SlotParameters, now: number): GroupSlots {
  const { load, loadAt, brokenAt } = state;
  if (brokenAt !== null && now - brokenAt <= LOAD_TTL_MS) {
    return state;
  }
  const isLoadStale = load !== null && now - loadAt > LOAD_TTL_MS;
  const isBrokenStale = brokenAt !== null && load === null;
  return isLoadStale || isBrokenStale ? initGroupSlots(state.group, state.ranks, rules) : state;
}

/** Requests that this process runs at a group. */
export function ownRequestsAt(state: GroupSlots, own: ReadonlyMap<string, number>): number {
  return sum(state.ranks.map(({ endpoint }) => own.get(endpoint) ?? 0));
}

/** Places that this process may still take at a group. */
export function freeSlotsAt(state: GroupSlots, own: ReadonlyMap<string, number>): number {
  return Math.max(0, state.allowance - ownRequestsAt(state, own));
}

/**
 * Weight of what others run at a rank, by the last load. All processes see the same load, so in full it
 * would draw them all to one rank; what this process runs itself counts in full and at once.
 */
const OTHERS_WEIGHT = 0.4;

/** Requests at a rank as they weigh on the choice. */
export function workAt(
  state: GroupSlots,
  { endpoint, rank }: GroupRank,
  own: ReadonlyMap<string, number>,
): number {
  const reported = (state.load?.active[rank] ?? 0) + (state.load?.queued[rank] ?? 0);
  const others = Math.max(0, reported - (state.ownAtLoad.get(endpoint) ?? 0));
  return (own.get(endpoint) ?? 0) + OTHERS_WEIGHT * others;
}

/** A rank elsewhere must have this much less work to be worth bytes between AZs. */
const REMOTE_ZONE_PENALTY = 0.9;

/** Ranks of the own AZ, and of any AZ, that are looked at for a request. */
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

/** Ranks of a group that may take a request, without those that are slow as long as there are others. */
function usableRanks(
  { load, ranks }: GroupSlots,
  exclude: readonly string[],
): readonly GroupRank[] {
  const left = ranks.filter(({ endpoint }) => !exclude.includes(endpoint));
  const slow = load?.slow ?? [];
  const notSlow = slow.length === 0 ? left : left.filter(({ rank }) => !slow.includes(rank));
  return notSlow.length > 0 ? notSlow : left;
}

/** Ranks that may take a request: those of groups with places left, else those of any open group. */
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
 * The endpoint for a request: of a few ranks drawn at random, most of them in the own AZ, the one with
 * least work.
 *
 * Failure: many processes see the same report for a quarter of a second. Symptom: all send to the ranks
 * that were idle in it, which then queue while others have places. Enough: each looks at a few ranks of
 * its own draw. With 31 processes before 72 ranks, 3 in 100 requests meet a full rank instead of 10, and
 * the fullest rank has 1.8 times the mean instead of 2.5 (bench `routing`, against a look at all ranks).
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
