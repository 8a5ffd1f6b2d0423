/**
 * Entry process that calls endpoints directly. The endpoints check for themselves whether a request is meant for
 * their instance.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import {
  RequestError,
  type ColdBounds,
  type DocumentDialect,
  type ErrorCode,
  type HttpDialect,
  type RetryAllowance,
} from '../../protocol/index.js';
import {
  createHttpServer,
  serveHttp,
  type Address,
  type RequestHandler,
} from '../../transport/index.js';
import { DaemonBodies } from '../DaemonBodies.js';
import { serverBoundsOf, type ServerBounds } from '../DaemonConnections.js';
import { DaemonHubLink } from '../DaemonHubLink.js';
import { createApp } from '../DaemonApp.js';
import { LogLimit } from '../DaemonLogLimit.js';
import { RETRY_GRANT_METHOD, type RetryGrantRequest } from '../DaemonRetryGrants.js';
import { waitForAbort, runEvery, type Runtime } from '../DaemonRuntime.js';
import type { ControlTarget } from '../DaemonSettings.js';
import type { SlotDecision } from './DirectAdmission.js';
import { DirectConfigWatch } from './DirectConfigWatch.js';
import { DirectCall } from './DirectCall.js';
import { DirectCallerConnections } from './DirectCallerConnections.js';
import { DirectLeaving } from './DirectLeaving.js';
import { DirectReply, quarantineError } from './DirectReply.js';
import { slotRequestOf, type DirectRequest } from './DirectRequest.js';
import { DirectRequestReader } from './DirectRequestReader.js';
import { DirectEntryState } from './DirectEntryState.js';
import type { CallStats } from './DirectRequestLog.js';

/** Settings of the process. */
export interface DirectEntrySettings {
  readonly id: string;
  readonly zone: string;
  readonly callers: Address;
  readonly readiness: Address;
  readonly metrics: Address;
  /** Control processes in the current settings. */
  readonly controls: () => readonly ControlTarget[];
  readonly revokeMs: number;
  readonly applyMs: number;
  /** Null where zones aren't evacuated. */
  readonly evacuateMs: number | null;
  /** Time from the stop signal until the process is killed, ms. */
  readonly graceMs: number;
  /** Memory that the process may use, in bytes; null or absent where it isn't limited. */
  readonly memoryBytes?: number | null;
  /** Number of descriptors that the process may open; null or absent where it isn't limited. */
  readonly maxDescriptors?: number | null;
  readonly retries: RetryAllowance;
  /** Bounds on the requests to cold endpoints; the defaults if absent. */
  readonly coldBounds?: ColdBounds;
}

/** The platform's formats of HTTP messages and documents. */
export interface DirectDialects {
  readonly http: HttpDialect;
  readonly documents: DocumentDialect;
}

const TICK_MS = 250;

/** A control process that doesn't answer a question for retries within this time grants none, ms. */
const RETRY_GRANT_TIMEOUT_MS = 300;

/** Poll interval of a process whose configuration isn't proven to be the newest yet, ms. */
const UNPROVEN_TICK_MS = 50;

/** Interval of checking waiting requests, ms: short compared to the objective. */
const QUEUE_TICK_MS = 25;

/** A leaving process stays this long with nothing in progress, so that callers' connections drain. In ms. */
const IDLE_DRAIN_MS = 1_200;

/** A platform that checks readiness each second stops sending to an unready process within this time. In ms. */
const DEREGISTRATION_MS = 2_500;

/** Statistics of a request that was sent to no endpoint. */
const UNSENT_STATS: CallStats = { firstMs: null, longestPauseMs: 0, lastEvent: null, attempts: 0 };

/** Codes of requests that are refused because of their bodies. */
const BODY_CODES: ReadonlySet<ErrorCode> = new Set([
  'bad_request',
  'too_large',
  'body_timeout',
  'overloaded',
]);

/** Entry process. */
export class DirectEntry {
  readonly #cfg: DirectEntrySettings;

  readonly #runtime: Runtime;

  readonly #state: DirectEntryState;

  readonly #hubLink: DaemonHubLink;

  readonly #watch: DirectConfigWatch;

  readonly #leaving: DirectLeaving;

  readonly #reader: DirectRequestReader;

  /** Limits the lines on refused bodies, of which a crowd of callers can cause thousands a second. */
  readonly #bodyLog: LogLimit;

  #server: Server | null = null;

  #connections: DirectCallerConnections | null = null;

  constructor(
    cfg: DirectEntrySettings,
    dialects: DirectDialects,
    runtime: Runtime,
    signal: AbortSignal,
  ) {
    this.#cfg = cfg;
    this.#runtime = runtime;
    const { id, zone, revokeMs, applyMs, evacuateMs, retries, coldBounds } = cfg;
    this.#state = new DirectEntryState({
      id,
      zone,
      runtime,
      revokeMs,
      applyMs,
      evacuateMs,
      retries,
      memoryBytes: cfg.memoryBytes ?? null,
      ...(coldBounds === undefined ? {} : { coldBounds }),
      ...dialects,
      sendQuarantineUpdate: (update) => this.#hubLink.notify('quarantine', update),
      sendLimitUpdate: (update) => this.#hubLink.notify('limits', update),
      sendDemand: (demand) => this.#hubLink.notify('group.demand', { ...demand, host: id }),
      requestRetries: async (service, wanted) => {
        const request: RetryGrantRequest = { service, wanted };
        return (await this.#hubLink.request(
          RETRY_GRANT_METHOD,
          request,
          RETRY_GRANT_TIMEOUT_MS,
        )) as number;
      },
    });
    this.#bodyLog = new LogLimit(runtime.now);
    this.#leaving = new DirectLeaving(cfg.graceMs, runtime.now);
    this.#reader = new DirectRequestReader(
      this.#state,
      new DaemonBodies(runtime, cfg.memoryBytes ?? null),
      this.#leaving,
      runtime.random,
    );
    this.#hubLink = new DaemonHubLink({
      targets: cfg.controls,
      record: {
        id,
        role: 'entry',
        zone,
        address: `${cfg.callers.host}:${cfg.callers.port}`,
        incarnation: runtime.incarnation,
        version: 0,
        status: 'serving',
      },
      log: runtime.log,
      signal,
      random: runtime.random,
      onConfig: (config) => this.#state.onConfig(config),
      onDirectory: (delta) => this.#state.onDirectory(delta),
      onGroupLoad: (load) => this.#state.admission.onLoad(load),
      onQuarantine: (update) => this.#state.screening.onUpdate(update),
      onLimits: (update) => this.#state.sendSlots.limits.onUpdate(update),
      onAttached: () => {
        this.#watch.poll();
        this.#state.screening.onAttached();
        this.#state.sendSlots.limits.onAttached();
      },
    });
    this.#watch = new DirectConfigWatch({
      hub: this.#hubLink,
      runtime,
      onNewest: (index, requestedAt) => this.#state.onNewest(index, requestedAt),
    });
  }

  /** Configuration, members and requests of the process. */
  get state(): DirectEntryState {
    return this.#state;
  }

  /** Starts to listen for callers, and runs the periodic tasks until the signal is aborted. */
  async serve(signal: AbortSignal, bounds: ServerBounds): Promise<Server> {
    const { callers } = this.#cfg;
    const onRequest: RequestHandler = (req, res) => {
      this.#onRequest(req, res).catch((err: unknown) => {
        this.#runtime.log.error({ err }, 'request failed');
        res.destroy();
      });
    };
    const server = createHttpServer({ keepAlive: true, noDelay: true }, onRequest, bounds.clients);
    this.#connections = new DirectCallerConnections(server);
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host: callers.host, port: callers.port, backlog: 1_024 }, resolve);
    });
    runEvery(TICK_MS, signal, () => this.#tick());
    runEvery(UNPROVEN_TICK_MS, signal, () => {
      if (!this.#state.config.isProven) {
        this.#watch.poll();
      }
    });
    runEvery(QUEUE_TICK_MS, signal, () => {
      this.#state.applyChanges();
      if (this.#state.admission.waiting > 0) {
        this.#state.admission.tick();
      }
    });
    return server;
  }

  get readiness(): string {
    return this.#state.readiness;
  }

  /**
   * Drains the process: reports that it is leaving, so that the platform sends no new connections, closes kept-alive
   * connections with their next answer, and waits for all requests in progress, including streams, until their answers
   * are sent.
   */
  async leave(): Promise<void> {
    this.#state.isLeaving = true;
    this.#state.startup.end();
    this.#hubLink.announce({ status: 'leaving' });
    const drainStartedAt = this.#runtime.now();
    this.#leaving.begin();
    let idleSince = drainStartedAt;
    while (this.#leaving.remainingMs > 0) {
      const now = this.#runtime.now();
      const isDeregistered = now - drainStartedAt > DEREGISTRATION_MS;
      if (this.#unfinished > 0) {
        idleSince = now;
      } else if (isDeregistered && now - idleSince > IDLE_DRAIN_MS) {
        break;
      }
      if (isDeregistered) {
        // Callers would otherwise send their next request on them just as the process exits.
        this.#connections?.closeIdle();
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(50);
    }
    const { inProgress } = this.#state.requests;
    const unsent = this.#connections?.unsent ?? 0;
    this.#runtime.log.info({ event: 'left', inProgress, unsent }, 'left');
    this.#server?.close();
    this.#connections?.closeIdle();
  }

  /** Number of requests that aren't answered yet, or whose answers aren't sent yet. */
  get #unfinished(): number {
    return Math.max(this.#state.requests.inProgress, this.#connections?.unsent ?? 0);
  }

  #tick(): void {
    this.#state.tick();
    this.#state.admission.tick();
    const { routes } = this.#state.config;
    if (routes !== null) {
      this.#connections?.applyLimits(routes.plan.limits);
    }
    this.#watch.poll();
  }

  async #onRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    res.sendDate = false;
    this.#connections?.onRequest(req, res);
    const startedAt = this.#runtime.now();
    const reply = new DirectReply(res);
    let request: DirectRequest;
    try {
      request = await this.#reader.read(req, res, reply, startedAt);
    } catch (err) {
      if (!(err instanceof RequestError)) {
        throw err;
      }
      this.#refuse(req, reply, err);
      return;
    }
    this.#state.requests.begin();
    this.#state.retries.countRequest(request.service);
    const decision = await this.#acquire(request);
    if (this.#state.isQuarantined(request)) {
      this.#refuseQuarantined(request, decision);
      return;
    }
    if (!decision.granted) {
      this.#refuseUnsent(request, decision.retryAfterMs);
      return;
    }
    const call = new DirectCall(this.#state, request);
    const outcome = await call.run();
    this.#state.requests.end(request, outcome, call);
  }

  /** Waits for a slot at the service, until the caller disconnects or the request is quarantined. */
  async #acquire(request: DirectRequest): Promise<SlotDecision> {
    if (this.#state.isQuarantined(request)) {
      return { granted: false, retryAfterMs: 0 };
    }
    const { service, deadline } = request;
    if (this.#state.evacuations.refusal(service) !== null) {
      const leftMs = deadline - this.#runtime.now();
      return { granted: false, retryAfterMs: this.#state.retryAfter(service, leftMs) };
    }
    const waitAbort = new AbortController();
    const end = (): void => waitAbort.abort();
    const unregisterClose = request.reply.registerClose(end);
    const unregisterQuarantineListener = this.#state.registerQuarantineListener(request, end);
    const decision = await this.#state.admission.acquire(slotRequestOf(request), waitAbort.signal);
    unregisterQuarantineListener();
    unregisterClose();
    return decision;
  }

  /** Refuses a quarantined request before it is sent to any endpoint. */
  #refuseQuarantined(request: DirectRequest, { granted }: SlotDecision): void {
    if (granted) {
      this.#state.admission.onUnused(request.service);
    }
    const { screening } = this.#state;
    screening.logQuarantined(request.identity, request.head.id);
    const quarantinedForMs = screening.quarantinedForMs(request.identity);
    request.reply.refuse(quarantineError(), quarantinedForMs, this.#state.isLeaving);
    this.#state.requests.end(
      request,
      request.reply.isClosed ? 'callerGone' : 'quarantined',
      UNSENT_STATS,
    );
  }

  /** Refuses a request that got no slot, as its service is overloaded or evacuated. */
  #refuseUnsent(request: DirectRequest, retryAfterMs: number): void {
    const isDisconnected = request.reply.isClosed;
    const error =
      this.#state.evacuations.refusal(request.service) ??
      new RequestError('overloaded', 'the service has no place in time');
    request.reply.refuse(error, retryAfterMs, this.#state.isLeaving);
    this.#state.requests.end(request, isDisconnected ? 'callerGone' : 'refused', UNSENT_STATS);
  }

  #refuse(req: IncomingMessage, reply: DirectReply, err: RequestError): void {
    const { id } = this.#state.dialect.readRequest(req.headers);
    const retryAfter = err.status === 503 ? this.#state.retryAfter('', 0) : null;
    if (!BODY_CODES.has(err.code) || this.#bodyLog.take()) {
      this.#runtime.log.info(
        { event: 'refuse', request: id, code: err.code, reason: err.message, path: req.url },
        'refused',
      );
    }
    reply.refuse(err, retryAfter, this.#state.isLeaving);
    this.#state.requests.countReply(reply);
  }
}

/** Runs an entry process until the signal is aborted, then until no request is in progress. */
export async function runDirectEntry(
  cfg: DirectEntrySettings,
  dialects: DirectDialects,
  runtime: Runtime,
  signal: AbortSignal,
): Promise<void> {
  const stop = new AbortController();
  const entry = new DirectEntry(cfg, dialects, runtime, stop.signal);
  const bounds = serverBoundsOf(runtime, cfg.maxDescriptors ?? null);
  await entry.serve(stop.signal, bounds);
  const onCheck: RequestHandler = (_req, res) => {
    const reason = entry.readiness;
    res.writeHead(reason === 'ready' ? 200 : 503, { 'content-type': 'text/plain' });
    res.end(`${reason}\n`);
  };
  const readiness = createHttpServer({}, onCheck, bounds.checks);
  readiness.listen({ host: cfg.readiness.host, port: cfg.readiness.port });
  const app = createApp(runtime, () => ({
    ready: entry.readiness === 'ready',
    reason: entry.readiness,
  }));
  await serveHttp(app, cfg.metrics, stop.signal, bounds.checks);
  runtime.log.info({ event: 'listening', callers: cfg.callers }, 'entry is up');
  await waitForAbort(signal);
  await entry.leave();
  stop.abort();
  readiness.close();
}
