/** What every role uses: log, clock, randomness, metrics, and helpers for abort signals. */
import { randomInt } from 'node:crypto';
import { pino, type Logger } from 'pino';
import { collectDefaultMetrics, Counter, Registry } from 'prom-client';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { ClockReading } from '../coordination/index.js';

/** Dependencies shared by all parts of one process. */
export interface Runtime {
  readonly log: Logger;
  readonly registry: Registry;
  /** Generator for all random decisions of this process; its seed is in the log. */
  readonly rng: RandomGenerator;
  /** ms on the local monotonic clock. */
  readonly now: () => number;
  /** Both clocks read at once, for leases that must not outlast a suspended host. */
  readonly clocks: () => ClockReading;
  /** Random number from 0 to 1. */
  readonly random: () => number;
  /** Incarnation of this process: its start time, so it rises with each start unless the clock goes back. */
  readonly incarnation: number;
}

/** How many bytes of log lines are written at once, and how long fewer may wait, ms. */
const LOG_BATCH_BYTES = 4_096;
const LOG_FLUSH_MS = 200;

/** How many bytes of log lines are kept while nobody reads them; later lines are dropped. */
const LOG_BUFFER_MAX_BYTES = 1_048_576;

/**
 * Opens standard output for the log.
 *
 * If the reader of the log stops reading, a synchronous write would block, and every request with it. So lines are
 * written in the background, and are dropped and counted once a megabyte is waiting.
 */
function openLog(registry: Registry): ReturnType<typeof pino.destination> {
  const out = pino.destination({
    sync: false,
    minLength: LOG_BATCH_BYTES,
    maxLength: LOG_BUFFER_MAX_BYTES,
  });
  const dropped = new Counter({
    name: 'laburnumgauge_log_lines_dropped_total',
    help: 'Log lines dropped because nobody read them',
    registers: [registry],
  });
  out.on('drop', () => dropped.inc());
  setInterval(() => out.flush(), LOG_FLUSH_MS).unref();
  process.once('exit', () => {
    try {
      // The process exits after this event, so asynchronous writes would no longer be carried out.
      // eslint-disable-next-line n/no-sync
      out.flushSync();
    } catch {
      // Nothing can be written any more, not even this error.
    }
  });
  return out;
}

/** Creates the runtime of a process. */
export function createRuntime(id: string, role: string, level: string): Runtime {
  const seed = randomInt(2 ** 31);
  const rng = xoroshiro128plus(seed);
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const log = pino(
    { level, base: { id, role }, timestamp: pino.stdTimeFunctions.isoTime },
    openLog(registry),
  );
  log.info({ event: 'start', seed, pid: process.pid }, 'starting');
  return {
    log,
    registry,
    rng,
    now: () => performance.now(),
    clocks: () => ({ monotonic: performance.now(), wall: Date.now() }),
    random: () => uniformFloat64(rng),
    incarnation: Date.now(),
  };
}

/** Runs a task at an interval until the signal aborts. */
export function runEvery(ms: number, signal: AbortSignal, task: () => void): void {
  const timer = setInterval(task, ms);
  signal.addEventListener('abort', () => clearInterval(timer), { once: true });
}

/**
 * Resolves once the signal has aborted, also if that was before this call.
 *
 * A process may be told to stop while it is still starting, before anything listens to the signal. If that were
 * missed, it would never leave, and would be killed by force with streams in progress.
 */
export async function waitForAbort(signal: AbortSignal): Promise<void> {
  if (!signal.aborted) {
    await new Promise<void>((resolve) => {
      signal.addEventListener('abort', () => resolve(), { once: true });
    });
  }
}
