/**
 * Bounds the bytes that a process holds of all request bodies together. Each body has a limit of its own, but a crowd
 * of callers that stay below it, or stop short of the end, would fill the memory together.
 *
 * When the bytes are used up, the incomplete body that has cost the most is refused: its bytes times the time since it
 * began. A body that is small or arrives quickly costs little, whatever others do.
 */

/** Share of the budget that is left to small bodies: larger ones that are complete may not take all of it. */
const SMALL_BODY_SHARE = 0.25;

/** Maximum size of a small body, in bytes. */
const SMALL_BODY_BYTES = 65_536;

/** The budget is at least this many times the maximum size of a body, so that one is accepted whatever its size. */
const MIN_BODIES = 1.5;

/** A body that is held. `startedAt` is in ms. */
interface Body {
  readonly bytes: number;
  readonly startedAt: number;
  readonly isComplete: boolean;
}

/** Bodies by key, with the bound on their bytes. */
export class BodyBudget<K> {
  readonly #bodies = new Map<K, Body>();

  #maxBytes: number;

  #total = 0;

  #completeBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes of all bodies. */
  get total(): number {
    return this.#total;
  }

  /** Bound on the bytes of all bodies. */
  get maxBytes(): number {
    return this.#maxBytes;
  }

  /** Adds a body of at most `maxBytes`, which begins now. */
  open(key: K, maxBytes: number, now: number): void {
    this.#maxBytes = Math.max(this.#maxBytes, maxBytes * MIN_BODIES);
    this.#bodies.set(key, { bytes: 0, startedAt: now, isComplete: false });
  }

  /** Sets how many bytes an incomplete body takes; returns the bodies to refuse, which are forgotten. */
  update(key: K, bytes: number, now: number): readonly K[] {
    const body = this.#bodies.get(key);
    if (body === undefined) {
      return [];
    }
    this.#total += bytes - body.bytes;
    this.#bodies.set(key, { ...body, bytes });
    const refused: K[] = [];
    while (this.#total > this.#maxBytes) {
      const costliest = this.#costliest(now);
      if (costliest === null) {
        break;
      }
      this.close(costliest);
      refused.push(costliest);
    }
    return refused;
  }

  /** Marks a body as complete, to be held until its request ends; returns false if it can't be, and is forgotten. */
  complete(key: K, bytes: number): boolean {
    const body = this.#bodies.get(key);
    if (body === undefined) {
      return false;
    }
    const share = bytes > SMALL_BODY_BYTES ? 1 - SMALL_BODY_SHARE : 1;
    if (this.#completeBytes + bytes > this.#maxBytes * share) {
      this.close(key);
      return false;
    }
    this.#total += bytes - body.bytes;
    this.#completeBytes += bytes;
    this.#bodies.set(key, { ...body, bytes, isComplete: true });
    return true;
  }

  /** Forgets a body. */
  close(key: K): void {
    const body = this.#bodies.get(key);
    if (body === undefined) {
      return;
    }
    this.#bodies.delete(key);
    this.#total -= body.bytes;
    if (body.isComplete) {
      this.#completeBytes -= body.bytes;
    }
  }

  #costliest(now: number): K | null {
    let costliest: K | null = null;
    let most = 0;
    this.#bodies.forEach(({ bytes, startedAt, isComplete }, key) => {
      const cost = isComplete ? 0 : bytes * (now - startedAt + 1);
      if (cost > most) {
        most = cost;
        costliest = key;
      }
    });
    return costliest;
  }
}
