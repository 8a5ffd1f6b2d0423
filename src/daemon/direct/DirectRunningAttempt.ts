/** The attempt of a request that an endpoint is working on. */
import type { MemberRecord } from '../../protocol/index.js';
import type { DirectAttempt } from './DirectAttempt.js';

/**
 * An endpoint that still streams this long after its first event has survived the begin of its answer, ms. Events that
 * were sent together may arrive this far apart.
 */
const STEADY_STREAM_MS = 250;

/** An attempt with its endpoint. */
export interface RunningAttempt {
  readonly endpoint: MemberRecord;
  readonly attempt: DirectAttempt;
  /** When the endpoint began to answer with a stream, ms; null before. */
  readonly streamedAt: number | null;
  /** Whether the endpoint went on to answer after it had begun, so that the parts of the prompt are sound. */
  readonly isSteady: boolean;
}

/** The attempt after its endpoint has sent a part of a stream. */
export function withStreamPart(running: RunningAttempt, now: number): RunningAttempt {
  const streamedAt = running.streamedAt ?? now;
  return { ...running, streamedAt, isSteady: now - streamedAt >= STEADY_STREAM_MS };
}
