/**
 * Parts of prompts on which an endpoint has recently answered. A part that crashes endpoints is never among them, so that
 * those beside it need not be suspected.
 */

/** For this long an answer shows that the current endpoints can answer on a part, ms. */
const SOUND_TTL_MS = 30_000;

/** A part is recorded again only after this time, ms. */
const REFRESH_MS = 1_000;

/** Maximum number of parts of one customer, so that none displaces those of others. */
const MAX_PARTS_PER_CUSTOMER = 1_024;

/** Maximum number of customers. */
const MAX_CUSTOMERS = 256;

/** Removes the oldest entry of a map that has more than `max`. */
function limitSize<Value>(map: Map<string, Value>, max: number): void {
  const [oldest] = map.keys();
  if (map.size > max && oldest !== undefined) {
    map.delete(oldest);
  }
}

/** The parts known to one process. */
export class SoundParts {
  /** When each part was last answered on, ms, by customer; in order of time. */
  readonly #answeredAt = new Map<string, Map<string, number>>();

  /** Records that an endpoint has answered on a customer's parts. */
  add(customer: string, digests: readonly string[], now: number): void {
    const parts = this.#answeredAt.get(customer) ?? new Map<string, number>();
    this.#answeredAt.set(customer, parts);
    limitSize(this.#answeredAt, MAX_CUSTOMERS);
    digests
      .filter((digest) => now - (parts.get(digest) ?? -Infinity) >= REFRESH_MS)
      .forEach((digest) => {
        parts.delete(digest);
        parts.set(digest, now);
        limitSize(parts, MAX_PARTS_PER_CUSTOMER);
      });
  }

  /** Whether a part was recently answered on, for any customer. */
  has(digest: string, now: number): boolean {
    return [...this.#answeredAt.values()].some(
      (parts) => now - (parts.get(digest) ?? -Infinity) < SOUND_TTL_MS,
    );
  }
}
