/** Task state of an entry process that calls endpoints directly: configuration, members, budgets. */
import {
  countFirstAttempt,
  EMPTY_RETRY_BUDGET,
  finishUpdate,
  FRESHNESS_LEASE_FRACTION,
  receiveConfig,
  initRouting,
  isFresh,
  isProven,
  isUpdateDue,
  incarnationKeyOf,
  mergeDelta,
  QUARANTINE_CRASHES,
  requestUpdate,
  receiveNewestIndex,
  pruneView,
  routeRequest,
  serviceKey,
  servingMembers,
  IDLE_THROTTLE,
  takeRetryWithin,
  UNPROVEN,
  updateRouting,
  type ClockReading,
  type FreshnessState,
  type MembershipView,
  type RetryAllowance,
  type RetryBudgetState,
  type RoutingDecision,
  type RoutingState,
  type UpdateThrottle,
} from '../../coordination/index.js';
import type {
  DirectoryDelta,
  DocumentDialect,
  HttpDialect,
  LimitNews,
  MemberRecord,
} from '../../protocol/index.js';
import { viewRoutes, type ConfigState, type RouteView } from '../../state/index.js';
import { findLast, type EndpointPool } from '../../transport/index.js';
import type { SendQuarantineUpdate } from '../DaemonQuarantine.js';
import type { SendUpdate } from '../DaemonSharedSet.js';
import { DaemonScreening } from '../DaemonScreening.js';
import type { Runtime } from '../DaemonRuntime.js';
import { DirectAdmission, DEFAULT_PAUSE_MS, type ModelService } from './DirectAdmission.js';
import type { AttemptFailure } from './DirectAttempt.js';
import type { DirectRequest } from './DirectRequest.js';
import { DirectRequestLog } from './DirectRequestLog.js';
import { DirectPools } from './DirectPools.js';
import { DirectStartup } from './DirectStartup.js';
import { DirectSendSlots, type SendSlot } from './DirectSendSlots.js';
import { DIRECT_FLEET, textOfDocument } from './DirectDocument.js';

/** What the state needs. */
export interface DirectEntryOptions {
  readonly id: string;
  readonly zone: string;
  readonly runtime: Runtime;
  readonly http: HttpDialect;
  readonly documents: DocumentDialect;
  /** ms within which a withdrawn key must be dead. */
  readonly revokeMs: number;
  readonly retries: RetryAllowance;
  /** Sends news of suspected requests to the control process. */
  readonly sendQuarantineUpdate: SendQuarantineUpdate;
  /** Sends news of limits to the control process. */
  readonly sendLimitUpdate: SendUpdate<LimitNews>;
}

/** Instances proven gone are remembered this long, against late news of them. In ms. */
const REPLACED_RETENTION_MS = 60_000;

/**
 * Age of the proof of the newest configuration up to which a key or path is called unknown, ms: two
 * questions' interval, and under the two seconds in which a change must be in force.
 */
const DENIAL_MAX_AGE_MS = 1_500;

/** Connections that an endpoint takes where its service doesn't say. */
const DEFAULT_CONNECTIONS = 64;

/** Where nothing tells when a place is free, callers come back after about this long. In ms. */
const RETRY_AFTER_MS = 400;

/** State of the process; each part is replaced whole. */
export class DirectEntryState {
  readonly #options: DirectEntryOptions;

  readonly #pools = new DirectPools();

  /** When a life of an endpoint was proven to be over. */
  readonly #replaced = new Map<string, number>();

  readonly #budgets = new Map<string, RetryBudgetState>();

  /** What is written down of requests. */
  readonly requests: DirectRequestLog;

  readonly screening: DaemonScreening;

  readonly admission: DirectAdmission;

  readonly startup: DirectStartup;

  readonly sendSlots: DirectSendSlots;

  /** Model services by name, as the newest configuration declares them. */
  readonly #models = new Map<string, ModelService | null>();

  #view: MembershipView = new Map();

  /** Members that have changed since their view was last worked out. */
  #throttle: UpdateThrottle = IDLE_THROTTLE;

  #routing: RoutingState;

  #routes: RouteView | null = null;

  #freshness: FreshnessState = UNPROVEN;

  #entryHosts = 0;

  isLeaving = false;

  constructor(options: DirectEntryOptions) {
    this.#options = options;
    this.#routing = initRouting(options.zone);
    this.startup = new DirectStartup(options.runtime);
    this.admission = new DirectAdmission(options.zone, options.runtime, (service) =>
      this.#modelOf(service),
    );
    this.requests = new DirectRequestLog(options.runtime);
    this.sendSlots = new DirectSendSlots({
      self: options.id,
      runtime: options.runtime,
      send: options.sendLimitUpdate,
      serving: (id) => this.#servingEndpoint(id),
    });
    this.screening = new DaemonScreening({
      runtime: options.runtime,
      metrics: this.requests.metrics,
      send: options.sendQuarantineUpdate,
    });
  }

  get dialect(): HttpDialect {
    return this.#options.http;
  }

  get routes(): RouteView | null {
    return this.#routes;
  }

  get heldIndex(): number {
    return this.#freshness.heldConfigIndex;
  }

  now(): number {
    return this.#options.runtime.now();
  }

  /** Whether the configuration held here is proven to be the newest, as far as keys need it. */
  get isFresh(): boolean {
    const leaseMs = this.#options.revokeMs * FRESHNESS_LEASE_FRACTION;
    return isFresh(this.#freshness, this.#options.runtime.clocks(), leaseMs);
  }

  /** Whether the configuration held here was proven to be the newest since this process began. */
  get isProven(): boolean {
    return isProven(this.#freshness);
  }

  /** Whether a key or path that this process doesn't know is unknown to the newest configuration too. */
  get mayDeny(): boolean {
    return isFresh(this.#freshness, this.#options.runtime.clocks(), DENIAL_MAX_AGE_MS);
  }

  /** What is missing to serve, or `ready`. */
  get readiness(): string {
    if (this.isLeaving) {
      return 'leaving';
    }
    if (this.#routes === null) {
      return 'no configuration yet';
    }
    if (!this.isFresh) {
      return 'not sure that the configuration is the newest';
    }
    return this.#routing.positions.size === 0 ? 'no endpoint known yet' : 'ready';
  }

  onConfig(config: ConfigState): void {
    const text = textOfDocument(config.entries);
    if (text !== null) {
      this.#routes = viewRoutes(this.#options.documents.readPlan(text));
    }
    this.#models.clear();
    this.#setView(this.#view);
    this.#setFreshness(receiveConfig(this.#freshness, config.index));
    const version = this.#routes?.plan.version ?? null;
    this.#options.runtime.log.info({ event: 'config', index: config.index, version }, 'in force');
    this.startup.recheck();
  }

  /**
   * A leader with a fresh quorum has named the newest configuration, asked for at `askedAt`. Tells whether it
   * is held here.
   */
  onNewest(index: number, askedAt: ClockReading): boolean {
    this.#setFreshness(receiveNewestIndex(this.#freshness, index, askedAt));
    return this.#freshness.heldConfigIndex >= index;
  }

  onDirectory(delta: DirectoryDelta): void {
    this.screening.onMembers(delta.records, (id) => !this.#view.has(id));
    this.#view = mergeDelta(this.#view, delta, this.now());
    this.#throttle = requestUpdate(this.#throttle);
    this.applyChanges();
  }

  /** Works out what follows from members that have changed, a little later where many do one after the other. */
  applyChanges(): void {
    if (isUpdateDue(this.#throttle, this.now())) {
      this.#setView(this.#view);
    }
  }

  /** Drops what has been missing for too long. */
  tick(): void {
    this.screening.tick();
    this.sendSlots.tick();
    const view = pruneView(this.#view, this.now());
    if (view !== this.#view) {
      this.#setView(view);
    }
    const old = this.now() - REPLACED_RETENTION_MS;
    [...this.#replaced]
      .filter(([, at]) => at < old)
      .forEach(([incarnationKey]) => this.#replaced.delete(incarnationKey));
  }

  /** Chooses an endpoint, and writes down why. */
  route(
    service: string,
    request: string,
    exclude: readonly string[],
    attempt: number,
  ): MemberRecord | null {
    const without = this.sendSlots.withBlocked(exclude);
    const ranked = this.#chooseRank(service, without);
    if (ranked !== undefined) {
      const record = ranked === null ? null : (this.#view.get(ranked)?.record ?? null);
      this.requests.chosenRank({ service, request, attempt }, record?.id ?? null);
      return record;
    }
    const decision = this.#chooseByWork(service, without);
    this.requests.chosen({ service, request, attempt }, decision);
    return decision.endpoint;
  }

  /** An endpoint that has just refused is better than none. Undefined where the service has no groups. */
  #chooseRank(service: string, without: readonly string[]): string | null | undefined {
    const { avoided } = this.sendSlots.refusals;
    const chosen = this.admission.choose(service, [...without, ...avoided]);
    return chosen === null && avoided.length > 0 ? this.admission.choose(service, without) : chosen;
  }

  #chooseByWork(service: string, without: readonly string[]): RoutingDecision {
    const { avoided } = this.sendSlots.refusals;
    const key = serviceKey(DIRECT_FLEET, service);
    const choose = (exclude: readonly string[]): RoutingDecision =>
      routeRequest(
        this.#routing,
        { service: key, prefix: null, exclude },
        this.now(),
        this.#options.runtime.rng,
      );
    const decision = choose([...without, ...avoided]);
    return decision.endpoint === null && avoided.length > 0 ? choose(without) : decision;
  }

  /** Whether an endpoint of the service is known; for model engines that are ranks, their group. */
  knowsEndpoint(service: string): boolean {
    const model = this.#modelOf(service);
    return model !== null && model.costs.experts > 0
      ? this.admission.hasGroups(service)
      : (this.#routing.services.get(serviceKey(DIRECT_FLEET, service))?.length ?? 0) > 0;
  }

  /** Ends of endpoints after which a request is sent to no other. */
  #quarantineCrashes(service: string): number {
    return this.admission.hasGroups(service) ? QUARANTINE_CRASHES.group : QUARANTINE_CRASHES.single;
  }

  /** Whether a request must be sent to no endpoint. */
  isQuarantined({ identity, service }: DirectRequest): boolean {
    return this.screening.isQuarantined(identity, this.#quarantineCrashes(service));
  }

  /** Calls once a request in progress is held; the result ends that. */
  registerQuarantineListener(
    { identity, service }: DirectRequest,
    onQuarantined: () => void,
  ): () => void {
    return this.screening.registerQuarantineListener(
      identity,
      this.#quarantineCrashes(service),
      onQuarantined,
    );
  }

  /** Whether an endpoint is left for another attempt. */
  canRoute(service: string, exclude: readonly string[]): boolean {
    const without = this.sendSlots.withBlocked(exclude);
    const ranked = this.admission.choose(service, without);
    return ranked === undefined ? this.#hasOther(service, without) : ranked !== null;
  }

  /** Takes the next turn at an endpoint of the service that takes nothing now; null where none comes in time. */
  reserveSendSlot(service: string, exclude: readonly string[], withinMs: number): SendSlot | null {
    return this.admission.isClosed(service)
      ? null
      : this.sendSlots.reserveNext(service, exclude, withinMs);
  }

  /** Time until an endpoint of the service that takes nothing now takes a request, ms; null where none will. */
  nextSendSlotMs(service: string, exclude: readonly string[]): number | null {
    return this.admission.isClosed(service)
      ? null
      : (this.sendSlots.next(service, exclude)?.waitMs ?? null);
  }

  #servingEndpoint(id: string): MemberRecord | undefined {
    const record = this.#view.get(id)?.record;
    const serves = record?.status === 'serving' && !this.#replaced.has(incarnationKeyOf(record));
    return serves ? record : undefined;
  }

  #hasOther(service: string, without: readonly string[]): boolean {
    const known = this.#routing.services.get(serviceKey(DIRECT_FLEET, service)) ?? [];
    return known.some(({ record }) => !without.includes(record.id));
  }

  onSent(service: string, id: string): void {
    this.admission.onSent(service, id);
    this.#routing = updateRouting(this.#routing, { type: 'sent', id }, this.now());
  }

  onDone(service: string, id: string, result: 'whole' | 'refused' | 'failed' | 'cancelled'): void {
    this.admission.onDone(service, id);
    this.#routing = updateRouting(this.#routing, { type: 'done', id, result }, this.now());
  }

  /**
   * Takes what a failed attempt proves. Another instance at the address means that this one is gone:
   * the hub may still list it for as long as its heartbeats' lease runs.
   */
  onAttemptFailed(endpoint: MemberRecord, failed: AttemptFailure): void {
    const { wrongInstance, faultyInstance } = failed;
    if (faultyInstance !== null && faultyInstance !== endpoint.id) {
      this.admission.onGroupBroken(endpoint.id);
    }
    if (wrongInstance) {
      this.#replaced.set(incarnationKeyOf(endpoint), this.now());
      this.#setView(this.#view);
    }
  }

  /**
   * The connection to an endpoint has ended under a request. Resolves once it is known, as far as it can be, whether
   * the endpoint has. One that leaves, or is known to be gone, ends as planned: that tells nothing of its requests.
   */
  async onConnectionLost(endpoint: MemberRecord, request: DirectRequest): Promise<void> {
    const record = this.#view.get(endpoint.id)?.record;
    if (record?.status === 'serving' && record.incarnation === endpoint.incarnation) {
      await this.screening.onConnectionLost(endpoint, request.identity, request.head.id);
    }
  }

  countFirst(service: string): void {
    const { retries } = this.#options;
    const known = this.#budgets.get(service) ?? EMPTY_RETRY_BUDGET;
    this.#budgets.set(service, countFirstAttempt(known, this.now(), retries));
  }

  takeRetry(service: string): boolean {
    const { retries } = this.#options;
    const known = this.#budgets.get(service) ?? EMPTY_RETRY_BUDGET;
    const { state, allowed } = takeRetryWithin(known, this.now(), retries, this.#entryHosts);
    this.#budgets.set(service, state);
    return allowed;
  }

  /** When a caller that is refused should come back, ms. */
  retryAfter(service: string, leftMs: number): number {
    const defaultMs = RETRY_AFTER_MS * (0.5 + this.#options.runtime.random());
    const sendSlotMs = this.canRoute(service, []) ? null : this.nextSendSlotMs(service, []);
    return sendSlotMs ?? this.admission.retryAfter(service, leftMs) ?? defaultMs;
  }

  /** Headers of an endpoint's answer as they go to the caller. */
  answerHeaders(raw: readonly string[]): string[] {
    const headers = this.#options.http.writeAnswer(raw);
    return this.isLeaving ? [...headers, 'Connection', 'close'] : headers;
  }

  /** The last of some whole events, with its id; null where there are only comments. */
  lastEvent(events: Buffer): { readonly id: string | null } | null {
    return findLast(events, this.#options.http.eventId);
  }

  pool(endpoint: MemberRecord): EndpointPool {
    const serviceSpec = this.#routes?.services.get(endpoint.offer?.service ?? '');
    return this.#pools.to(
      endpoint,
      serviceSpec?.maxConnections ?? DEFAULT_CONNECTIONS,
      this.#entryHosts,
    );
  }

  #setFreshness(freshness: FreshnessState): void {
    const wasProven = this.isProven;
    this.#freshness = freshness;
    if (!wasProven && this.isProven) {
      const { log } = this.#options.runtime;
      log.info(
        { event: 'proven', index: freshness.heldConfigIndex },
        'configuration proven the newest',
      );
      this.startup.recheck();
    }
  }

  #setView(view: MembershipView): void {
    this.#view = view;
    this.#throttle = finishUpdate(this.now());
    const serving = servingMembers(view).filter(
      (record) => !this.#replaced.has(incarnationKeyOf(record)),
    );
    const entries = serving.filter(({ role }) => role === 'entry').map(({ id }) => id);
    this.#entryHosts = entries.length;
    this.sendSlots.limits.setHosts(entries);
    this.admission.setMembers(serving, this.#entryHosts);
    this.#routing = updateRouting(this.#routing, { type: 'members', records: serving }, this.now());
    const incarnationKeys = new Set(
      [...view.values()].map(({ record }) => incarnationKeyOf(record)),
    );
    this.sendSlots.keep((incarnationKey) => incarnationKeys.has(incarnationKey));
    this.#pools.keep(
      (incarnationKey) =>
        incarnationKeys.has(incarnationKey) && !this.#replaced.has(incarnationKey),
    );
    this.startup.recheck();
  }

  #modelOf(service: string): ModelService | null {
    const known = this.#models.get(service);
    if (known !== undefined) {
      return known;
    }
    const costs = this.#routes?.services.get(service)?.engine ?? null;
    const pauseLimits = (this.#routes?.plan.routes ?? [])
      .filter(({ targets }) => targets.some((target) => target.service === service))
      .flatMap(({ pauseMs }) => (pauseMs === null ? [] : [pauseMs]));
    const pauseMs = pauseLimits.length === 0 ? DEFAULT_PAUSE_MS : Math.min(...pauseLimits);
    const model = costs === null ? null : { costs, pauseMs };
    this.#models.set(service, model);
    return model;
  }
}
