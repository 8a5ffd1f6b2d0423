/**
 * One read for many callers: those that ask while a read is under way share the next one. The answer
 * that a caller gets was asked for after the caller asked, which is what makes it proof of freshness.
 */
export class CoalescedRead<T> {
  readonly #read: () => Promise<T>;

  #running: Promise<unknown> | null = null;

  #next: Promise<T> | null = null;

  constructor(read: () => Promise<T>) {
    this.#read = read;
  }

  /** Resolves with an answer that was asked for after this call. */
  async read(): Promise<T> {
    if (this.#next === null) {
      const before = this.#running ?? Promise.resolve();
      this.#next = before.catch(() => undefined).then(async () => this.#start());
    }
    return this.#next;
  }

  async #start(): Promise<T> {
    this.#next = null;
    const run = this.#read();
    this.#running = run;
    return run;
  }
}
