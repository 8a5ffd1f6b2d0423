/** The exit of an entry process that has been told to stop, and which requests it still accepts. */
import { RequestError, type Route } from '../../protocol/index.js';

/** A leaving process exits this long before it would be killed, ms. */
const GRACE_MARGIN_MS = 700;

/** A leaving process accepts streams for this long; later ones might outlast it. In ms. */
const STREAM_ACCEPT_MS = 2_600;

/** Time until its exit that a leaving process must have left to accept a call that isn't a stream, ms. */
const MIN_CALL_MS = 1_500;

/** Time left to an entry process. */
export class DirectLeaving {
  readonly #graceMs: number;

  readonly #now: () => number;

  #since: number | null = null;

  /** `graceMs` is the time from the stop signal until the process is killed. */
  constructor(graceMs: number, now: () => number) {
    this.#graceMs = graceMs;
    this.#now = now;
  }

  /** Called when the process is told to stop. */
  begin(): void {
    this.#since = this.#now();
  }

  /** Time until this leaving process exits, ms; infinite for one that isn't leaving. */
  get remainingMs(): number {
    return this.#since === null
      ? Infinity
      : this.#since + this.#graceMs - GRACE_MARGIN_MS - this.#now();
  }

  /**
   * Refuses requests that a leaving process can't complete.
   *
   * A long stream on a kept-alive connection would be cut when the process exits. Such a request is refused at once
   * as not run, so that the caller sends it elsewhere.
   *
   * @throws {RequestError} for such a request.
   */
  check(route: Route): void {
    const since = this.#since;
    if (since === null) {
      return;
    }
    const isTooLate =
      route.kind === 'stream'
        ? this.#now() - since > STREAM_ACCEPT_MS
        : this.remainingMs < MIN_CALL_MS;
    if (isTooLate) {
      throw new RequestError('leaving', 'this process is about to end');
    }
  }
}
