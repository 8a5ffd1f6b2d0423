/**
 * Work that many changes in a row need only once. The first change is worked out at once, those that follow it within
 * a time together, so that news alone is late by at most that time, and a flood of it costs no more than one a time.
 */

/** Changes that come within this time are worked out together, ms: short against the time in which news must count. */
const THROTTLE_MS = 50;

/** Where the work stands. */
export interface UpdateThrottle {
  /** When changes were last worked out, ms. */
  readonly lastUpdateAt: number;
  /** Whether there is a change that hasn't been worked out. */
  readonly isPending: boolean;
}

/** Nothing has changed yet. */
export const IDLE_THROTTLE: UpdateThrottle = { lastUpdateAt: -Infinity, isPending: false };

/** Something has changed. */
export function requestUpdate(state: UpdateThrottle): UpdateThrottle {
  return state.isPending ? state : { ...state, isPending: true };
}

/** Whether changes are to be worked out now. */
export function isUpdateDue({ lastUpdateAt, isPending }: UpdateThrottle, now: number): boolean {
  return isPending && now - lastUpdateAt >= THROTTLE_MS;
}

/** All changes so far have been worked out. */
export function finishUpdate(now: number): UpdateThrottle {
  return { lastUpdateAt: now, isPending: false };
}
