/** Times of the answer to one request, for its log line. */
export class DirectCallTiming {
  readonly #startedAt: number;

  #firstByteAt: number | null = null;

  #lastEventAt: number | null = null;

  #longestPauseMs = 0;

  /** `startedAt` is when the request arrived, ms. */
  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  /** Time to the first byte of the answer, ms; null where there was none. */
  get firstMs(): number | null {
    return this.#firstByteAt === null ? null : this.#firstByteAt - this.#startedAt;
  }

  /** Longest pause between two events of the stream, ms; 0 where there was none. */
  get longestPauseMs(): number {
    return this.#longestPauseMs;
  }

  onFirstByte(now: number): void {
    this.#firstByteAt = now;
  }

  onEvent(now: number): void {
    this.#longestPauseMs = Math.max(this.#longestPauseMs, now - (this.#lastEventAt ?? now));
    this.#lastEventAt = now;
  }
}
