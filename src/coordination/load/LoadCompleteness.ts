/**
 * Decides whether the load that a coordinator publishes describes its whole group. A coordinator that has just taken
 * over has the reports of a few ranks, from which the number of running requests can't be estimated.
 */

/** Share of the ranks whose reports make a load complete at once. */
const COMPLETE_SHARE = 0.9;

/** Share of the ranks that is enough after {@link PARTIAL_AFTER_MS}: the others are unreachable, not merely late. */
const PARTIAL_SHARE = 0.5;

/** Time for which reports of {@link PARTIAL_SHARE} of the ranks must have been known under one token, ms. */
const PARTIAL_AFTER_MS = 1_000;

/** Since when the reports of at least half of the ranks have been known under a token, ms; null if they are not. */
export interface LoadCompleteness {
  readonly token: number;
  readonly halfSince: number | null;
}

/** Records how many of the ranks were reported in a load, or are known at this time. */
export function observeCompleteness(
  state: LoadCompleteness,
  token: number,
  reportedShare: number,
  now: number,
): LoadCompleteness {
  if (reportedShare < PARTIAL_SHARE) {
    return { token, halfSince: null };
  }
  return state.token === token && state.halfSince !== null ? state : { token, halfSince: now };
}

/** Whether the load is complete, with the completeness that was observed last. */
export function isCompleteShare(
  { halfSince }: LoadCompleteness,
  reportedShare: number,
  now: number,
): boolean {
  const isPartialLongEnough = halfSince !== null && now - halfSince >= PARTIAL_AFTER_MS;
  return reportedShare >= COMPLETE_SHARE || (isPartialLongEnough && reportedShare >= PARTIAL_SHARE);
}
