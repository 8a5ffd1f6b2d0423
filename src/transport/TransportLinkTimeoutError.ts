/**
 * No answer came in time: the peer is frozen, out of reach or slow.
 *
 * Failure: whoever asked works out from its own clock whether the question ran into its limit. Symptom: timers
 * fire up to a millisecond early, and one silent peer in four is taken for one that refused. Enough: the timer
 * itself says so.
 */
export class LinkTimeoutError extends Error {
  constructor(method: string, timeoutMs: number) {
    super(`no answer to ${method} in ${timeoutMs} ms`);
    this.name = 'LinkTimeoutError';
  }
}
