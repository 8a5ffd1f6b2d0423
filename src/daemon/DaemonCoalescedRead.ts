/**
 * Coalesces the reads of many callers: those that call while a read is in progress share the next one. So the read
 * whose result a caller gets always starts after its call, which proves that the result is fresh.
 */
export class CoalescedRead<T> {
  readonly #read: () => Promise<T>;

  #running: Promise<unknown> | null = null;

  #next: Promise<T> | null = null;

  constructor(read: () => Promise<T>) {
    this.#read = read;
  }

  /** Resolves with the result of a read that starts after this call. */
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
