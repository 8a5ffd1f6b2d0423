/** Parts of prompts on which endpoints have recently answered for one customer. */

/** For this long an answer shows that the current endpoints can answer on a part, ms. */
export const SOUND_TTL_MS = 30_000;

/** A part is recorded again only after this time, ms. */
export const REFRESH_MS = 1_000;

/**
 * Maximum number of parts in one of the two generations of a customer, so that none displaces the parts of others: three
 * prompts that fill the head of their request. Parts that are answered on again move to the newer generation.
 */
export const MAX_PARTS_PER_GENERATION = 4_096;

/** The parts, with the time of the last answer on each, ms. */
export class SoundPartsOfCustomer {
  #recent = new Map<string, number>();

  #older = new Map<string, number>();

  #answeredAt = -Infinity;

  get size(): number {
    return this.#recent.size + this.#older.size;
  }

  /** Time of the last answer on any part, ms. */
  get answeredAt(): number {
    return this.#answeredAt;
  }

  get isFull(): boolean {
    return this.#recent.size >= MAX_PARTS_PER_GENERATION;
  }

  /** Time of the last answer on a part, ms. */
  answeredOn(digest: string): number {
    return this.#recent.get(digest) ?? this.#older.get(digest) ?? -Infinity;
  }

  add(digest: string, now: number): void {
    this.#recent.set(digest, now);
    this.#answeredAt = now;
  }

  /** Forgets the older generation; returns how many parts were forgotten before their time. */
  rotate(now: number): number {
    const early = [...this.#older].filter(
      ([digest, at]) => now - at < SOUND_TTL_MS && !this.#recent.has(digest),
    );
    this.#older = this.#recent;
    this.#recent = new Map();
    return early.length;
  }
}
