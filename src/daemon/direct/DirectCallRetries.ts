/** Retries of one request: whether its next send needs an allowance, and the one that it has. */
import type { ClockReading } from '../../coordination/index.js';
import type { DirectRetries, RetryWish } from './DirectRetries.js';

/** Keeps a request that has reached an endpoint from being sent again without an allowance. */
export class DirectCallRetries {
  readonly #retries: Pick<DirectRetries, 'acquire' | 'mayStillSend'>;

  readonly #wish: Omit<RetryWish, 'reason'>;

  #wasSent = false;

  /** When the next retry was allowed; null if none is. */
  #allowedAt: ClockReading | null = null;

  constructor(
    retries: Pick<DirectRetries, 'acquire' | 'mayStillSend'>,
    wish: Omit<RetryWish, 'reason'>,
  ) {
    this.#retries = retries;
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

  /** Records that the request is sent now, which uses the allowance up. */
  onSent(): void {
    this.#wasSent = true;
    this.#allowedAt = null;
  }
}
