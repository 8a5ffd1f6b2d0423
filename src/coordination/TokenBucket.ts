/**
 * Token bucket that keeps bulk transfers within a budget of bytes. The budget applies to each minute as a whole: a
 * change of the configuration must be everywhere within two seconds, however large it is.
 */

/** Traffic that the control plane may cause per node, in bytes per minute: 16 KB a second on average. */
export const BUDGET_BYTES_PER_MINUTE = 960_000;

/** Number of bytes that may be sent at once; the same number again accrues within a minute. */
const BUCKET_BYTES = BUDGET_BYTES_PER_MINUTE / 2;

const BYTES_PER_MS = BUCKET_BYTES / 60_000;

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
  return { tokens: BUCKET_BYTES, updatedAt: now };
}

/** Takes bytes from the bucket; `waitMs` is the time to wait before sending more. */
export function takeBytes(
  state: TokenBucket,
  bytes: number,
  now: number,
): { readonly state: TokenBucket; readonly waitMs: number } {
  const refill = (now - state.updatedAt) * BYTES_PER_MS;
  const tokens = Math.min(BUCKET_BYTES, state.tokens + refill) - bytes;
  const waitMs = tokens >= 0 ? 0 : -tokens / BYTES_PER_MS;
  return { state: { tokens, updatedAt: now }, waitMs };
}
