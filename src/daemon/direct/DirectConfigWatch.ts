/**
 * Keeps the configuration of an entry process up to date: polls its hub for the index of the newest one, and searches
 * for another hub if this one is unresponsive, fails to name it, or names a configuration that doesn't arrive.
 */
import type { Logger } from 'pino';
import type { ClockReading } from '../../coordination/index.js';
import { LinkTimeoutError } from '../../transport/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** Poll interval, ms; the shortest lease spans several polls. */
const POLL_INTERVAL_MS = 700;

/**
 * A hub that doesn't answer a ping within this time is unresponsive, and another one is searched for. This is a hundred
 * round trips between availability zones, and a change must be in force within 2 s of its acknowledgement even if the
 * hub froze right before. In ms.
 */
const HUB_PING_TIMEOUT_MS = 300;

/** Timeout of a poll, ms. */
const POLL_TIMEOUT_MS = 900;

/** Consecutive failed polls after which another hub is searched for. */
const MAX_FAILURES = 2;

/**
 * Numbers of consecutive replies naming a configuration that hasn't arrived: after the first number it is requested
 * again, after the second another hub is searched for.
 */
const RESEND_AFTER = 2;
const SEARCH_AFTER = 4;

/** The part of the hub link that the watch uses. */
export interface ConfigHub {
  readonly isAttached: boolean;
  /** Whether parts of a large message are being received. */
  readonly isReceiving: boolean;
  request: (method: string, params: unknown, timeoutMs?: number) => Promise<unknown>;
  ping: (timeoutMs: number) => Promise<void>;
  /** Starts the search for another hub beside this one, until `endSearch`. */
  searchOther: () => void;
  endSearch: () => void;
  /** Requests the hub to resend all changes after the configuration held. */
  requestConfigResend: () => void;
}

/** Dependencies of the watch. */
export interface ConfigWatchOptions {
  readonly hub: ConfigHub;
  readonly runtime: Pick<Runtime, 'now' | 'clocks'> & { readonly log: Pick<Logger, 'warn'> };
  /**
   * Receives the index of the newest configuration, as named by a leader with a fresh quorum; returns whether that
   * configuration is held here.
   */
  readonly onNewest: (index: number, requestedAt: ClockReading) => boolean;
}

/** Configuration watch of one entry process. */
export class DirectConfigWatch {
  readonly #options: ConfigWatchOptions;

  #failures = 0;

  /** Consecutive replies that named a configuration not held here. */
  #behindCount = 0;

  #isPolling = false;

  #polledAt = -Infinity;

  constructor(options: ConfigWatchOptions) {
    this.#options = options;
  }

  /**
   * Polls the hub for the newest configuration, if a poll is due.
   *
   * If the hub is isolated or frozen while a configuration is accepted elsewhere, requests would be handled by the
   * older one until the lease on it expires. So another hub, which may have the newest, is searched for if this one
   * doesn't answer a ping, a poll times out, or two polls in a row fail.
   */
  poll(): void {
    const { hub, runtime } = this.#options;
    const now = runtime.now();
    if (this.#isPolling || !hub.isAttached || now - this.#polledAt < POLL_INTERVAL_MS) {
      return;
    }
    this.#polledAt = now;
    this.#isPolling = true;
    const requestedAt = runtime.clocks();
    this.#checkHub();
    hub
      .request('config.newest', {}, POLL_TIMEOUT_MS)
      .then((index) => this.#onReply(index as number, requestedAt))
      .catch((err: unknown) => this.#onFailure(err as Error))
      .finally(() => {
        this.#isPolling = false;
      });
  }

  /**
   * Pings the hub in addition to the poll: a hub whose leader is unreachable is late to answer the poll but is alive,
   * and leaving it would gain nothing.
   */
  #checkHub(): void {
    const { hub, runtime } = this.#options;
    hub.ping(HUB_PING_TIMEOUT_MS).catch((err: unknown) => {
      if (err instanceof LinkTimeoutError) {
        runtime.log.warn({ event: 'silent_hub', err: err.message }, 'searching for another hub');
        hub.searchOther();
      }
    });
  }

  #onReply(index: number, requestedAt: ClockReading): void {
    const { hub, onNewest } = this.#options;
    this.#failures = 0;
    if (onNewest(index, requestedAt)) {
      this.#behindCount = 0;
      hub.endSearch();
      return;
    }
    this.#onBehind(index);
  }

  /**
   * A change may be lost on its way from a hub that considers it sent. The older configuration would stay in force
   * until the next change, though each reply names the newer one. So a configuration that is named and not held is
   * requested again, and then from another hub, but not while a large change is being received.
   */
  #onBehind(index: number): void {
    const { hub, runtime } = this.#options;
    this.#polledAt = -Infinity;
    if (hub.isReceiving) {
      return;
    }
    this.#behindCount += 1;
    if (this.#behindCount === RESEND_AFTER) {
      runtime.log.warn({ event: 'behind', newest: index }, 'requesting a change again');
      hub.requestConfigResend();
    } else if (this.#behindCount >= SEARCH_AFTER) {
      this.#behindCount = 0;
      runtime.log.warn({ event: 'behind', newest: index }, 'searching for another hub');
      hub.searchOther();
    }
  }

  /**
   * A poll has failed: the next one is due at once. After a timeout or repeated failures another hub is searched for.
   */
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
