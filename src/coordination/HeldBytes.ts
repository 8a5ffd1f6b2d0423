/**
 * Bounds the bytes that a process holds for all of its requests together. Each answer has a limit of its own, but several
 * that stay below it would fill the memory together, and the process would end with all of its requests.
 */

/** Bytes by holder, with their bound. */
export class HeldBytes<T> {
  readonly #maxBytes: number;

  readonly #bytes = new Map<T, number>();

  #total = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes of all holders. */
  get total(): number {
    return this.#total;
  }

  /**
   * Sets how many bytes a holder holds; 0 forgets it. Returns the holders to end, those that hold the most, so that
   * what is left stays within the bound; they are forgotten.
   */
  update(holder: T, bytes: number): readonly T[] {
    this.#total += bytes - (this.#bytes.get(holder) ?? 0);
    if (bytes > 0) {
      this.#bytes.set(holder, bytes);
    } else {
      this.#bytes.delete(holder);
    }
    const ended: T[] = [];
    while (this.#total > this.#maxBytes) {
      const [largest, size] = this.#largest();
      ended.push(largest);
      this.#bytes.delete(largest);
      this.#total -= size;
    }
    return ended;
  }

  #largest(): readonly [T, number] {
    return [...this.#bytes].reduce((a, b) => (b[1] > a[1] ? b : a));
  }
}
