/**
 * Limit on the requests at a group, as a process knows it from the loads that coordinators publish.
 *
 * Coordinators die, and a successor knows neither the ranks' reports nor the pass time at first. If its first loads
 * were taken at face value, a full group would look empty and fast, and would be given half as many requests again as
 * it can run on time. So loads of replaced coordinators and repeated loads are not used, loads with too few reports
 * state only whether the group is open, and the last limit is kept, discounted with its age.
 */
import type { EngineCosts, GroupLoad } from '../../protocol/index.js';
import {
  DEFAULT_PASS_CORRECTION,
  maxWritersFor,
  passCorrection,
  skewCorrection,
} from '../EngineModel.js';
import { isCompleteShare, observeCompleteness, type LoadCompleteness } from './LoadCompleteness.js';

/** Costs and objective from which a limit is calculated. */
export interface LimitParameters {
  readonly costs: EngineCosts;
  /** Longest pause between two events of a stream that counts as on time, ms. */
  readonly pauseMs: number;
}

/** Writers (streams being generated) that each rank may have, and where that number is from. */
interface AcceptedLimit {
  readonly writers: number;
  /** When it was observed or calculated, ms. */
  readonly at: number;
  /** Whether it is from an observed pass time rather than from a skew. */
  readonly isObserved: boolean;
}

/** What is known of the limit of one group. */
export interface SlotLimit {
  /** Highest token seen; 0 before any. */
  readonly token: number;
  /** Newest epoch seen; null before any. */
  readonly epoch: number | null;
  /** Skew of the first map that was received last; null before any. */
  readonly firstSkew: number | null;
  readonly completeness: LoadCompleteness;
  /** When the newest load under the token was sent, ms on the coordinator's clock; null where it isn't stated. */
  readonly sentAt: number | null;
  /**
   * Smallest difference between arrival and sending under the token, ms, which includes that of the two clocks; raised
   * by {@link MAX_CLOCK_DRIFT}.
   */
  readonly fastestMs: number;
  /** When the first load under the token arrived, ms. */
  readonly tokenSince: number;
  /** Delay of the last load of the previous coordinator, ms; 0 once a load of this one has shown to be faster. */
  readonly inheritedMs: number;
  /** Delay of the last load, ms. */
  readonly delayMs: number;
  /** Null where no load has been accepted in the group's epoch. */
  readonly accepted: AcceptedLimit | null;
}

/** Use of a load: in full, only whether the group is open, or not at all. */
export type LoadVerdict = 'complete' | 'incomplete' | 'outdated';

/** Result of a load. */
export interface SlotLimitStep {
  readonly limit: SlotLimit;
  readonly verdict: LoadVerdict;
  /** Writers that each rank may have. */
  readonly writers: number;
  /** Whether the group has formed anew since the last load. */
  readonly isNewEpoch: boolean;
}

/** Skew of a first map where none is known: 2.8 to 4.3 were observed, mostly around 3. */
export const DEFAULT_FIRST_SKEW = 3;

/** Age of the last load from which its limit is discounted, ms: one and a half intervals between loads. */
export const DISCOUNT_START_MS = 400;

/**
 * Age at which the limit has fallen to that under a first map, ms. Demand shifts every 2 to 3.6 s, so by then the map
 * in use may fit the demand no better than a first one.
 */
export const DISCOUNT_END_MS = 3_000;

/** A load that arrives later by no more than this counts as timely, ms: the interval between loads. */
const TIMELY_MS = 250;

/**
 * Rate at which the fastest load of a coordinator is forgotten, as a part of the elapsed time. The clocks of two hosts
 * drift apart, by up to 500 ppm while one is adjusted. Over hours under one token, all loads would come to count as
 * delayed.
 */
const MAX_CLOCK_DRIFT = 0.0005;

/**
 * Time for which a new coordinator's loads count as delayed as much as its predecessor's, ms. How long they take can't
 * be told from the first ones, and a slow path may well be slow for the successor too.
 */
const INHERITED_MS = 5_000;

/** Part of the longest pause that a pass may take, since prompts are read between passes. */
const MAX_PASS_SHARE = 0.9;

/** Writers that each rank may have even if passes are too long: late answers have value. */
const MIN_WRITERS = 2;

/** State before any load. */
export const INITIAL_SLOT_LIMIT: SlotLimit = {
  token: 0,
  epoch: null,
  firstSkew: null,
  completeness: { token: 0, halfSince: null },
  sentAt: null,
  fastestMs: Infinity,
  tokenSince: -Infinity,
  inheritedMs: 0,
  delayMs: 0,
  accepted: null,
};

/** Maximum number of writers on a rank, by the costs and the correction; may be a fraction. */
function maxWriters({ costs, pauseMs }: LimitParameters, correction: number): number {
  const allowed = maxWritersFor(costs, correction, pauseMs * MAX_PASS_SHARE);
  return Math.min(costs.slots, Math.max(MIN_WRITERS, allowed));
}

/** Maximum number of writers on a rank under a map of this skew, without an observed pass time. */
function writersUnderSkew(params: LimitParameters, skew: number): number {
  const correction = Math.max(DEFAULT_PASS_CORRECTION, skewCorrection(params.costs, skew));
  return maxWriters(params, correction);
}

/** Writers that each rank may have by the last accepted limit, discounted with its age. */
export function writersAt(
  { accepted, firstSkew }: SlotLimit,
  params: LimitParameters,
  now: number,
): number {
  const lowest = writersUnderSkew(params, firstSkew ?? DEFAULT_FIRST_SKEW);
  if (accepted === null) {
    return lowest;
  }
  const discount = (now - accepted.at - DISCOUNT_START_MS) / (DISCOUNT_END_MS - DISCOUNT_START_MS);
  const excess = Math.max(0, accepted.writers - lowest);
  return accepted.writers - excess * Math.min(1, Math.max(0, discount));
}

/**
 * Limit by a complete load: from its observed pass time; from the limit known before, if that was observed lately; or
 * else from the skew of the map in use.
 *
 * No pass has been observed when a group has just opened with its first map. If all slots were given out at once,
 * passes would exceed the longest pause half a second later, and all these streams would be late. The skew predicts
 * how long passes will be. Once passes have been observed the skew is ignored: counting both gives out fewer slots
 * during each shift of demand, and more requests are late while they wait for one (a score of 0.722 instead of 0.773
 * where demand shifts every 3.5 s).
 */
function acceptLoad(
  { accepted }: SlotLimit,
  load: GroupLoad,
  params: LimitParameters,
  now: number,
): AcceptedLimit {
  if (load.passMs !== null) {
    const active = load.active.reduce((total, value) => total + value, 0);
    const writers = active / Math.max(1, load.active.length);
    const correction = passCorrection(params.costs, writers, load.passMs);
    return { writers: maxWriters(params, correction), at: now, isObserved: true };
  }
  return accepted?.isObserved === true && now - accepted.at < DISCOUNT_END_MS
    ? accepted
    : { writers: writersUnderSkew(params, load.skew), at: now, isObserved: false };
}

/** Whether the load is from a replaced coordinator, or repeats or precedes one that was seen. */
function isOutdated(limit: SlotLimit, { token = 0, sentAt }: GroupLoad): boolean {
  const isRepeated =
    token === limit.token &&
    sentAt !== undefined &&
    limit.sentAt !== null &&
    sentAt <= limit.sentAt;
  return token < limit.token || isRepeated;
}

type Timing = Pick<SlotLimit, 'sentAt' | 'fastestMs' | 'tokenSince' | 'inheritedMs' | 'delayMs'>;

/**
 * Estimates by how much a load is delayed: it is compared with the fastest one of the same coordinator, since the
 * clocks of two hosts can't be.
 */
function observeTiming(limit: SlotLimit, { token = 0, sentAt }: GroupLoad, now: number): Timing {
  const isSameToken = token === limit.token;
  const tokenSince = isSameToken ? limit.tokenSince : now;
  if (sentAt === undefined) {
    return { sentAt: null, fastestMs: Infinity, tokenSince, inheritedMs: 0, delayMs: 0 };
  }
  const transitMs = now - sentAt;
  const driftMs = (sentAt - (limit.sentAt ?? sentAt)) * MAX_CLOCK_DRIFT;
  const knownMs = isSameToken ? limit.fastestMs + driftMs : transitMs;
  const isFaster = transitMs < knownMs - TIMELY_MS;
  const inheritedMs = isSameToken ? limit.inheritedMs : limit.delayMs;
  const assumedMs = isFaster || now - tokenSince > INHERITED_MS ? 0 : inheritedMs;
  const fastestMs = Math.min(knownMs, transitMs);
  const lateMs = Math.max(assumedMs, transitMs - fastestMs);
  const delayMs = lateMs > TIMELY_MS ? lateMs : 0;
  return { sentAt, fastestMs, tokenSince, inheritedMs: assumedMs, delayMs };
}

/** Records the coordinator, the epoch, the timing and the completeness that a load states. */
function observeSender(limit: SlotLimit, load: GroupLoad, now: number): SlotLimit {
  const { token = 0 } = load;
  const ranks = Math.max(1, load.active.length);
  const reportedShare = (load.reported ?? ranks) / ranks;
  const isNewEpoch = limit.epoch !== null && (load.epoch ?? limit.epoch) > limit.epoch;
  return {
    ...observeTiming(limit, load, now),
    token,
    epoch: load.epoch === undefined ? limit.epoch : Math.max(load.epoch, limit.epoch ?? load.epoch),
    firstSkew: load.firstSkew ?? limit.firstSkew,
    completeness: observeCompleteness(limit.completeness, token, reportedShare, now),
    // The first map of a newly formed group has another skew, so the pass time observed before says nothing of it.
    accepted: isNewEpoch ? null : limit.accepted,
  };
}

/** Applies a load. */
export function stepSlotLimit(
  before: SlotLimit,
  load: GroupLoad,
  params: LimitParameters,
  now: number,
): SlotLimitStep {
  if (isOutdated(before, load)) {
    const writers = writersAt(before, params, now);
    return { limit: before, verdict: 'outdated', writers, isNewEpoch: false };
  }
  const heard = observeSender(before, load, now);
  const isNewEpoch = before.epoch !== null && heard.epoch !== before.epoch;
  const ranks = Math.max(1, load.active.length);
  const reportedShare = (load.reported ?? ranks) / ranks;
  const isComplete = isCompleteShare(heard.completeness, reportedShare, now);
  // While a group is closed it runs no passes, and the load says nothing of how fast they will be.
  const accepted = isComplete && load.open ? acceptLoad(heard, load, params, now) : heard.accepted;
  const limit = { ...heard, accepted };
  return {
    limit,
    verdict: isComplete ? 'complete' : 'incomplete',
    writers: writersAt(limit, params, now),
    isNewEpoch,
  };
}
