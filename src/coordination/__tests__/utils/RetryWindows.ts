/** Checks the retries of a service over all entry hosts against the allowance, as the endpoints see them. */
import type { RetryAllowance } from '../../index.js';

/** A window with the retries that arrived in it. */
export interface RetryWindow {
  /** Start of the window, ms. */
  readonly from: number;
  readonly retries: number;
  readonly allowed: number;
}

/** Number of leading items of sorted times that fulfil a condition. */
function countLeading(times: readonly number[], holds: (at: number) => boolean): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (holds(times[middle] ?? 0)) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

/** Number of times in [from, from + windowMs]; `times` are sorted. */
function countWithin(times: readonly number[], from: number, windowMs: number): number {
  const upTo = countLeading(times, (at) => at <= from + windowMs);
  return upTo - countLeading(times, (at) => at < from);
}

/**
 * The window with the most retries of its allowance.
 *
 * @param requests When callers sent requests for the service, ms, sorted. A window counts those in it, in the window
 * before it or in the one half a window before it, whichever has most.
 * @param retries When attempts beyond the first of their request arrived at endpoints, ms, sorted.
 */
export function worstRetryWindow(
  requests: readonly number[],
  retries: readonly number[],
  { ratio, extra, windowMs }: RetryAllowance,
): RetryWindow {
  const none: RetryWindow = { from: 0, retries: 0, allowed: extra };
  return retries.reduce((worst, from) => {
    const counts = [0, windowMs / 2, windowMs].map((before) =>
      countWithin(requests, from - before, windowMs),
    );
    const allowed = ratio * Math.max(...counts) + extra;
    const window = { from, retries: countWithin(retries, from, windowMs), allowed };
    return window.retries / allowed > worst.retries / worst.allowed ? window : worst;
  }, none);
}
