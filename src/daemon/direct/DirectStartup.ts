/** Requests that wait at a newly started entry process until it has what they need. */
import { setTimeout as delay } from 'node:timers/promises';
import { startupWaitMs } from '../../coordination/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** Maximum number of waiting requests, so that a flood exhausts neither memory nor descriptors; others don't wait. */
const MAX_WAITING = 500;

/** Waiting requests of one entry process. */
export class DirectStartup {
  readonly #now: () => number;

  readonly #startedAt: number;

  /** One callback per waiting request, which ends the wait if its condition is met. */
  readonly #waiting = new Set<() => void>();

  #isOver = false;

  constructor({ now }: Pick<Runtime, 'now'>) {
    this.#now = now;
    this.#startedAt = now();
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Checks all waiting requests; to be called when something has changed that they may wait for. */
  recheck(): void {
    [...this.#waiting].forEach((check) => check());
  }

  /** Ends all waits, as the process is about to exit. */
  end(): void {
    this.#isOver = true;
    this.recheck();
  }

  /**
   * Waits until a condition is met, as long as the startup of the process and the caller's deadline allow, or until
   * the signal is aborted. Resolves in each of these cases.
   *
   * @param arrivedAt When the request arrived, ms on the local monotonic clock.
   * @param deadlineMs Time from then until its caller's deadline.
   */
  async waitUntil(
    isMet: () => boolean,
    arrivedAt: number,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const now = this.#now();
    const waitMs = startupWaitMs(now - this.#startedAt, now - arrivedAt, deadlineMs);
    const isFull = this.#waiting.size >= MAX_WAITING;
    if (waitMs === 0 || isFull || isMet() || this.#isOver || signal.aborted) {
      return;
    }
    const over = new AbortController();
    const end = (): void => over.abort();
    const check = (): void => {
      if (this.#isOver || isMet()) {
        end();
      }
    };
    this.#waiting.add(check);
    signal.addEventListener('abort', end);
    await delay(waitMs, undefined, { signal: over.signal }).catch(() => undefined);
    signal.removeEventListener('abort', end);
    this.#waiting.delete(check);
  }
}
