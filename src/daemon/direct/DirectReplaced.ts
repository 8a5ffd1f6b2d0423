/** Incarnations of endpoints that were found to be replaced by another instance at their address. */
import { incarnationKeyOf, type IncarnationKey } from '../../coordination/index.js';
import type { MemberRecord } from '../../protocol/index.js';

/** Replaced instances are remembered this long, as late updates may still list them. In ms. */
const RETENTION_MS = 60_000;

/** Replaced incarnations that one entry process knows. */
export class DirectReplaced {
  /** When each was found, ms. */
  readonly #foundAt = new Map<IncarnationKey, number>();

  add(endpoint: MemberRecord, now: number): void {
    this.#foundAt.set(incarnationKeyOf(endpoint), now);
  }

  has(endpoint: MemberRecord): boolean {
    return this.hasKey(incarnationKeyOf(endpoint));
  }

  hasKey(incarnationKey: IncarnationKey): boolean {
    return this.#foundAt.has(incarnationKey);
  }

  /** Forgets those that were found long ago. */
  tick(now: number): void {
    this.#foundAt.forEach((foundAt, incarnationKey) => {
      if (foundAt < now - RETENTION_MS) {
        this.#foundAt.delete(incarnationKey);
      }
    });
  }
}
