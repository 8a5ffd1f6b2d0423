/** Detects that this process or its host has just been suspended. */
import type { ClockReading } from '../coordination/index.js';
import { runEvery } from './DaemonRuntime.js';

/** Interval between two readings of the clocks, ms. */
const READ_INTERVAL_MS = 20;

/**
 * A longer gap between two readings counts as a suspension, ms. Senders wait longer than this for an answer before
 * they resend a message, so that a message that is handled after a shorter gap isn't an outdated copy.
 */
const MIN_SUSPENSION_MS = 250;

/** After a suspension, messages that lay in sockets meanwhile are read within this time, ms. */
const AFTERMATH_MS = 100;

/** Watches the clocks of one process until the signal aborts. */
export class SuspensionWatch {
  readonly #clocks: () => ClockReading;

  #last: ClockReading;

  #detectedAt = -Infinity;

  constructor(clocks: () => ClockReading, signal: AbortSignal) {
    this.#clocks = clocks;
    this.#last = clocks();
    runEvery(READ_INTERVAL_MS, signal, () => this.#read());
  }

  /**
   * Whether a message that is read now may have lain in its socket during a suspension. Reads the clocks itself, since
   * sockets may be read before the timers run.
   */
  get isRecent(): boolean {
    this.#read();
    return this.#last.monotonic - this.#detectedAt < AFTERMATH_MS;
  }

  /** Both clocks count, as the monotonic one stops while the host is suspended. */
  #read(): void {
    const now = this.#clocks();
    const gapMs = Math.max(now.monotonic - this.#last.monotonic, now.wall - this.#last.wall);
    this.#last = now;
    if (gapMs > MIN_SUSPENSION_MS) {
      this.#detectedAt = now.monotonic;
    }
  }
}
