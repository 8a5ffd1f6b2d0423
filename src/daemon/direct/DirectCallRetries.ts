/** Retries of one request: whether its next send needs an allowance, and the one that it has. */
import type { ClockReading } from '../../coordination/index.js';
import type { DirectRetries, RetryArrivalProof, RetryWish, SentRetry } from './DirectRetries.js';

/** What a request needs of the retries of its process. */
export type RetriesOfCall = Pick<
  DirectRetries,
  'acquire' | 'mayStillSend' | 'onSent' | 'onArrived'
>;

/** Keeps a request that has reached an endpoint from being sent again without an allowance. */
export class DirectCallRetries {
  readonly #retries: RetriesOfCall;

  readonly #now: () => number;

  readonly #wish: Omit<RetryWish, 'reason'>;

  #wasSent = false;

  /** When the next retry was allowed; null if none is. */
  #allowedAt: ClockReading | null = null;

  /** The retry that may still be on its way, with when it was sent, ms; null if there is none. */
  #onTheWay: { readonly retry: SentRetry; readonly sentAt: number } | null = null;

  constructor(retries: RetriesOfCall, now: () => number, wish: Omit<RetryWish, 'reason'>) {
    this.#retries = retries;
    this.#now = now;
    this.#wish = wish;
  }

  /** Whether the next send needs an allowance: the request was sent before, and none that is still valid is left. */
  get needsAllowance(): boolean {
    const isValid = this.#allowedAt !== null && this.#retries.mayStillSend(this.#allowedAt);
    return this.#wasSent && !isValid;
  }

  /** Acquires an allowance for the next send if it needs one; resolves with false if there is none. */
  async acquire(reason: string): Promise<boolean> {
    if (!this.needsAllowance) {
      return true;
    }
    this.#allowedAt = await this.#retries.acquire({ ...this.#wish, reason });
    return this.#allowedAt !== null;
  }

  /** Records that the request is sent to an endpoint now, which uses the allowance up. */
  onSent(endpoint: string): void {
    if (this.#wasSent) {
      const retry = { ...this.#wish, endpoint };
      this.#onTheWay = { retry, sentAt: this.#now() };
      this.#retries.onSent(retry);
    }
    this.#wasSent = true;
    this.#allowedAt = null;
  }

  /** Records that the last send has reached its endpoint, or won't reach it any more. */
  onArrived(proof: RetryArrivalProof): void {
    if (this.#onTheWay !== null) {
      const { retry, sentAt } = this.#onTheWay;
      this.#onTheWay = null;
      this.#retries.onArrived(retry, proof, this.#now() - sentAt);
    }
  }
}
