/** Paces at which an entry process may send to endpoints; those without one take requests at any time. */
import {
  incarnationKeyOf,
  sendWaitMs,
  reserveSendSlot,
  type IncarnationKey,
  type SendRate,
} from '../../coordination/index.js';
import type { MemberRecord } from '../../protocol/index.js';

/** Paces by life, in one place of change. */
export class DirectPaces<Pace extends SendRate> {
  readonly #now: () => number;

  #paces: ReadonlyMap<IncarnationKey, Pace> = new Map();

  constructor(now: () => number) {
    this.#now = now;
  }

  get paces(): ReadonlyMap<IncarnationKey, Pace> {
    return this.#paces;
  }

  replace(paces: ReadonlyMap<IncarnationKey, Pace>): void {
    this.#paces = paces;
  }

  /** Endpoints that take nothing now, with the time until they do, ms; infinite for none to come. */
  get heldBack(): readonly (readonly [IncarnationKey, number])[] {
    const now = this.#now();
    return [...this.#paces]
      .map(([life, pace]) => [life, sendWaitMs(pace, now)] as const)
      .filter(([, waitMs]) => waitMs > 0);
  }

  /** Time until an endpoint takes a request, ms. */
  waitMs(endpoint: MemberRecord): number {
    const pace = this.#paces.get(incarnationKeyOf(endpoint));
    return pace === undefined ? 0 : sendWaitMs(pace, this.#now());
  }

  /** Takes the next turn at an endpoint, whenever that is. */
  reserve(endpoint: MemberRecord): void {
    const life = incarnationKeyOf(endpoint);
    const pace = this.#paces.get(life);
    if (pace !== undefined) {
      this.#paces = new Map(this.#paces).set(life, reserveSendSlot(pace, this.#now()));
    }
  }
}
