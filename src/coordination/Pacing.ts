/** Pacing: a token bucket that keeps bulk transfers inside a budget of bytes a second. */

/** What control may cost a node. In bytes a second. */
export const BUDGET_BYTES_PER_SECOND = 16_000;

/**
 * A process that has just attached may be sent this much at once: it serves nobody until it has the configuration,
 * and the budget holds over a minute. In bytes.
 */
export const JOIN_BYTES = 64_000;

/** A bucket. It may be in debt, which the next sender waits out. */
export interface PacingState {
  readonly tokens: number;
  readonly updatedAt: number;
}

/** The bucket of a process that has just attached. */
export function initPacing(now: number): PacingState {
  return { tokens: JOIN_BYTES, updatedAt: now };
}

/** Takes bytes out; `waitMs` is how long to hold what comes next. */
export function takeBytes(
  state: PacingState,
  bytes: number,
  now: number,
): { readonly state: PacingState; readonly waitMs: number } {
  const earned = ((now - state.updatedAt) * BUDGET_BYTES_PER_SECOND) / 1_000;
  const most = Math.max(BUDGET_BYTES_PER_SECOND, state.tokens);
  const tokens = Math.min(most, state.tokens + earned) - bytes;
  const waitMs = tokens >= 0 ? 0 : (-tokens * 1_000) / BUDGET_BYTES_PER_SECOND;
  return { state: { tokens, updatedAt: now }, waitMs };
}
