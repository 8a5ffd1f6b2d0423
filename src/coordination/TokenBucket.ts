/** Pacing: a token bucket that keeps bulk transfers inside a budget of bytes a second. */

/** What control may cost a node. In bytes a second. */
export const BUDGET_BYTES_PER_SECOND = 16_000;

/**
 * A process that has just attached may be sent this much at once: it serves nobody until it has the configuration,
 * and the budget holds over a minute. In bytes.
 */
export const INITIAL_BUCKET_BYTES = 64_000;

/** A bucket. It may be in debt, which the next sender waits out. */
export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAt: number;
}

/** The bucket of a process that has just attached. */
export function initTokenBucket(now: number): TokenBucket {
  return { tokens: INITIAL_BUCKET_BYTES, updatedAt: now };
}

/** Takes bytes out; `waitMs` is how long to hold what comes next. */
export function takeBytes(
  state: TokenBucket,
  bytes: number,
  now: number,
): { readonly state: TokenBucket; readonly waitMs: number } {
  const refill = ((now - state.updatedAt) * BUDGET_BYTES_PER_SECOND) / 1_000;
  const capacity = Math.max(BUDGET_BYTES_PER_SECOND, state.tokens);
  const tokens = Math.min(capacity, state.tokens + refill) - bytes;
  const waitMs = tokens >= 0 ? 0 : (-tokens * 1_000) / BUDGET_BYTES_PER_SECOND;
  return { state: { tokens, updatedAt: now }, waitMs };
}
