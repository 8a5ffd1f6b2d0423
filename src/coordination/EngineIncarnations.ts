/** Lives of one engine, as the gate in front of it sees them. An engine doesn't say that it has started anew. */

/** The life at hand, and when its end was seen, ms on the local monotonic clock; null while it lives. */
export interface EngineIncarnation {
  readonly ordinal: number;
  readonly crashedAt: number | null;
}

/** Before anything was seen. */
export const FIRST_INCARNATION: EngineIncarnation = { ordinal: 1, crashedAt: null };

/** The engine has taken an attempt that began at a time: after an end that is the next life. */
function atAttempt(current: EngineIncarnation, begunAt: number): EngineIncarnation {
  const isNext = current.crashedAt !== null && begunAt > current.crashedAt;
  return isNext ? { ordinal: current.ordinal + 1, crashedAt: null } : current;
}

/** The engine has answered an attempt that began at a time. */
export function engineAnswered(current: EngineIncarnation, begunAt: number): EngineIncarnation {
  return atAttempt(current, begunAt);
}

/**
 * The engine has ended under an attempt that it had taken. All attempts that were in progress then are lost to one
 * and the same life; one that began after the end was seen belongs to the next.
 */
export function engineCrashed(
  current: EngineIncarnation,
  begunAt: number,
  now: number,
): EngineIncarnation {
  const { ordinal, crashedAt } = atAttempt(current, begunAt);
  return { ordinal, crashedAt: crashedAt ?? now };
}
