/**
 * Retries of one service that an entry process may send by itself.
 *
 * If calls fail in a burst and every entry host retries them, the retries crowd out first attempts. So over any window
 * all hosts together send at most a ratio of the requests plus a fixed number of retries. Each process earns the ratio
 * with the requests that it reads; the fixed number is granted by the control processes (`RetryGrants`).
 *
 * The bounds of the hosts add up to that of the service only if each host's bound holds for the same windows as all
 * others'. So it is checked for every window that a retry may arrive in, and the requests that pay for the retries of a
 * window are those of the window half a length before it. docs/design/retries.md gives the reasoning.
 */
import type { RetryAllowance } from '../protocol/index.js';
import { mayHaveBeenSuspended, type ClockReading } from './ConfigFreshness.js';

/** A retry must be sent within this time after it was allowed, ms. */
const SEND_WITHIN_MS = 500;

/** Time from the send of a retry within which it must have arrived at the endpoint, or have a further allowance, ms. */
const DELIVERY_MS = 1_000;

/** Time for which an allowance holds, from the decision to the arrival at the endpoint, ms. */
export const ARRIVAL_MS = SEND_WITHIN_MS + DELIVERY_MS;

/** A retry that hasn't arrived this long after it was allowed needs a further allowance, ms. */
export const EXTEND_AFTER_MS = ARRIVAL_MS - SEND_WITHIN_MS;

/** Length of the intervals in which requests and retries are counted, ms. */
const BUCKET_MS = 250;

/** Maximum time from the send of a request by its caller until it is read, ms. */
const REQUEST_DELAY_MS = BUCKET_MS;

/** Requests and retries counted in one interval of {@link BUCKET_MS}. */
interface RetryBucket {
  /** Number of the interval on the local monotonic clock. */
  readonly index: number;
  readonly requests: number;
  readonly retries: number;
}

/** Requests of a service that this process has read, and the retries that it has paid for with them. */
export interface RetryBudgetState {
  /** In order of time. */
  readonly buckets: readonly RetryBucket[];
  readonly readAt: ClockReading | null;
}

/** An allowance of one retry: it must have arrived, or be aborted, by {@link ARRIVAL_MS} after `allowedAt`. */
export interface RetryPermit {
  readonly allowedAt: ClockReading;
  /** Whether requests that this process has read pay for it; otherwise a control process has granted it. */
  readonly isEarned: boolean;
}

/** Nothing read yet. */
export const EMPTY_RETRY_BUDGET: RetryBudgetState = { buckets: [], readAt: null };

/** Whether a retry that was allowed at `allowedAt` may still be sent. */
export function mayStillSend(allowedAt: ClockReading, now: ClockReading): boolean {
  const isInTime = now.monotonic - allowedAt.monotonic <= SEND_WITHIN_MS;
  return isInTime && !mayHaveBeenSuspended(allowedAt, now);
}

function indexOf(monotonic: number): number {
  return Math.floor(monotonic / BUCKET_MS);
}

/** Number of intervals in which the retries may have been allowed that arrive in one window. */
function spanOf({ windowMs }: RetryAllowance): number {
  return Math.ceil((windowMs + ARRIVAL_MS) / BUCKET_MS);
}

/** Offset of the first and the last interval whose requests count, from the interval in which a window begins. */
function requestOffsets({ windowMs }: RetryAllowance): readonly [number, number] {
  const half = windowMs / 2;
  const first = 1 + Math.ceil((ARRIVAL_MS - half + REQUEST_DELAY_MS) / BUCKET_MS);
  return [first, Math.floor((ARRIVAL_MS + half) / BUCKET_MS) - 1];
}

/**
 * Drops what no window needs any more. After a suspension the requests of before are dropped too: by true time they
 * may have left the windows that they would be counted in.
 */
function prune(
  state: RetryBudgetState,
  now: ClockReading,
  allowance: RetryAllowance,
): RetryBudgetState {
  const [firstOffset] = requestOffsets(allowance);
  const oldest = indexOf(now.monotonic) - spanOf(allowance) + Math.min(0, firstOffset);
  const recent = state.buckets.filter(({ index }) => index >= oldest);
  const isSuspended = state.readAt !== null && mayHaveBeenSuspended(state.readAt, now);
  return {
    buckets: isSuspended ? recent.map((bucket) => ({ ...bucket, requests: 0 })) : recent,
    readAt: now,
  };
}

function addTo(
  state: RetryBudgetState,
  now: ClockReading,
  { requests, retries }: Omit<RetryBucket, 'index'>,
): RetryBudgetState {
  const index = indexOf(now.monotonic);
  const last = state.buckets.at(-1);
  const known = last?.index === index ? last : { index, requests: 0, retries: 0 };
  const others = last?.index === index ? state.buckets.slice(0, -1) : state.buckets;
  const bucket = { index, requests: known.requests + requests, retries: known.retries + retries };
  return { ...state, buckets: [...others, bucket] };
}

/** Counts a request that a caller has sent. */
export function countRequest(
  state: RetryBudgetState,
  now: ClockReading,
  allowance: RetryAllowance,
): RetryBudgetState {
  return addTo(prune(state, now, allowance), now, { requests: 1, retries: 0 });
}

/** Sums of one count over all intervals up to and including an interval. */
function runningSums(
  buckets: readonly RetryBucket[],
  count: 'requests' | 'retries',
  from: number,
  to: number,
): readonly number[] {
  const counts = new Map(buckets.map((bucket) => [bucket.index, bucket[count]]));
  let sum = 0;
  return Array.from({ length: to - from + 1 }, (_item, i) => {
    sum += counts.get(from + i) ?? 0;
    return sum;
  });
}

/** Number of further retries that the requests read here pay for now, in every window; may be a fraction. */
export function earnedRetries(
  { buckets }: RetryBudgetState,
  now: ClockReading,
  allowance: RetryAllowance,
): number {
  const current = indexOf(now.monotonic);
  const begin = current - spanOf(allowance);
  const [first, last] = requestOffsets(allowance);
  const from = begin + Math.min(0, first) - 1;
  const requests = runningSums(buckets, 'requests', from, current);
  const retries = runningSums(buckets, 'retries', from, current);
  const upTo = (sums: readonly number[], index: number): number =>
    sums[Math.max(0, Math.min(index, current) - from)] ?? 0;
  const left = Array.from({ length: current - begin + 1 }, (_item, i) => {
    const start = begin + i;
    const paying = upTo(requests, start + last) - upTo(requests, start + first - 1);
    const spent = upTo(retries, current) - upTo(retries, start - 1);
    return allowance.ratio * Math.max(0, paying) - spent;
  });
  return Math.min(...left);
}

/** Pays for one retry with requests read here, if they suffice. */
export function spendEarnedRetry(
  state: RetryBudgetState,
  now: ClockReading,
  allowance: RetryAllowance,
): { readonly state: RetryBudgetState; readonly allowed: boolean } {
  const pruned = prune(state, now, allowance);
  const allowed = earnedRetries(pruned, now, allowance) >= 1;
  return {
    state: allowed ? addTo(pruned, now, { requests: 0, retries: 1 }) : pruned,
    allowed,
  };
}

/** Takes back what an earned retry has spent. */
function refund(state: RetryBudgetState, allowedAt: ClockReading): RetryBudgetState {
  const index = indexOf(allowedAt.monotonic);
  return {
    ...state,
    buckets: state.buckets.map((bucket) =>
      bucket.index === index && bucket.retries > 0
        ? { ...bucket, retries: bucket.retries - 1 }
        : bucket,
    ),
  };
}

/**
 * Moves an earned retry that may still be on its way to now, if the requests read here pay for it now too.
 *
 * It arrives once, so it need not be paid for twice: windows that it has left can't gain a retry any more.
 */
export function moveEarnedRetry(
  state: RetryBudgetState,
  allowedAt: ClockReading,
  now: ClockReading,
  allowance: RetryAllowance,
): { readonly state: RetryBudgetState; readonly allowed: boolean } {
  const step = spendEarnedRetry(refund(state, allowedAt), now, allowance);
  return step.allowed ? step : { state, allowed: false };
}
