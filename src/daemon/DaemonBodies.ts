/** Reads the bodies of a process's clients, within bounds on what all of them together may hold and take. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Counter, Gauge } from 'prom-client';
import { BodyBudget } from '../coordination/index.js';
import { RequestError } from '../protocol/index.js';
import { MAX_BODY_BYTES, readBody, type ReadDelay } from '../transport/index.js';
import { heldBytesOf } from './DaemonMemory.js';
import { LogLimit } from './DaemonLogLimit.js';
import type { Runtime } from './DaemonRuntime.js';

/** Share of the memory that bodies may take. */
const HELD_SHARE = 0.25;

/** Longest time that a timer takes, ms. */
const MAX_TIMER_MS = 2_147_483_647;

/** How long a body may take where nothing else is known of its request, ms. */
const BODY_TIMEOUT_MS = 60_000;

/** Limits of one body. */
export interface BodyLimits {
  /** Maximum size in bytes; 8 MiB if absent. */
  readonly maxBytes?: number | undefined;
  /** Time until the body has to be complete, ms; a minute if absent. */
  readonly timeoutMs?: number | undefined;
  readonly delay?: ReadDelay;
}

/** What a reader needs of its process. */
type BodiesRuntime = Pick<Runtime, 'now' | 'log' | 'registry'>;

/** The bodies of one process. */
export class DaemonBodies {
  readonly #runtime: BodiesRuntime;

  readonly #budget: BodyBudget<AbortController>;

  readonly #refused: Counter<'code'>;

  readonly #logLimit: LogLimit;

  /** `memoryBytes` is null where the memory isn't limited. */
  constructor(runtime: BodiesRuntime, memoryBytes: number | null) {
    this.#runtime = runtime;
    this.#logLimit = new LogLimit(runtime.now);
    const budget = new BodyBudget<AbortController>(heldBytesOf(memoryBytes, HELD_SHARE));
    this.#budget = budget;
    this.#refused = new Counter({
      name: 'laburnumgauge_refused_bodies_total',
      help: 'Requests refused because of their body',
      labelNames: ['code'],
      registers: [runtime.registry],
    });
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_held_body_bytes',
      help: 'Bytes of request bodies that are incomplete, or whose requests are in progress',
      registers: [runtime.registry],
      collect() {
        this.set(budget.total);
      },
    });
  }

  /**
   * Reads a complete body, which counts as held until the response has ended.
   *
   * @throws {RequestError} if the body is too large, incomplete or late, or if the process can't hold it.
   */
  async read(req: IncomingMessage, res: ServerResponse, limits: BodyLimits = {}): Promise<Buffer> {
    const { maxBytes = MAX_BODY_BYTES, timeoutMs = BODY_TIMEOUT_MS, delay } = limits;
    const budget = this.#budget;
    const abort = new AbortController();
    const { socket } = req;
    const release = (): void => {
      budget.close(abort);
      res.off('close', release);
      socket.off('close', release);
    };
    const timer = setTimeout(
      () => abort.abort(new RequestError('body_timeout', 'body: not complete in time')),
      Math.min(Math.max(1, timeoutMs), MAX_TIMER_MS),
    );
    budget.open(abort, maxBytes, this.#runtime.now());
    // A response that is queued behind others isn't notified when the connection closes.
    res.once('close', release);
    socket.once('close', release);
    try {
      const body = await readBody(req, {
        maxBytes,
        signal: abort.signal,
        onHeld: (bytes) =>
          budget
            .update(abort, bytes, this.#runtime.now())
            .forEach((refused) => refused.abort(this.#budgetError())),
        ...(delay === undefined ? {} : { delay }),
      });
      if (!budget.complete(abort, body.length)) {
        throw this.#budgetError();
      }
      return body;
    } catch (err) {
      release();
      this.#count(err);
      throw err;
    } finally {
      clearTimeout(timer);
    }
  }

  #budgetError(): RequestError {
    return new RequestError(
      'overloaded',
      `all bodies together have more than ${Math.round(this.#budget.maxBytes)} bytes`,
    );
  }

  #count(err: unknown): void {
    if (!(err instanceof RequestError)) {
      return;
    }
    const { code, message } = err;
    this.#refused.inc({ code });
    if (this.#logLimit.take()) {
      this.#runtime.log.info({ event: 'body_refused', code, reason: message }, 'body refused');
    }
  }
}
