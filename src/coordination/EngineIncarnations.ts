/**
 * Counts the incarnations of one engine, as seen by the gate in front of it. An engine does not announce a
 * restart.
 */

/**
 * Number of the current incarnation, from 1 on, and when its crash was seen, ms on the local monotonic clock;
 * null while it runs.
 */
export interface EngineIncarnation {
  readonly ordinal: number;
  readonly crashedAt: number | null;
}

/** Initial state: nothing observed. */
export const FIRST_INCARNATION: EngineIncarnation = { ordinal: 1, crashedAt: null };

/**
 * The engine has accepted an attempt that began at `begunAt`. If that was after a crash, this is the next
 * incarnation.
 */
function incarnationAtAttempt(current: EngineIncarnation, begunAt: number): EngineIncarnation {
  const isNext = current.crashedAt !== null && begunAt > current.crashedAt;
  return isNext ? { ordinal: current.ordinal + 1, crashedAt: null } : current;
}

/** The engine has answered an attempt that began at `begunAt`, ms. */
export function engineAnswered(current: EngineIncarnation, begunAt: number): EngineIncarnation {
  return incarnationAtAttempt(current, begunAt);
}

/**
 * The engine has crashed during an attempt that it had accepted. All attempts in progress at that time were
 * lost to the same incarnation; one that began after the crash was seen belongs to the next.
 */
export function engineCrashed(
  current: EngineIncarnation,
  begunAt: number,
  now: number,
): EngineIncarnation {
  const { ordinal, crashedAt } = incarnationAtAttempt(current, begunAt);
  return { ordinal, crashedAt: crashedAt ?? now };
}
