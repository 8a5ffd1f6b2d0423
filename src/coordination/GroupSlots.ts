/**
 * Slots at the ranks of a service's groups that one of several entry processes may use.
 *
 * Load reports are up to a quarter of a second old, and all entry processes see the same free slots. If each
 * took all of them, together they would take several times what is free, and the streams would slow each
 * other down until all are late. So at each report a process may add its even share of the free slots to the
 * requests that it runs, and until the next one it may only replace those that end. The next report
 * redistributes the slots that other processes left unused.
 */
import type { GroupLoad } from '../protocol/index.js';
import { DEFAULT_PASS_CORRECTION, passTime } from './EngineModel.js';
import {
  DISCOUNT_END_MS,
  DISCOUNT_START_MS,
  INITIAL_SLOT_LIMIT,
  stepSlotLimit,
  writersAt,
  type LimitParameters,
  type LoadVerdict,
  type SlotLimit,
  type SlotLimitStep,
} from './load/index.js';

/** Endpoint of one rank of a group. */
export interface GroupRank {
  readonly endpoint: string;
  readonly rank: number;
  readonly zone: string;
}

/** Number of own requests at a time. */
interface OwnCount {
  readonly at: number;
  readonly own: number;
}

/** What this process knows of one group. */
export interface GroupSlots {
  readonly group: string;
  readonly ranks: readonly GroupRank[];
  /** Last complete load; null if there is none, or it is too old. */
  readonly load: GroupLoad | null;
  /** When the last complete load arrived, ms. */
  readonly loadAt: number;
  /** Whether the last load stated that the group is open; null if it is not known. */
  readonly open: boolean | null;
  /** When a load that was used arrived, complete or not, ms. */
  readonly heardAt: number;
  /** Use of the last load. */
  readonly verdict: LoadVerdict;
  readonly knowledge: SlotLimit;
  /** When the group was found broken, by a refusal of a rank or a stall, ms; null if it is not broken. */
  readonly brokenAt: number | null;
  /** Requests of this process at each endpoint when the last complete load arrived. */
  readonly ownAtLoad: ReadonlyMap<string, number>;
  /** Recent numbers of own requests at usable ranks, oldest first. */
  readonly ownHistory: readonly OwnCount[];
  /** Requests that this process may run at the group until the next load. */
  readonly allowance: number;
  /** Allowance by the last complete load. */
  readonly allowanceAtLoad: number;
  /** Random number from 0 to 1 that decides whether a fraction of a slot is rounded up. */
  readonly rounding: number;
  /** Maximum number of requests that the whole group should run. */
  readonly limit: number;
  /** Duration of a pass, ms: observed, or else computed from the declared costs. */
  readonly passMs: number;
}

/** Inputs to the calculation of slots. */
export interface SlotParameters extends LimitParameters {
  /** Number of entry processes that share the slots. */
  readonly entryHosts: number;
  /** Whether requests may be sent to an endpoint; all are usable without it. The limit counts usable ranks only. */
  readonly isUsable?: (endpoint: string) => boolean;
}

/**
 * Age of a load from which the requests that it reports, and whether it reports the group as open, are no longer
 * considered known: the coordinator has crashed or is unreachable. In ms.
 */
export const LOAD_TTL_MS = 1_500;

/** Interval between two recorded numbers of own requests, ms; they are kept for {@link LOAD_TTL_MS}. */
const HISTORY_INTERVAL_MS = 50;

/** Factor on a process's even share of the free slots, since not all processes have work at once. */
const OVERCOMMIT = 1.3;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Whether a rank of the group takes requests; a rank whose endpoint isn't known yet does. */
function isUsableRank(
  { ranks }: Pick<GroupSlots, 'ranks'>,
  { isUsable }: SlotParameters,
): (rank: number) => boolean {
  if (isUsable === undefined) {
    return () => true;
  }
  const unusable = new Set(
    ranks.filter(({ endpoint }) => !isUsable(endpoint)).map(({ rank }) => rank),
  );
  return (rank) => !unusable.has(rank);
}

/** Running and queued requests of all processes at the usable ranks, by a load. */
export function runningAtUsable(
  state: Pick<GroupSlots, 'ranks'>,
  { active, queued }: GroupLoad,
  params: SlotParameters,
): number {
  const isUsable = isUsableRank(state, params);
  const atUsable = (values: readonly number[]): number =>
    sum(values.filter((_value, rank) => isUsable(rank)));
  return atUsable(active) + atUsable(queued);
}

/** Number of ranks that the limit counts: usable and not slow, or just usable if all of them are slow. */
function countUsableRanks(
  state: Pick<GroupSlots, 'ranks'>,
  load: GroupLoad | null,
  params: SlotParameters,
): number {
  const isUsable = isUsableRank(state, params);
  const all = load?.active.map((_value, rank) => rank) ?? state.ranks.map(({ rank }) => rank);
  const usable = all.filter(isUsable);
  const slow = new Set(load?.slow);
  const fast = usable.filter((rank) => !slow.has(rank));
  return fast.length > 0 ? fast.length : usable.length;
}

function countOwn(
  ranks: readonly GroupRank[],
  own: ReadonlyMap<string, number>,
  filter: (rank: number) => boolean,
): number {
  return ranks.reduce(
    (total, { endpoint, rank }) => total + (filter(rank) ? (own.get(endpoint) ?? 0) : 0),
    0,
  );
}

/** Even share of a limit, rounded up or down at random so that the shares of all processes add up to it. */
function evenShare(limit: number, { entryHosts }: SlotParameters, rounding: number): number {
  return Math.floor(limit / Math.max(1, entryHosts) + rounding);
}

/**
 * Initial state of a group: without a load this process may use an even share of the slots under a first map. The
 * random number `rounding`, from 0 to 1, decides whether a fraction of a slot is rounded up.
 */
export function initGroupSlots(
  group: string,
  ranks: readonly GroupRank[],
  params: SlotParameters,
  rounding: number,
): GroupSlots {
  const writers = writersAt(INITIAL_SLOT_LIMIT, params, 0);
  const limit = countUsableRanks({ ranks }, null, params) * writers;
  return {
    group,
    ranks,
    load: null,
    loadAt: -Infinity,
    open: null,
    heardAt: -Infinity,
    verdict: 'incomplete',
    knowledge: INITIAL_SLOT_LIMIT,
    brokenAt: null,
    ownAtLoad: new Map(),
    ownHistory: [],
    allowance: evenShare(limit, params, rounding),
    allowanceAtLoad: Infinity,
    rounding,
    limit,
    passMs: passTime(params.costs, writers) * DEFAULT_PASS_CORRECTION,
  };
}

/** Records the number of own requests, so that a delayed load can be compared with those that it knew of. */
function recordOwn(
  state: GroupSlots,
  own: ReadonlyMap<string, number>,
  params: SlotParameters,
  now: number,
): GroupSlots {
  const newest = state.ownHistory.at(-1);
  if (newest !== undefined && now - newest.at < HISTORY_INTERVAL_MS) {
    return state;
  }
  const recent = state.ownHistory.filter(({ at }) => now - at <= LOAD_TTL_MS);
  const count = countOwn(state.ranks, own, isUsableRank(state, params));
  return { ...state, ownHistory: [...recent, { at: now, own: count }] };
}

/**
 * Number of own requests that a load with this delay knew of and that still run. Requests that started since are not in
 * that load; if they were not counted against its free slots, each load of the delay would give out the same slots
 * again.
 */
function ownWhenSent(state: GroupSlots, own: number, delayMs: number, now: number): number {
  const known = state.ownHistory.findLast(({ at }) => at <= now - delayMs) ?? state.ownHistory[0];
  return delayMs > 0 && known !== undefined ? Math.min(known.own, own) : own;
}

/**
 * Discounts the limit while no complete load arrives. Slots that the last one gave out may still be used, and requests
 * that end may be replaced, up to this process's even share of the discounted limit. Once the limit is that under a
 * first map, each process may use its even share: otherwise a group without a coordinator would end up unused.
 */
function discountLimit(state: GroupSlots, params: SlotParameters, now: number): GroupSlots {
  const age = now - state.loadAt;
  if (age <= DISCOUNT_START_MS || state.open === false) {
    return state;
  }
  const limit =
    countUsableRanks(state, state.load, params) * writersAt(state.knowledge, params, now);
  const share = evenShare(limit, params, state.rounding);
  const allowance = age < DISCOUNT_END_MS ? Math.min(state.allowanceAtLoad, share) : share;
  return limit === state.limit && allowance === state.allowance
    ? state
    : { ...state, limit, allowance };
}

/** Forgets whether the group is open or broken if that was found too long ago to count. */
function forgetOpen(state: GroupSlots, now: number): GroupSlots {
  const { brokenAt, heardAt } = state;
  const isBrokenLately = brokenAt !== null && now - brokenAt <= LOAD_TTL_MS;
  const isKnown = state.open !== null || brokenAt !== null;
  return isBrokenLately || !isKnown || now - heardAt <= LOAD_TTL_MS
    ? state
    : { ...state, open: null, brokenAt: null };
}

function forgetLoad(state: GroupSlots, now: number): GroupSlots {
  return state.load === null || now - state.loadAt <= LOAD_TTL_MS
    ? state
    : { ...state, load: null, ownAtLoad: new Map() };
}

/** Applies the passage of time: loads get too old to count, and the limit is discounted. */
export function refreshGroupSlots(
  state: GroupSlots,
  own: ReadonlyMap<string, number>,
  params: SlotParameters,
  now: number,
): GroupSlots {
  const counted = recordOwn(state, own, params, now);
  return discountLimit(forgetLoad(forgetOpen(counted, now), now), params, now);
}

/**
 * Factor on the even share of the free slots. After a time without a coordinator, without a known pass time or without
 * the group, many slots may be free at once while requests wait at all processes, so nothing may be given out beyond
 * what is free.
 */
function overcommit(state: GroupSlots, load: GroupLoad, now: number): number {
  const { knowledge, loadAt, load: last } = state;
  const isFirst = load.token === undefined || knowledge.token === 0;
  const isNext = load.token === knowledge.token && now - loadAt <= DISCOUNT_START_MS;
  return isFirst || (isNext && last !== null && last.passMs !== null) ? OVERCOMMIT : 1;
}

function applyCompleteLoad(
  state: GroupSlots,
  load: GroupLoad,
  { limit: knowledge, writers: writersEach }: SlotLimitStep,
  own: ReadonlyMap<string, number>,
  params: SlotParameters,
  now: number,
  random: number,
): GroupSlots {
  const isUsable = isUsableRank(state, params);
  const running = runningAtUsable(state, load, params);
  const limit = load.open ? countUsableRanks(state, load, params) * writersEach : 0;
  const ownUsable = countOwn(state.ranks, own, isUsable);
  const ownElsewhere = countOwn(state.ranks, own, (rank) => !isUsable(rank));
  const ownSent = ownWhenSent(state, ownUsable, knowledge.delayMs, now);
  const free = Math.max(0, limit - running);
  const freeShare = (free / Math.max(1, params.entryHosts)) * overcommit(state, load, now);
  const kept = running > limit ? (ownSent * limit) / running : ownSent;
  // Drawn anew by each load of a delay, it would in time round up the same free slots at all processes.
  const rounding = knowledge.delayMs > 0 ? state.rounding : random;
  const allowance = Math.floor(kept + freeShare + rounding) + ownElsewhere;
  const writers = sum(load.active) / Math.max(1, load.active.length);
  const estimatedMs = passTime(params.costs, writers) * DEFAULT_PASS_CORRECTION;
  const isPassKnown = load.passMs === null && knowledge.accepted?.isObserved === true;
  return {
    ...state,
    load,
    loadAt: now,
    knowledge,
    ownAtLoad: new Map(own),
    allowance,
    allowanceAtLoad: allowance,
    rounding,
    limit,
    passMs: load.passMs ?? (isPassKnown ? state.passMs : estimatedMs),
  };
}

/**
 * Applies a load; `random`, from 0 to 1, decides whether a fraction of a slot is rounded up. An outdated load changes
 * nothing; an incomplete one changes only whether the group is open, and what is known of its coordinator and epoch.
 */
export function applyGroupLoad(
  state: GroupSlots,
  load: GroupLoad,
  own: ReadonlyMap<string, number>,
  params: SlotParameters,
  now: number,
  random: number,
): GroupSlots {
  const step = stepSlotLimit(state.knowledge, load, params, now);
  const { verdict } = step;
  if (verdict === 'outdated') {
    return { ...state, verdict };
  }
  const counted = recordOwn(state, own, params, now);
  const heard: GroupSlots = {
    ...counted,
    verdict,
    open: load.open,
    heardAt: now,
    brokenAt: load.open ? null : state.brokenAt,
    // All requests of the earlier epoch have ended, and so has what the last load said of them.
    ...(step.isNewEpoch ? { load: null, loadAt: -Infinity, allowanceAtLoad: Infinity } : {}),
  };
  return verdict === 'complete'
    ? applyCompleteLoad(heard, load, step, own, params, now, random)
    : refreshGroupSlots({ ...heard, knowledge: step.limit }, own, params, now);
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
export function isOpenGroup({ open, brokenAt }: GroupSlots): boolean {
  return brokenAt === null && open !== false;
}

/** Number of requests that this process runs at a group. */
export function ownRequestsAt(state: GroupSlots, own: ReadonlyMap<string, number>): number {
  return countOwn(state.ranks, own, () => true);
}

/** Number of slots that this process may still use at a group. */
export function freeSlotsAt(state: GroupSlots, own: ReadonlyMap<string, number>): number {
  return Math.max(0, state.allowance - ownRequestsAt(state, own));
}
