/** Pacing: a token bucket that keeps bulk transfers inside a budget of bytes a second. */

/** What control may cost a node. In bytes a second. */
export const BUDGET_BYTES_PER_SECOND = 16_000;

/** A bucket. It may be in debt, which the next sender waits out. */
export interface PacingState {
  readonly tokens: number;
  readonly updatedAt: number;
}

/** A full bucket. */
export function initPacing(now: number): PacingState {
  return { tokens: BUDGET_BYTES_PER_SECOND, updatedAt: now };
}

/** Takes bytes out; `waitMs` is how long to hold what comes next. */
export function takeBytes(
  state: PacingState,
  bytes: number,
  now: number,
): { readonly state: PacingState; readonly waitMs: number } {
  const earned = ((now - state.updatedAt) * BUDGET_BYTES_PER_SECOND) / 1_000;
  const tokens = Math.min(BUDGET_BYTES_PER_SECOND, state.tokens + earned) - bytes;
  const waitMs = tokens >= 0 ? 0 : (-tokens * 1_000) / BUDGET_BYTES_PER_SECOND;
  return { state: { tokens, updatedAt: now }, waitMs };
}
