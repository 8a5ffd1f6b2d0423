/**
 * Retries of one service that one of several entry processes may send.
 *
 * If calls fail in a burst and every entry host retries them, the retries crowd out first attempts.
 * So over any window all processes together send at most a ratio of the first attempts plus a fixed
 * number of retries. Each process earns the ratio with its own first attempts, and the fixed number is
 * divided by the number of processes; while that is unknown, none of the fixed number is used.
 */

/** Retries allowed over a window, for all entry processes together. */
export interface RetryAllowance {
  /** Retries per first attempt. */
  readonly ratio: number;
  /** Fixed number of retries in addition. */
  readonly extra: number;
  readonly windowMs: number;
}

/** When the first attempts and the retries of a service were sent, ms. */
export interface RetryBudgetState {
  readonly firstAttempts: readonly number[];
  readonly retries: readonly number[];
}

/** Whether a retry may be sent, with the numbers that decide it. */
export interface RetryDecision {
  readonly state: RetryBudgetState;
  readonly allowed: boolean;
  /** Retries of this process within the window, without this one. */
  readonly spent: number;
  /** How many retries this process may send within the window. */
  readonly maxRetries: number;
}

/** Nothing sent yet. */
export const EMPTY_RETRY_BUDGET: RetryBudgetState = { firstAttempts: [], retries: [] };

/** Part of the allowance that is used, since the windows of the processes don't begin together. */
const USABLE_SHARE = 0.8;

function timesAfter(times: readonly number[], since: number): readonly number[] {
  const first = times.findIndex((at) => at > since);
  return first < 0 ? [] : times.slice(first);
}

/** Counts a first attempt sent at `now`. */
export function countFirstAttempt(
  state: RetryBudgetState,
  now: number,
  { windowMs }: RetryAllowance,
): RetryBudgetState {
  return { ...state, firstAttempts: [...timesAfter(state.firstAttempts, now - windowMs), now] };
}

/** Spends one retry, if the budget allows it. `processes` is 0 while their number is unknown. */
export function takeRetryWithin(
  state: RetryBudgetState,
  now: number,
  allowance: RetryAllowance,
  processes: number,
): RetryDecision {
  const since = now - allowance.windowMs;
  const firstAttempts = timesAfter(state.firstAttempts, since);
  const retries = timesAfter(state.retries, since);
  const fixed = processes > 0 ? allowance.extra / processes : 0;
  const maxRetries = USABLE_SHARE * (allowance.ratio * firstAttempts.length + fixed);
  const allowed = retries.length + 1 <= maxRetries;
  return {
    state: { firstAttempts, retries: allowed ? [...retries, now] : retries },
    allowed,
    spent: retries.length,
    maxRetries,
  };
}
