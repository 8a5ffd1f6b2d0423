/**
 * Work that many changes in a row need only once. The first change is worked out at once, those that follow it within
 * a time together, so that news alone is late by at most that time, and a flood of it costs no more than one a time.
 */

/** Changes that come within this time are worked out together, ms: short against the time in which news must count. */
const SETTLE_MS = 50;

/** Where the work stands. */
export interface Settling {
  /** When changes were last worked out, ms. */
  readonly doneAt: number;
  /** Whether there is a change that hasn't been worked out. */
  readonly isOpen: boolean;
}

/** Nothing has changed yet. */
export const SETTLED: Settling = { doneAt: -Infinity, isOpen: false };

/** Something has changed. */
export function openSettling(state: Settling): Settling {
  return state.isOpen ? state : { ...state, isOpen: true };
}

/** Whether changes are to be worked out now. */
export function isSettlingDue({ doneAt, isOpen }: Settling, now: number): boolean {
  return isOpen && now - doneAt >= SETTLE_MS;
}

/** All changes so far have been worked out. */
export function endSettling(now: number): Settling {
  return { doneAt: now, isOpen: false };
}
