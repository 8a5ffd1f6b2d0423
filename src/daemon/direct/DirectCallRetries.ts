/** Retries of one request: whether its next send needs an allowance, and the one that it has. */
import { setTimeout as delay } from 'node:timers/promises';
import { ARRIVAL_MS, EXTEND_AFTER_MS, type RetryPermit } from '../../coordination/index.js';
import type { DirectRetries, RetryArrivalProof, RetryWish, SentRetry } from './DirectRetries.js';

/** Dependencies of {@link DirectCallRetries}. */
export interface CallRetriesOptions {
  readonly retries: Pick<
    DirectRetries,
    'acquire' | 'extend' | 'mayStillSend' | 'onSent' | 'onArrived'
  >;
  /** ms on the local monotonic clock. */
  readonly now: () => number;
  readonly wish: Omit<RetryWish, 'reason'>;
  /** The retry on its way has no allowance any more; it must be aborted, so that it doesn't arrive later. */
  readonly onExpired: () => void;
  /** Called with an unexpected error. */
  readonly onFault: (err: unknown) => void;
}

/** A retry that was sent and isn't known to have arrived. */
interface RetryOnTheWay {
  readonly retry: SentRetry;
  /** ms on the local monotonic clock. */
  readonly sentAt: number;
  readonly arrival: AbortController;
}

/**
 * Keeps a request that has reached an endpoint from being sent again without an allowance, and a retry from arriving
 * without one.
 */
export class DirectCallRetries {
  readonly #options: CallRetriesOptions;

  #wasSent = false;

  /** The allowance of the next retry; null if there is none. */
  #permit: RetryPermit | null = null;

  #onTheWay: RetryOnTheWay | null = null;

  constructor(options: CallRetriesOptions) {
    this.#options = options;
  }

  /** Whether the next send needs an allowance: the request was sent before, and none that is still valid is left. */
  get needsAllowance(): boolean {
    const isValid = this.#permit !== null && this.#options.retries.mayStillSend(this.#permit);
    return this.#wasSent && !isValid;
  }

  /** Acquires an allowance for the next send if it needs one; resolves with false if there is none. */
  async acquire(reason: string): Promise<boolean> {
    if (!this.needsAllowance) {
      return true;
    }
    const { retries, wish } = this.#options;
    this.#permit = await retries.acquire({ ...wish, reason });
    return this.#permit !== null;
  }

  /** Records that the request is sent to an endpoint now, which uses the allowance up. */
  onSent(endpoint: string): void {
    const permit = this.#permit;
    this.#permit = null;
    this.#wasSent = true;
    if (permit !== null) {
      const { retries, wish, now, onFault } = this.#options;
      const arrival = new AbortController();
      this.#onTheWay = { retry: { ...wish, endpoint }, sentAt: now(), arrival };
      retries.onSent(this.#onTheWay.retry);
      this.#extendUntil(arrival.signal, permit).catch((err: unknown) => {
        if (!arrival.signal.aborted) {
          onFault(err);
        }
      });
    }
  }

  /** Records that the last send has reached its endpoint, or won't reach it any more. */
  onArrived(proof: RetryArrivalProof): void {
    if (this.#onTheWay !== null) {
      const { retry, sentAt, arrival } = this.#onTheWay;
      this.#onTheWay = null;
      arrival.abort();
      const { retries, now } = this.#options;
      retries.onArrived(retry, proof, now() - sentAt);
    }
  }

  /** Extends the allowance of the retry on its way until the signal aborts, as long as that is allowed. */
  async #extendUntil(signal: AbortSignal, permit: RetryPermit): Promise<void> {
    const { retries, wish, onExpired } = this.#options;
    await this.#delayUntil(permit.allowedAt.monotonic + EXTEND_AFTER_MS, signal);
    const extended = await retries.extend({ ...wish, reason: 'on the way' }, permit);
    if (extended !== null && !signal.aborted) {
      await this.#extendUntil(signal, extended);
      return;
    }
    await this.#delayUntil(permit.allowedAt.monotonic + ARRIVAL_MS, signal);
    onExpired();
  }

  /** Rejects if the signal aborts. */
  async #delayUntil(at: number, signal: AbortSignal): Promise<void> {
    await delay(Math.max(0, at - this.#options.now()), undefined, { signal });
  }
}
