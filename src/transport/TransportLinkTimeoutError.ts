/**
 * A request got no answer in time: the peer is frozen, unreachable or slow.
 *
 * The request's timer raises this error, so that callers need not compare clocks to detect a timeout. Timers fire up to
 * a millisecond early, so such a comparison would take one unresponsive peer in four for one that has refused.
 */
export class LinkTimeoutError extends Error {
  constructor(method: string, timeoutMs: number) {
    super(`no answer to ${method} in ${timeoutMs} ms`);
    this.name = 'LinkTimeoutError';
  }
}
