/** The allowance of retries of a service, and how all hosts' retries compare with it in each window. */

/** Retries allowed over a window, for all entry processes together. */
export interface RetryAllowance {
  /** Retries per request. */
  readonly ratio: number;
  /** Fixed number of retries in addition. */
  readonly extra: number;
  readonly windowMs: number;
}

/** When a retry can have arrived at its endpoint, ms: a time from the first to the last. */
export interface RetryArrival {
  readonly earliest: number;
  readonly latest: number;
}

/** A window with the retries that can have arrived in it. */
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

function sorted(times: readonly number[]): readonly number[] {
  return [...times].sort((a, b) => a - b);
}

/**
 * The window with the most retries of its allowance.
 *
 * @param requests When callers sent requests for the service, ms. A window counts those in it, in the window before it
 * or in the one half a window before it, whichever has most.
 * @param arrivals When attempts beyond the first of their request can have arrived at endpoints. One that can have
 * arrived in several windows counts in each.
 */
export function worstRetryWindow(
  requests: readonly number[],
  arrivals: readonly RetryArrival[],
  { ratio, extra, windowMs }: RetryAllowance,
): RetryWindow {
  const requestTimes = sorted(requests);
  const earliest = sorted(arrivals.map((arrival) => arrival.earliest));
  const latest = sorted(arrivals.map((arrival) => arrival.latest));
  const windowAt = (from: number): RetryWindow => {
    const counts = [0, windowMs / 2, windowMs].map((before) =>
      countWithin(requestTimes, from - before, windowMs),
    );
    const begun = countLeading(earliest, (at) => at <= from + windowMs);
    const retries = begun - countLeading(latest, (at) => at < from);
    return { from, retries, allowed: ratio * Math.max(...counts) + extra };
  };
  const starts = [...earliest, ...latest, ...earliest.map((at) => at - windowMs)];
  const none: RetryWindow = { from: 0, retries: 0, allowed: extra };
  return starts.map(windowAt).reduce((worst, window) => {
    const isWorse = window.retries * worst.allowed > worst.retries * window.allowed;
    return isWorse ? window : worst;
  }, none);
}

/** Arrivals at times that are known, ms. */
export function arrivalsAt(times: readonly number[]): readonly RetryArrival[] {
  return times.map((at) => ({ earliest: at, latest: at }));
}
