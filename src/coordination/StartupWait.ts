/**
 * Requests that reach an entry process which has just started and still lacks something to serve them.
 *
 * When all hosts lose power, they are back within tenths of a second of each other. Callers whose answers broke off
 * retry at once, but the configuration is proven only a second later. If they were refused in that second, their last
 * retry would be used up, although they would have waited.
 */

/** Requests wait only for this long after the start of a process: elections are over by then. In ms. */
export const STARTUP_WINDOW_MS = 3_000;

/** Shortest time that callers wait for a first event, ms; longer times of routes are not yet known here. */
const MIN_PATIENCE_MS = 2_000;

/** Time for a refusal or an endpoint's answer to reach the caller, ms. */
const RESPONSE_MARGIN_MS = 60;

/**
 * How long a request may wait for what is missing, ms; 0 if it is to be refused at once.
 *
 * What is still missing after {@link STARTUP_WINDOW_MS} is missing for another reason, such as a partition. How long
 * that lasts is unknown, so the caller should try another host.
 *
 * @param upMs Time since the process started.
 * @param waitedMs Time since the request arrived.
 * @param deadlineMs Time from the arrival until the caller's deadline.
 */
export function startupWaitMs(upMs: number, waitedMs: number, deadlineMs: number): number {
  if (upMs >= STARTUP_WINDOW_MS) {
    return 0;
  }
  return Math.max(0, Math.min(deadlineMs, MIN_PATIENCE_MS) - RESPONSE_MARGIN_MS - waitedMs);
}
