/**
 * A request got no answer in time: the peer is frozen, unreachable or slow.
 *
 * The request's timer causes this error, so callers need not compare clocks. Timers fire up to a millisecond early; by
 * such a comparison, one unresponsive peer in four was taken for one that had refused.
 */
export class LinkTimeoutError extends Error {
  constructor(method: string, timeoutMs: number) {
    super(`no answer to ${method} in ${timeoutMs} ms`);
    this.name = 'LinkTimeoutError';
  }
}
