/**
 * Requests that reach an entry process which has just started, and lacks something to serve them.
 *
 * Load pattern: all hosts lose power and are back within tenths of a second of each other. Callers whose answers
 * broke off return at once; the configuration is proven a second later. Refused in that second they have spent
 * their last try, though they would have waited.
 */

/** A process lacks what its requests need for this long after its start at most: elections are over by then. In ms. */
export const STARTUP_WINDOW_MS = 3_000;

/** Callers wait for a first event at least this long, ms; the routes that say more are not known yet. */
const MIN_PATIENCE_MS = 2_000;

/** Time for the refusal, or for an endpoint's answer, to reach the caller, ms. */
const RESPONSE_MARGIN_MS = 60;

/**
 * How long a request may wait for what is missing, ms; 0 where it is refused at once.
 *
 * What is missing after {@link STARTUP_WINDOW_MS} is missing for another reason, such as a partition: nobody can tell when
 * it comes, and the caller does better to try another host.
 *
 * @param upMs Time since the process started.
 * @param waitedMs Time since the request came.
 * @param deadlineMs Time from then until the caller's deadline.
 */
export function startupWaitMs(upMs: number, waitedMs: number, deadlineMs: number): number {
  if (upMs >= STARTUP_WINDOW_MS) {
    return 0;
  }
  return Math.max(0, Math.min(deadlineMs, MIN_PATIENCE_MS) - RESPONSE_MARGIN_MS - waitedMs);
}
