/**
 * Keeps an entry process on the newest configuration: asks its hub which that is, and acts on a hub that is
 * silent, can't tell, or names one that doesn't come.
 */
import type { Logger } from 'pino';
import type { ClockReading } from '../../coordination/index.js';
import { LinkTimeoutError } from '../../transport/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** How often the newest configuration is asked for: several times within the shortest lease. In ms. */
const POLL_INTERVAL_MS = 700;

/**
 * Beside a hub that gives no sign of life for this long another is looked for: a hundred round trips between
 * AZs, and a change must be in force within 2 s of its acknowledgement though the hub froze right before. In ms.
 */
const HUB_PING_TIMEOUT_MS = 300;

/** A question without an answer for this long is given up. In ms. */
const POLL_TIMEOUT_MS = 900;

/** After questions have failed this often in a row another hub is looked for. */
const MAX_FAILURES = 2;

/** A change that is named this often and doesn't come is asked for again, and later of another hub. */
const RESEND_AFTER = 2;
const SEARCH_AFTER = 4;

/** What the watch needs of the link to the hub. */
export interface ConfigHub {
  readonly isAttached: boolean;
  /** Whether a large message is on its way here. */
  readonly isReceiving: boolean;
  request: (method: string, params: unknown, timeoutMs?: number) => Promise<unknown>;
  ping: (timeoutMs: number) => Promise<void>;
  /** Looks for another hub beside this one, until `settle`. */
  searchOther: () => void;
  endSearch: () => void;
  /** Has the hub send again all that came after the configuration held. */
  requestConfigResend: () => void;
}

/** What the watch stands on. */
export interface ConfigWatchOptions {
  readonly hub: ConfigHub;
  readonly runtime: Pick<Runtime, 'now' | 'clocks'> & { readonly log: Pick<Logger, 'warn'> };
  /** Takes the index that a leader with a fresh quorum named; tells whether it is held here. */
  readonly onNewest: (index: number, askedAt: ClockReading) => boolean;
}

/** One process's watch. */
export class DirectConfigWatch {
  readonly #options: ConfigWatchOptions;

  #failures = 0;

  /** Answers in a row that named a configuration that isn't held. */
  #behindCount = 0;

  #isPolling = false;

  #polledAt = -Infinity;

  constructor(options: ConfigWatchOptions) {
    this.#options = options;
  }

  /**
   * Asks the hub for the newest configuration, if it is time to.
   *
   * Failure: the hub is cut off or frozen, and a configuration is accepted elsewhere. Symptom: requests are
   * handled by the older one for as long as the lease on it runs. Enough: another hub is looked for beside
   * one that gives no sign of life, or can't tell after two questions; it has the newest.
   */
  poll(): void {
    const { hub, runtime } = this.#options;
    const now = runtime.now();
    if (this.#isPolling || !hub.isAttached || now - this.#polledAt < POLL_INTERVAL_MS) {
      return;
    }
    this.#polledAt = now;
    this.#isPolling = true;
    const askedAt = runtime.clocks();
    this.#checkHub();
    hub
      .request('config.newest', {}, POLL_TIMEOUT_MS)
      .then((index) => this.#onAnswer(index as number, askedAt))
      .catch((err: unknown) => this.#onFailure(err as Error))
      .finally(() => {
        this.#isPolling = false;
      });
  }

  /** A hub whose leader is gone takes long for its answer but is alive: leaving it would gain nothing. */
  #checkHub(): void {
    const { hub, runtime } = this.#options;
    hub.ping(HUB_PING_TIMEOUT_MS).catch((err: unknown) => {
      if (err instanceof LinkTimeoutError) {
        runtime.log.warn({ event: 'silent_hub', err: err.message }, 'another hub is looked for');
        hub.searchOther();
      }
    });
  }

  #onAnswer(index: number, askedAt: ClockReading): void {
    const { hub, onNewest } = this.#options;
    this.#failures = 0;
    if (onNewest(index, askedAt)) {
      this.#behindCount = 0;
      hub.endSearch();
      return;
    }
    this.#onBehind(index);
  }

  /**
   * Failure: a change of the configuration gets lost on its way from a hub that counts it as sent. Symptom: the
   * older one is in force until the next change, though each answer names the newer. Enough: what is named
   * and isn't held is asked for again, and then of another hub; but not while a large change is on its way.
   */
  #onBehind(index: number): void {
    const { hub, runtime } = this.#options;
    this.#polledAt = -Infinity;
    if (hub.isReceiving) {
      return;
    }
    this.#behindCount += 1;
    if (this.#behindCount === RESEND_AFTER) {
      runtime.log.warn({ event: 'behind', newest: index }, 'a change is asked for again');
      hub.requestConfigResend();
    } else if (this.#behindCount >= SEARCH_AFTER) {
      this.#behindCount = 0;
      runtime.log.warn({ event: 'behind', newest: index }, 'another hub is looked for');
      hub.searchOther();
    }
  }

  /** A question has failed: it is asked again at once, and of another hub if this one is silent. */
  #onFailure(err: Error): void {
    const { hub, runtime } = this.#options;
    this.#failures += 1;
    this.#polledAt = -Infinity;
    runtime.log.warn(
      { event: 'unproven', failures: this.#failures, err: err.message },
      'newest configuration not confirmed',
    );
    if (err instanceof LinkTimeoutError || this.#failures >= MAX_FAILURES) {
      this.#failures = 0;
      hub.searchOther();
    }
  }
}
