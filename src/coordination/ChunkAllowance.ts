/**
 * Limits the rate at which chunks of bodies are read, as their senders choose the size of chunks and handling one takes
 * the same time with one byte as with thousands. Each body has an allowance of its own, which an endpoint that sends a
 * chunk for each token doesn't use up. What goes beyond it is taken from one allowance for all bodies of the process.
 */

/** State of an allowance. `chunks` may be negative; reading waits until it isn't. `updatedAt` is in ms. */
export interface ChunkAllowance {
  readonly chunks: number;
  readonly updatedAt: number;
}

/** Rate of an allowance, and the number of chunks that it gathers at most. */
export interface ChunkRate {
  readonly perMs: number;
  readonly burst: number;
}

/** Rate of each answer's body. */
export const BODY_CHUNKS: ChunkRate = { perMs: 2, burst: 2_000 };

/** Rate of each request's body. Callers may open thousands, and choose the chunks of all of them. */
export const REQUEST_BODY_CHUNKS: ChunkRate = { perMs: 0.2, burst: 500 };

/** Rate of all bodies together beyond their own. */
export const SHARED_CHUNKS: ChunkRate = { perMs: 20, burst: 10_000 };

/** The allowance of a new body, or of a new process. */
export function initChunkAllowance({ burst }: ChunkRate, now: number): ChunkAllowance {
  return { chunks: burst, updatedAt: now };
}

function refill({ chunks, updatedAt }: ChunkAllowance, rate: ChunkRate, now: number): number {
  return Math.min(rate.burst, chunks + (now - updatedAt) * rate.perMs);
}

/** Takes chunks that were read of a body; `waitMs` is the time to wait before reading more of it. */
export function takeChunks(
  body: ChunkAllowance,
  shared: ChunkAllowance,
  chunks: number,
  now: number,
  rate = BODY_CHUNKS,
): {
  readonly body: ChunkAllowance;
  readonly shared: ChunkAllowance;
  readonly waitMs: number;
} {
  const ownLeft = refill(body, rate, now) - chunks;
  const beyond = Math.max(0, -ownLeft);
  const sharedLeft = refill(shared, SHARED_CHUNKS, now) - beyond;
  const waitMs = beyond > 0 && sharedLeft < 0 ? -sharedLeft / SHARED_CHUNKS.perMs : 0;
  return {
    body: { chunks: Math.max(0, ownLeft), updatedAt: now },
    shared: { chunks: sharedLeft, updatedAt: now },
    waitMs,
  };
}
