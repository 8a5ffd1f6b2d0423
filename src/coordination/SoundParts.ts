/**
 * Parts of prompts on which an endpoint has recently answered. A part that crashes endpoints is never among them, so that
 * those beside it need not be suspected.
 */

import { REFRESH_MS, SOUND_TTL_MS, SoundPartsOfCustomer } from './SoundPartsOfCustomer.js';

/** Maximum number of parts of all customers. */
export const MAX_SOUND_PARTS = 32_768;

/** The parts known to one process. */
export class SoundParts {
  readonly #byCustomer = new Map<string, SoundPartsOfCustomer>();

  #forgotten = 0;

  /** Number of parts that were forgotten before their time, as there were too many. */
  get forgotten(): number {
    return this.#forgotten;
  }

  /** Records that an endpoint has answered on a customer's parts. */
  add(customer: string, digests: readonly string[], now: number): void {
    const parts = this.#byCustomer.get(customer) ?? new SoundPartsOfCustomer();
    this.#byCustomer.set(customer, parts);
    digests
      .filter((digest) => now - parts.answeredOn(digest) >= REFRESH_MS)
      .forEach((digest) => {
        if (parts.isFull) {
          this.#forgotten += parts.rotate(now);
        }
        parts.add(digest, now);
      });
    this.#limitTotal(now);
  }

  /** Time of the last answer on any part of a customer, ms. */
  answeredAt(customer: string): number {
    return this.#byCustomer.get(customer)?.answeredAt ?? -Infinity;
  }

  /** Whether a part was recently answered on, for any customer. */
  has(digest: string, now: number): boolean {
    return [...this.#byCustomer.values()].some(
      (parts) => now - parts.answeredOn(digest) < SOUND_TTL_MS,
    );
  }

  /** Forgets customers without a recent answer. */
  tick(now: number): void {
    this.#byCustomer.forEach((parts, customer) => {
      if (now - parts.answeredAt >= SOUND_TTL_MS) {
        this.#byCustomer.delete(customer);
      }
    });
  }

  /** Forgets the older parts of the customers that have most. */
  #limitTotal(now: number): void {
    const all = [...this.#byCustomer.values()];
    let total = all.reduce((sum, { size }) => sum + size, 0);
    while (total > MAX_SOUND_PARTS) {
      const largest = all.reduce((a, b) => (b.size > a.size ? b : a));
      const before = largest.size;
      this.#forgotten += largest.rotate(now);
      total -= before - largest.size;
    }
  }
}
