/**
 * Retries of one service that one of several entry processes may spend.
 *
 * Failure: a burst makes calls fail, and each is tried again at every entry host. Symptom: the
 * retries crowd out first tries. Enough: over any window the processes together send no more than a
 * ratio of the first tries plus a fixed number: each earns the ratio by its own first tries, and the
 * fixed part is divided by the count of processes; while that count isn't known, nothing of it is
 * spent.
 */

/** What is allowed over a window, for all entry processes together. */
export interface RetryAllowance {
  readonly ratio: number;
  readonly extra: number;
  readonly windowMs: number;
}

/** First tries and retries of a service, at the times at which they were sent. */
export interface RetryBudgetState {
  readonly firstAttempts: readonly number[];
  readonly retries: readonly number[];
}

/** Nothing sent yet. */
export const EMPTY_RETRY_BUDGET: RetryBudgetState = { firstAttempts: [], retries: [] };

/** Part of the allowance that is used: windows of the processes don't begin together. */
const USABLE_SHARE = 0.8;

function timesAfter(times: readonly number[], since: number): readonly number[] {
  const first = times.findIndex((at) => at > since);
  return first < 0 ? [] : times.slice(first);
}

/** Counts a first try. */
export function countFirstAttempt(
  state: RetryBudgetState,
  now: number,
  { windowMs }: RetryAllowance,
): RetryBudgetState {
  return { ...state, firstAttempts: [...timesAfter(state.firstAttempts, now - windowMs), now] };
}

/** Takes one retry, if the budget allows it. `processes` is 0 while unknown. */
export function takeRetryWithin(
  state: RetryBudgetState,
  now: number,
  allowance: RetryAllowance,
  processes: number,
): { readonly state: RetryBudgetState; readonly allowed: boolean } {
  const since = now - allowance.windowMs;
  const firsts = timesAfter(state.firstAttempts, since);
  const retries = timesAfter(state.retries, since);
  const fixed = processes > 0 ? allowance.extra / processes : 0;
  const maxRetries = USABLE_SHARE * (allowance.ratio * firsts.length + fixed);
  return retries.length + 1 > maxRetries
    ? { state: { firstAttempts: firsts, retries }, allowed: false }
    : { state: { firstAttempts: firsts, retries: [...retries, now] }, allowed: true };
}
