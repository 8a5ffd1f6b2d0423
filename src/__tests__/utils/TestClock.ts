/** A clock for tests of code that waits for answers. */
import { setImmediate as macrotask } from 'node:timers/promises';

/** Time of the test, which passes only when it is advanced: a busy machine must not delay the answers of ranks. */
export class TestClock {
  now = 0;

  #timers: { readonly at: number; readonly resolve: () => void }[] = [];

  async wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#timers.push({ at: this.now + ms, resolve });
    });
  }

  async advance(ms: number): Promise<void> {
    this.now += ms;
    const due = this.#timers.filter(({ at }) => at <= this.now);
    this.#timers = this.#timers.filter(({ at }) => at > this.now);
    due.sort((a, b) => a.at - b.at).forEach(({ resolve }) => resolve());
    await macrotask();
  }
}
