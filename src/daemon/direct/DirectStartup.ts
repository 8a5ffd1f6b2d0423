/** Requests that wait at an entry process which has just started, until it has what they need. */
import { setTimeout as delay } from 'node:timers/promises';
import { startupWaitMs } from '../../coordination/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** Requests that wait at most, so that a flood fills neither memory nor descriptors; more are refused at once. */
const MAX_WAITING = 500;

/** Task state of the process. */
export class DirectStartup {
  readonly #now: () => number;

  readonly #startedAt: number;

  /** One for each request that waits; looks whether it is over. */
  readonly #waiting = new Set<() => void>();

  #isOver = false;

  constructor({ now }: Pick<Runtime, 'now'>) {
    this.#now = now;
    this.#startedAt = now();
  }

  /** Requests that wait. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Something has changed: those whose condition now holds go on. */
  recheck(): void {
    [...this.#waiting].forEach((look) => look());
  }

  /** The process is about to end: nobody waits any more. */
  end(): void {
    this.#isOver = true;
    this.recheck();
  }

  /**
   * Waits until a condition holds, as long as the start of the process and the caller allow, or until the signal.
   * Resolves whichever it was.
   *
   * @param arrivedAt When the request came, ms on the local monotonic clock.
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
