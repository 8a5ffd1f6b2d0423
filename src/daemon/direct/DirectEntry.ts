/** Entry process that calls endpoints directly: they prove their instance themselves. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import {
  RequestError,
  type DocumentDialect,
  type HttpDialect,
  type KeyedCustomer,
  type Route,
} from '../../protocol/index.js';
import { findRoute, pickTarget } from '../../state/index.js';
import { readBody, serveHttp, type Address } from '../../transport/index.js';
import { DaemonHubLink } from '../DaemonHubLink.js';
import { createApp } from '../DaemonApp.js';
import { waitForAbort, runEvery, type Runtime } from '../DaemonRuntime.js';
import type { ControlTarget } from '../DaemonSettings.js';
import type { SlotDecision } from './DirectAdmission.js';
import { DirectConfigWatch } from './DirectConfigWatch.js';
import { DirectCall } from './DirectCall.js';
import { DirectCallerConnections } from './DirectCallerConnections.js';
import { DirectReply, quarantineError } from './DirectReply.js';
import { slotRequestOf, type DirectRequest } from './DirectRequest.js';
import { DirectEntryState } from './DirectEntryState.js';
import type { CallStats } from './DirectRequestLog.js';
import type { RetryAllowance } from '../../coordination/index.js';

/** Settings of the process. */
export interface DirectEntrySettings {
  readonly id: string;
  readonly zone: string;
  readonly callers: Address;
  readonly readiness: Address;
  readonly metrics: Address;
  /** Control processes that the settings name now. */
  readonly controls: () => readonly ControlTarget[];
  readonly revokeMs: number;
  /** Time from the signal to the end by force, ms. */
  readonly graceMs: number;
  readonly retries: RetryAllowance;
}

/** How the platform speaks. */
export interface DirectDialects {
  readonly http: HttpDialect;
  readonly documents: DocumentDialect;
}

const TICK_MS = 250;

/** How often a process that has no proof yet of its configuration asks for one, ms. */
const UNPROVEN_TICK_MS = 50;

/** How often waiting requests are looked at, ms: short against the objective. */
const QUEUE_TICK_MS = 25;

/** Before its end by force the process leaves by itself, with this much time to spare. In ms. */
const GRACE_MARGIN_MS = 700;

/** A leaving process waits this long with nothing in progress: callers' connections drain. In ms. */
const IDLE_DRAIN_MS = 1_200;

/** A platform that asks each second takes a process that isn't ready out within this time. In ms. */
const DEREGISTRATION_MS = 2_500;

/** A leaving process takes streams for this long: later ones may last beyond its end. In ms. */
const STREAM_ACCEPT_MS = 2_600;

/** A plain call that a leaving process takes must have this much time until its end, ms. */
const MIN_CALL_MS = 1_500;

/** A request that went to no endpoint. */
const UNSENT_STATS: CallStats = { firstMs: null, longestPauseMs: 0, lastEvent: null, attempts: 0 };

/** Entry process. */
export class DirectEntry {
  readonly #cfg: DirectEntrySettings;

  readonly #runtime: Runtime;

  readonly #state: DirectEntryState;

  readonly #hubLink: DaemonHubLink;

  readonly #watch: DirectConfigWatch;

  #leavingSince: number | null = null;

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
    const { id, zone, revokeMs, retries } = cfg;
    this.#state = new DirectEntryState({
      id,
      zone,
      runtime,
      revokeMs,
      retries,
      ...dialects,
      sendQuarantineUpdate: (update) => this.#hubLink.notify('quarantine', update),
      sendLimitUpdate: (update) => this.#hubLink.notify('limits', update),
    });
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
        this.#state.sendSlots.limits.onUp();
      },
    });
    this.#watch = new DirectConfigWatch({
      hub: this.#hubLink,
      runtime,
      onNewest: (index, askedAt) => this.#state.onNewest(index, askedAt),
    });
  }

  /** What it knows and has in progress. */
  get state(): DirectEntryState {
    return this.#state;
  }

  /** Listens for callers; its own timers run until the signal. */
  async serve(signal: AbortSignal): Promise<Server> {
    const { callers } = this.#cfg;
    const server = createServer({ keepAlive: true, noDelay: true }, (req, res) => {
      this.#onRequest(req, res).catch((err: unknown) => {
        this.#runtime.log.error({ err }, 'request failed');
        res.destroy();
      });
    });
    server.requestTimeout = 0;
    this.#connections = new DirectCallerConnections(server);
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host: callers.host, port: callers.port, backlog: 1_024 }, resolve);
    });
    runEvery(TICK_MS, signal, () => this.#tick());
    runEvery(UNPROVEN_TICK_MS, signal, () => {
      if (!this.#state.isProven) {
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
   * Leaves: takes no new connections from the platform, ends kept ones with their next answer, and
   * waits for all requests in progress, streams included.
   */
  async leave(): Promise<void> {
    this.#state.isLeaving = true;
    this.#state.startup.end();
    this.#hubLink.announce({ status: 'leaving' });
    const leftAt = this.#runtime.now();
    this.#leavingSince = leftAt;
    let idleSince = leftAt;
    while (this.#remainingMs > 0) {
      const now = this.#runtime.now();
      const isDeregistered = now - leftAt > DEREGISTRATION_MS;
      if (this.#state.requests.inProgress > 0) {
        idleSince = now;
      } else if (isDeregistered && now - idleSince > IDLE_DRAIN_MS) {
        break;
      }
      if (isDeregistered) {
        // Callers that hold them would send their next request into our end.
        this.#server?.closeIdleConnections();
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(50);
    }
    this.#runtime.log.info({ event: 'left', inProgress: this.#state.requests.inProgress }, 'left');
    this.#server?.close();
    this.#server?.closeIdleConnections();
  }

  /** Time until this leaving process ends, ms; without end for one that stays. */
  get #remainingMs(): number {
    const since = this.#leavingSince;
    return since === null
      ? Infinity
      : since + this.#cfg.graceMs - GRACE_MARGIN_MS - this.#runtime.now();
  }

  /**
   * Refuses what a leaving process can't see through.
   *
   * Failure: a caller sends a long stream on a kept connection when the process is about to end.
   * Symptom: the stream is cut by its end. Enough: such a request is refused as not run, at once, and
   * the caller sends it elsewhere.
   */
  #refuseIfLeaving(route: Route): void {
    const since = this.#leavingSince;
    if (since === null) {
      return;
    }
    const tooLate =
      route.kind === 'stream'
        ? this.#runtime.now() - since > STREAM_ACCEPT_MS
        : this.#remainingMs < MIN_CALL_MS;
    if (tooLate) {
      throw new RequestError('leaving', 'this process is about to end');
    }
  }

  #tick(): void {
    this.#state.tick();
    this.#state.admission.tick();
    const { routes } = this.#state;
    if (this.#server !== null && routes !== null) {
      this.#server.keepAliveTimeout = routes.plan.limits.idleTimeoutMs;
      this.#server.headersTimeout = Math.max(1_000, routes.plan.limits.headerTimeoutMs * 2);
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
      request = await this.#read(req, reply, startedAt);
    } catch (err) {
      if (!(err instanceof RequestError)) {
        throw err;
      }
      this.#refuse(req, reply, err);
      return;
    }
    this.#state.requests.begin();
    const verdict = await this.#acquire(request);
    if (this.#state.isQuarantined(request)) {
      this.#refuseQuarantined(request, verdict);
      return;
    }
    if (!verdict.granted) {
      this.#refuseOverloaded(request, verdict.retryAfterMs);
      return;
    }
    this.#state.countFirst(request.service);
    const call = new DirectCall(this.#state, request);
    const outcome = await call.run();
    this.#state.requests.end(request, outcome, call);
  }

  /** Waits for a place at the service, as long as its caller does and the request may be sent at all. */
  async #acquire(request: DirectRequest): Promise<SlotDecision> {
    if (this.#state.isQuarantined(request)) {
      return { granted: false, retryAfterMs: 0 };
    }
    const over = new AbortController();
    const end = (): void => over.abort();
    const unregisterClose = request.reply.registerClose(end);
    const unregisterQuarantineListener = this.#state.registerQuarantineListener(request, end);
    const verdict = await this.#state.admission.acquire(slotRequestOf(request), over.signal);
    unregisterQuarantineListener();
    unregisterClose();
    return verdict;
  }

  /** Refuses a request that endpoints have ended under, before it is sent to any. */
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

  #refuseOverloaded(request: DirectRequest, retryAfterMs: number): void {
    const isDisconnected = request.reply.isClosed;
    const error = new RequestError('overloaded', 'the service has no place in time');
    request.reply.refuse(error, retryAfterMs, this.#state.isLeaving);
    this.#state.requests.end(request, isDisconnected ? 'callerGone' : 'refused', UNSENT_STATS);
  }

  #refuse(req: IncomingMessage, reply: DirectReply, err: RequestError): void {
    const { id } = this.#state.dialect.readRequest(req.headers);
    const retryAfter = err.status === 503 ? this.#state.retryAfter('', 0) : null;
    this.#runtime.log.info(
      { event: 'refuse', request: id, code: err.code, reason: err.message, path: req.url },
      'refused',
    );
    reply.refuse(err, retryAfter, this.#state.isLeaving);
    this.#state.requests.countReply(reply);
  }

  get #hasConfig(): boolean {
    return this.#state.routes !== null && this.#state.isProven;
  }

  /** Waits for what a process that has just started lacks, as long as the caller does. */
  async #awaitStartup(
    reply: DirectReply,
    startedAt: number,
    timeoutMs: number | null,
    isMet: () => boolean,
  ): Promise<void> {
    if (isMet()) {
      return;
    }
    const disconnected = new AbortController();
    const unregister = reply.registerClose(() => disconnected.abort());
    await this.#state.startup.waitUntil(
      isMet,
      startedAt,
      timeoutMs ?? Infinity,
      disconnected.signal,
    );
    unregister();
  }

  /** Reads a request whole and finds out who may have it served by what. */
  async #read(req: IncomingMessage, reply: DirectReply, startedAt: number): Promise<DirectRequest> {
    const head = this.#state.dialect.readRequest(req.headers);
    const body = await readBody(req);
    await this.#awaitStartup(reply, startedAt, head.deadlineMs, () => this.#hasConfig);
    const { route, customer } = this.#authorize(req, head.key);
    this.#refuseIfLeaving(route);
    const timeoutMs = Math.min(route.timeoutMs, head.deadlineMs ?? route.timeoutMs);
    const service = pickTarget(route, this.#runtime.random());
    await this.#awaitStartup(reply, startedAt, timeoutMs, () => this.#state.knowsEndpoint(service));
    return {
      req,
      reply,
      head,
      route,
      service,
      customer,
      body,
      identity: {
        customer: route.anonymous ? '' : (customer?.name ?? ''),
        method: req.method ?? 'GET',
        host: req.headers.host ?? '',
        path: req.url ?? '/',
        body,
      },
      startedAt,
      deadline: startedAt + timeoutMs,
    };
  }

  /**
   * Finds the route and the customer of a request.
   *
   * Failure: an entry process that lags behind refuses a new key or path for good. Symptom: callers
   * don't come back after 401 or 404. Enough: it says so only shortly after the newest configuration was
   * proven; else it refuses with 503, which callers repeat elsewhere. What it knows it serves for as long
   * as no key can have died.
   */
  #authorize(
    req: IncomingMessage,
    key: string | null,
  ): { readonly route: Route; readonly customer: KeyedCustomer | null } {
    const { routes, isFresh, isProven, mayDeny } = this.#state;
    if (routes === null || !isProven) {
      throw new RequestError('not_ready', this.#state.readiness);
    }
    const route = findRoute(routes, req.headers.host ?? '', req.url ?? '/');
    const needsKey = routes.plan.customers.length > 0 && route?.anonymous !== true;
    const customer = key === null ? undefined : routes.byKey.get(key);
    const isOpen = route !== undefined && !needsKey;
    const isKnown = route !== undefined && customer !== undefined && isFresh;
    if (isOpen || isKnown) {
      return { route, customer: customer ?? null };
    }
    if (!mayDeny) {
      throw new RequestError('not_ready', 'not sure that the configuration is the newest');
    }
    if (route === undefined) {
      throw new RequestError('unknown_path', `no route for ${req.url ?? ''}`);
    }
    throw new RequestError('unknown_key', 'no customer has this key');
  }
}

/** Runs an entry process until the signal, then until no request is in progress. */
export async function runDirectEntry(
  cfg: DirectEntrySettings,
  dialects: DirectDialects,
  runtime: Runtime,
  signal: AbortSignal,
): Promise<void> {
  const stop = new AbortController();
  const entry = new DirectEntry(cfg, dialects, runtime, stop.signal);
  await entry.serve(stop.signal);
  const readiness = createServer((_req, res) => {
    const reason = entry.readiness;
    res.writeHead(reason === 'ready' ? 200 : 503, { 'content-type': 'text/plain' });
    res.end(`${reason}\n`);
  });
  readiness.listen({ host: cfg.readiness.host, port: cfg.readiness.port });
  const app = createApp(runtime, () => ({
    ready: entry.readiness === 'ready',
    reason: entry.readiness,
  }));
  await serveHttp(app, cfg.metrics, stop.signal);
  runtime.log.info({ event: 'listening', callers: cfg.callers }, 'entry is up');
  await waitForAbort(signal);
  await entry.leave();
  stop.abort();
  readiness.close();
}
