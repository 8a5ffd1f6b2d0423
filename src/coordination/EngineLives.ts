/** Lives of one engine, as the gate in front of it sees them. An engine doesn't say that it has started anew. */

/** The life at hand, and when its end was seen, ms on the local monotonic clock; null while it lives. */
export interface EngineLives {
  readonly life: number;
  readonly endedAt: number | null;
}

/** Before anything was seen. */
export const FIRST_LIFE: EngineLives = { life: 1, endedAt: null };

/** The engine has taken an attempt that began at a time: after an end that is the next life. */
function taken(lives: EngineLives, begunAt: number): EngineLives {
  const isNext = lives.endedAt !== null && begunAt > lives.endedAt;
  return isNext ? { life: lives.life + 1, endedAt: null } : lives;
}

/** The engine has answered an attempt that began at a time. */
export function engineAnswered(lives: EngineLives, begunAt: number): EngineLives {
  return taken(lives, begunAt);
}

/**
 * The engine has ended under an attempt that it had taken. All attempts that were in progress then are lost to one
 * and the same life; one that began after the end was seen belongs to the next.
 */
export function engineEnded(lives: EngineLives, begunAt: number, now: number): EngineLives {
  const { life, endedAt } = taken(lives, begunAt);
  return { life, endedAt: endedAt ?? now };
}
