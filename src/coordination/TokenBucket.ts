/** Token bucket that keeps bulk transfers within a budget of bytes per second. */

/** Traffic that the control plane may cause per node, in bytes per second. */
export const BUDGET_BYTES_PER_SECOND = 16_000;

/**
 * Number of bytes that may be sent at once to a process that has just attached: it can't serve requests before it
 * has the configuration, and the budget applies to a minute as a whole.
 */
export const INITIAL_BUCKET_BYTES = 64_000;

/**
 * State of a bucket. `tokens`, in bytes, may be negative; the next sender waits until they are refilled.
 * `updatedAt` is in ms.
 */
export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAt: number;
}

/** Bucket of a process that has just attached. */
export function initTokenBucket(now: number): TokenBucket {
  return { tokens: INITIAL_BUCKET_BYTES, updatedAt: now };
}

/** Takes bytes from the bucket; `waitMs` is the time to wait before sending more. */
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
