/** Asks the control process for retries of a service; wishes that come up together are asked for together. */
import { mayStillSend, type ClockReading } from '../../coordination/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** Asks a control process for `wanted` retries of a service; resolves with the number granted. */
export type RequestRetries = (service: string, wanted: number) => Promise<number>;

/** After a control process has granted less than was wanted, no more is asked for this long, ms. */
const EXHAUSTED_MS = 100;

type Resolve = (allowedAt: ClockReading | null) => void;

/** Retry grants of one service. */
export class DirectRetryGrants {
  readonly #service: string;

  readonly #runtime: Pick<Runtime, 'now' | 'clocks' | 'log'>;

  readonly #requestRetries: RequestRetries;

  /** Wishes for the next question. */
  #waiting: readonly Resolve[] = [];

  #isAsking = false;

  #exhaustedUntil = -Infinity;

  constructor(
    service: string,
    runtime: Pick<Runtime, 'now' | 'clocks' | 'log'>,
    requestRetries: RequestRetries,
  ) {
    this.#service = service;
    this.#runtime = runtime;
    this.#requestRetries = requestRetries;
  }

  /** Resolves with the time from which a granted retry counts; null if none is granted. */
  async acquire(): Promise<ClockReading | null> {
    if (this.#runtime.now() < this.#exhaustedUntil) {
      return null;
    }
    return new Promise((resolve) => {
      this.#waiting = [...this.#waiting, resolve];
      if (!this.#isAsking) {
        this.#isAsking = true;
        setImmediate(() => {
          this.#askWhileWaiting().catch((err: unknown) =>
            this.#runtime.log.error({ event: 'fault', err }, 'retries could not be asked for'),
          );
        });
      }
    });
  }

  /** Asks one question at a time, until nobody waits. */
  async #askWhileWaiting(): Promise<void> {
    while (this.#waiting.length > 0) {
      const asking = this.#waiting;
      this.#waiting = [];
      const requestedAt = this.#runtime.clocks();
      // eslint-disable-next-line no-await-in-loop
      const granted = await this.#ask(asking.length);
      const count = mayStillSend(requestedAt, this.#runtime.clocks()) ? granted : 0;
      if (count < asking.length) {
        this.#exhaustedUntil = this.#runtime.now() + EXHAUSTED_MS;
      }
      asking.forEach((resolve, i) => resolve(i < count ? requestedAt : null));
    }
    this.#isAsking = false;
  }

  async #ask(wanted: number): Promise<number> {
    try {
      return Number(await this.#requestRetries(this.#service, wanted));
    } catch (err) {
      const { message } = err as Error;
      this.#runtime.log.info(
        { event: 'retry_grant_failed', service: this.#service, err: message },
        'a control process did not answer a question for retries',
      );
      return 0;
    }
  }
}
