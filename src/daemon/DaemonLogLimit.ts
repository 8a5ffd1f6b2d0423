/** Limits how many lines of one kind are logged, as a client can cause thousands a second. */

/** Maximum number of lines in each window of `WINDOW_MS`. */
const MAX_LINES = 20;
const WINDOW_MS = 10_000;

/** Lines of one kind. */
export class LogLimit {
  readonly #now: () => number;

  #windowStart = -Infinity;

  #count = 0;

  /** `now` returns ms on the local monotonic clock. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** Counts a line; returns whether it may be logged. */
  take(): boolean {
    const now = this.#now();
    if (now - this.#windowStart > WINDOW_MS) {
      this.#windowStart = now;
      this.#count = 0;
    }
    this.#count += 1;
    return this.#count <= MAX_LINES;
  }
}
