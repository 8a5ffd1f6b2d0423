/**
 * Limits how often an update runs that handles all changes so far. The first change is handled at once, and
 * changes that follow within {@link THROTTLE_MS} are handled by one update together. So a single change is delayed
 * by at most that time, and a burst of changes causes at most one update in each such period.
 */

/** Minimum time between two updates, ms: short compared to the time in which a change must take effect. */
const THROTTLE_MS = 50;

/** State of the throttle. */
export interface UpdateThrottle {
  /** Time of the last update, ms. */
  readonly lastUpdateAt: number;
  /** Whether a change has not been handled yet. */
  readonly isPending: boolean;
}

/** State before any change. */
export const IDLE_THROTTLE: UpdateThrottle = { lastUpdateAt: -Infinity, isPending: false };

/** Records a change. */
export function requestUpdate(state: UpdateThrottle): UpdateThrottle {
  return state.isPending ? state : { ...state, isPending: true };
}

/** Whether the pending changes should be handled now. */
export function isUpdateDue({ lastUpdateAt, isPending }: UpdateThrottle, now: number): boolean {
  return isPending && now - lastUpdateAt >= THROTTLE_MS;
}

/** Records that all changes so far have been handled. */
export function finishUpdate(now: number): UpdateThrottle {
  return { lastUpdateAt: now, isPending: false };
}
