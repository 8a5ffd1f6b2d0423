/** What every role shares: log, clock, randomness, metrics and the signals of its life. */
import { randomInt } from 'node:crypto';
import { pino, type Logger } from 'pino';
import { collectDefaultMetrics, Counter, Registry } from 'prom-client';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { ClockReading } from '../coordination/index.js';

/** Shared means of one process. */
export interface Runtime {
  readonly log: Logger;
  readonly registry: Registry;
  /** Generator of all decisions of this process; its seed is in the log. */
  readonly rng: RandomGenerator;
  /** ms on the local monotonic clock. */
  readonly now: () => number;
  /** Both clocks at once, for leases that must not outlast a suspended host. */
  readonly clocks: () => ClockReading;
  /** Number from 0 to 1. */
  readonly random: () => number;
  /** Incarnation of this process: rises with each start, as far as the clock does. */
  readonly incarnation: number;
}

/** Bytes of log lines that are written at once, and how long fewer wait, ms. */
const LOG_BATCH_BYTES = 4_096;
const LOG_FLUSH_MS = 200;

/** Bytes of log lines kept while nobody reads them; later lines are dropped. */
const LOG_BUFFER_MAX_BYTES = 1_048_576;

/**
 * Standard output for the log.
 *
 * Failure: whoever reads the log stops reading. Symptom: a write blocks, and every request with it.
 * Enough: lines are written in the background, and dropped and counted once a megabyte waits.
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
      // The process ends with this event: nothing asynchronous would be carried out any more.
      // eslint-disable-next-line n/no-sync
      out.flushSync();
    } catch {
      // Nothing can be written any more, and nobody is left to tell.
    }
  });
  return out;
}

/** Makes the means of a process. */
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

/** Runs a task at an interval until the signal. */
export function runEvery(ms: number, signal: AbortSignal, task: () => void): void {
  const timer = setInterval(task, ms);
  signal.addEventListener('abort', () => clearInterval(timer), { once: true });
}

/**
 * Resolves once the signal has come.
 *
 * Failure: a process is told to stop while it is still starting, before anything listens to the signal.
 * Symptom: it never leaves, and is killed by force with streams on it. Enough: a signal that has come
 * already counts.
 */
export async function waitForAbort(signal: AbortSignal): Promise<void> {
  if (!signal.aborted) {
    await new Promise<void>((resolve) => {
      signal.addEventListener('abort', () => resolve(), { once: true });
    });
  }
}
