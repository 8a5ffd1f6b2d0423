/** Rates at which an entry process may send to endpoints; those without one accept requests at any time. */
import {
  incarnationKeyOf,
  sendWaitMs,
  reserveSendSlot,
  type IncarnationKey,
  type SendRate,
} from '../../coordination/index.js';
import type { MemberRecord } from '../../protocol/index.js';

/** Send rates by incarnation key. */
export class DirectSendRates<Rate extends SendRate> {
  readonly #now: () => number;

  #rates: ReadonlyMap<IncarnationKey, Rate> = new Map();

  constructor(now: () => number) {
    this.#now = now;
  }

  get rates(): ReadonlyMap<IncarnationKey, Rate> {
    return this.#rates;
  }

  replace(rates: ReadonlyMap<IncarnationKey, Rate>): void {
    this.#rates = rates;
  }

  /** Endpoints that accept nothing now, with the time until they do, ms; infinite for those that never will. */
  get blocked(): readonly (readonly [IncarnationKey, number])[] {
    const now = this.#now();
    return [...this.#rates]
      .map(([incarnationKey, rate]) => [incarnationKey, sendWaitMs(rate, now)] as const)
      .filter(([, waitMs]) => waitMs > 0);
  }

  /** Time until an endpoint accepts a request, ms. */
  waitMs(endpoint: MemberRecord): number {
    const rate = this.#rates.get(incarnationKeyOf(endpoint));
    return rate === undefined ? 0 : sendWaitMs(rate, this.#now());
  }

  /** Reserves the next send slot at an endpoint, whenever that is. */
  reserve(endpoint: MemberRecord): void {
    const incarnationKey = incarnationKeyOf(endpoint);
    const rate = this.#rates.get(incarnationKey);
    if (rate !== undefined) {
      this.#rates = new Map(this.#rates).set(incarnationKey, reserveSendSlot(rate, this.#now()));
    }
  }
}
