/**
 * Token bucket that spreads large messages to one process over time, so that they leave room for heartbeats on its
 * link. It must not hold a message back for long: a change of the configuration or of the members has to take effect
 * within two seconds.
 */

/** Rate to one process, in bytes per second: half of the slowest link of a host, 8 Mbit/s. */
export const BYTES_PER_SECOND = 512_000;

/** Number of bytes that may be sent at once. */
export const BUCKET_BYTES = 64_000;

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
  const refill = ((now - state.updatedAt) * BYTES_PER_SECOND) / 1_000;
  const tokens = Math.min(BUCKET_BYTES, state.tokens + refill) - bytes;
  const waitMs = tokens >= 0 ? 0 : (-tokens * 1_000) / BYTES_PER_SECOND;
  return { state: { tokens, updatedAt: now }, waitMs };
}
