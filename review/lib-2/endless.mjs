/** Answers that never end, all of one server together at a limited rate. */

/** Bytes that are no event and no answer. */
const BYTES = Buffer.alloc(1024 * 1024, 'x');

const TICK_MS = 5;

/** The endless answers of one server. */
export class EndlessAnswers {
  /** Bytes that were written. */
  bytes = 0;

  #open = new Set();

  #bytesPerMs;

  #timer = null;

  /** `mbitPerS` is the rate of the server's link. */
  constructor(mbitPerS) {
    this.#bytesPerMs = (mbitPerS * 1_000_000) / 8 / 1_000;
  }

  /** Number of answers that are being written. */
  get open() {
    return this.#open.size;
  }

  /** Writes to an answer until its connection is closed. */
  add(res) {
    this.#open.add(res);
    res.once('close', () => this.#open.delete(res));
    this.#timer ??= this.#start();
  }

  stop() {
    clearInterval(this.#timer);
    this.#open.forEach((res) => res.destroy());
  }

  #start() {
    let writtenAt = performance.now();
    return setInterval(() => {
      const now = performance.now();
      const due = Math.min(now - writtenAt, 4 * TICK_MS) * this.#bytesPerMs;
      writtenAt = now;
      const writable = [...this.#open].filter((res) => !res.writableNeedDrain && !res.destroyed);
      writable.forEach((res) => {
        const chunk = BYTES.subarray(0, Math.ceil(due / writable.length));
        res.write(chunk);
        this.bytes += chunk.length;
      });
    }, TICK_MS);
  }
}
