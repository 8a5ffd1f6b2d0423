/** State of an entry process that calls endpoints directly: configuration, members, retry budgets. */
import {
  countFirstAttempt,
  EMPTY_RETRY_BUDGET,
  finishUpdate,
  FRESHNESS_LEASE_FRACTION,
  receiveConfig,
  initRouting,
  isFresh,
  isOutdated,
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
  ColdBounds,
  DirectoryDelta,
  DocumentDialect,
  HttpDialect,
  LimitUpdate,
  MemberRecord,
} from '../../protocol/index.js';
import { viewRoutes, type ConfigState, type RouteView } from '../../state/index.js';
import { findLastEvent, type EndpointPool } from '../../transport/index.js';
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
import { DEFAULT_COLD_BOUNDS } from './DirectColdEndpoints.js';
import { DirectSendSlots, type SendSlot } from './DirectSendSlots.js';
import { DIRECT_FLEET, textOfDocument } from './DirectDocument.js';

/** Options of a {@link DirectEntryState}. */
export interface DirectEntryOptions {
  readonly id: string;
  readonly zone: string;
  readonly runtime: Runtime;
  readonly http: HttpDialect;
  readonly documents: DocumentDialect;
  /** Time within which a revoked key must stop working, ms. */
  readonly revokeMs: number;
  /** Time within which an accepted configuration must be in force, ms. */
  readonly applyMs: number;
  readonly retries: RetryAllowance;
  readonly coldBounds?: ColdBounds;
  /** Sends updates on suspect requests to the control process. */
  readonly sendQuarantineUpdate: SendQuarantineUpdate;
  /** Sends updates on limits to the control process. */
  readonly sendLimitUpdate: SendUpdate<LimitUpdate>;
}

/** Replaced instances are remembered this long, as late updates may still list them. In ms. */
const REPLACED_RETENTION_MS = 60_000;

/**
 * Maximum age of the proof that the configuration is the newest for a key or path to be refused as unknown, ms:
 * just over two poll intervals, and below the 2 s within which a change must be in force.
 */
const DENIAL_MAX_AGE_MS = 1_500;

/** Connections that an endpoint accepts where its service doesn't declare a number. */
const DEFAULT_CONNECTIONS = 64;

/** Average retry delay given to callers where it isn't known when a slot becomes free, ms. */
const RETRY_AFTER_MS = 400;

/** State of the process. */
export class DirectEntryState {
  readonly #options: DirectEntryOptions;

  readonly #pools = new DirectPools();

  /** When an incarnation of an endpoint was found to be replaced by another instance at its address, ms. */
  readonly #replaced = new Map<string, number>();

  readonly #budgets = new Map<string, RetryBudgetState>();

  /** Logs and counts the requests. */
  readonly requests: DirectRequestLog;

  readonly screening: DaemonScreening;

  readonly admission: DirectAdmission;

  readonly startup: DirectStartup;

  readonly sendSlots: DirectSendSlots;

  /** Cache of model services by name, as the newest configuration declares them; null for other services. */
  readonly #models = new Map<string, ModelService | null>();

  #view: MembershipView = new Map();

  /** Throttles the work that follows from changed members. */
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
      cold: {
        bounds: options.coldBounds ?? DEFAULT_COLD_BOUNDS,
        specOf: (service) => this.#routes?.services.get(service)?.cold,
        // A proof of the newest configuration is a round trip to the control processes.
        contactAt: () => this.#freshness.provenAt?.monotonic ?? -Infinity,
      },
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

  /** Whether the configuration held here was proven to be the newest recently enough to accept keys by it. */
  get isFresh(): boolean {
    const leaseMs = this.#options.revokeMs * FRESHNESS_LEASE_FRACTION;
    return isFresh(this.#freshness, this.#options.runtime.clocks(), leaseMs);
  }

  /** Whether the configuration held here was proven to be the newest since this process started. */
  get isProven(): boolean {
    return isProven(this.#freshness);
  }

  /** Whether a newer configuration is known of that must be in force by now, and has not arrived. */
  get isOutdated(): boolean {
    const applyMs = this.#options.applyMs * FRESHNESS_LEASE_FRACTION;
    return isOutdated(this.#freshness, this.#options.runtime.clocks(), applyMs);
  }

  /** Whether a key or path unknown to this process is unknown to the newest configuration too. */
  get mayDeny(): boolean {
    return isFresh(this.#freshness, this.#options.runtime.clocks(), DENIAL_MAX_AGE_MS);
  }

  /** Why the process can't serve, or `ready`. */
  get readiness(): string {
    if (this.isLeaving) {
      return 'leaving';
    }
    if (this.#routes === null) {
      return 'no configuration yet';
    }
    if (this.isOutdated) {
      return 'a newer configuration has not arrived';
    }
    if (!this.isFresh) {
      return 'not sure that the configuration is the newest';
    }
    return this.#routing.positions.size === 0 ? 'no endpoint known yet' : 'ready';
  }

  onConfig(config: ConfigState): void {
    const provenAt = this.#freshness.provenAt?.monotonic;
    const text = textOfDocument(config.entries);
    if (text !== null) {
      this.#routes = viewRoutes(this.#options.documents.readPlan(text));
    }
    this.#models.clear();
    this.#setView(this.#view);
    this.#setFreshness(receiveConfig(this.#freshness, config.index));
    const version = this.#routes?.plan.version ?? null;
    // How long ago the one before was last known to be the newest: this one was accepted after that.
    const sinceProofMs = provenAt === undefined ? null : Math.round(this.now() - provenAt);
    this.#options.runtime.log.info(
      { event: 'config', index: config.index, version, sinceProofMs },
      'in force',
    );
    this.startup.recheck();
  }

  /**
   * Records the newest index, as named by a leader with a fresh quorum in reply to a poll sent at `requestedAt`.
   * Returns whether that configuration is held here.
   */
  onNewest(index: number, requestedAt: ClockReading): boolean {
    this.#setFreshness(receiveNewestIndex(this.#freshness, index, requestedAt));
    return this.#freshness.heldConfigIndex >= index;
  }

  onDirectory(delta: DirectoryDelta): void {
    this.screening.onMembers(delta.records, (id) => !this.#view.has(id));
    this.#view = mergeDelta(this.#view, delta, this.now());
    const newest = delta.records.map((record) => this.#view.get(record.id)?.record ?? record);
    this.sendSlots.cold.onRecords(newest, delta.full);
    this.#throttle = requestUpdate(this.#throttle);
    this.applyChanges();
  }

  /** Applies changes of the members when due: a series of changes is applied in batches. */
  applyChanges(): void {
    if (isUpdateDue(this.#throttle, this.now())) {
      this.#setView(this.#view);
    }
  }

  /** Drops expired state, such as members that have been missing for too long. */
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

  /** Chooses an endpoint and logs the reason; null if none is available. */
  route(
    service: string,
    request: string,
    exclude: readonly string[],
    attempt: number,
  ): MemberRecord | null {
    const without = this.sendSlots.withBlocked(exclude);
    const rankId = this.#chooseRank(service, without);
    if (rankId !== undefined) {
      const record = rankId === null ? null : (this.#view.get(rankId)?.record ?? null);
      this.requests.chosenRank({ service, request, attempt }, record?.id ?? null);
      return record;
    }
    const decision = this.#chooseByWork(service, without);
    this.requests.chosen({ service, request, attempt }, decision);
    return decision.endpoint;
  }

  /**
   * Chooses a rank by free slots; undefined where the service has no groups. Endpoints that have just refused are
   * chosen only if there are no others.
   */
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

  /** Whether an endpoint of the service is known, or for model engines that run as ranks, a group. */
  knowsEndpoint(service: string): boolean {
    const model = this.#modelOf(service);
    return model !== null && model.costs.experts > 0
      ? this.admission.hasGroups(service)
      : (this.#routing.services.get(serviceKey(DIRECT_FLEET, service))?.length ?? 0) > 0;
  }

  /** Number of endpoint crashes after which a request is quarantined. */
  #quarantineCrashes(service: string): number {
    return this.admission.hasGroups(service) ? QUARANTINE_CRASHES.group : QUARANTINE_CRASHES.single;
  }

  /** Whether a request is quarantined: it must not be sent to any endpoint. */
  isQuarantined({ identity, service }: DirectRequest): boolean {
    return this.screening.isQuarantined(identity, this.#quarantineCrashes(service));
  }

  /** Registers a callback for when a request in progress is quarantined; returns a function that unregisters it. */
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
    const rankId = this.admission.choose(service, without);
    return rankId === undefined ? this.#hasOther(service, without) : rankId !== null;
  }

  /** Reserves the next send slot at a blocked endpoint of the service; null if there is none in time. */
  reserveSendSlot(service: string, exclude: readonly string[], withinMs: number): SendSlot | null {
    return this.admission.isClosed(service)
      ? null
      : this.sendSlots.reserveNext(service, exclude, withinMs);
  }

  /** Time until the next send slot at a blocked endpoint of the service, ms; null if there is none. */
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
   * Processes what a failed attempt proves. Another instance at the address means that this one doesn't exist any
   * more, though the hub may list it until the lease of its heartbeats expires.
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
   * The connection to an endpoint has ended during a request. Resolves once it is known, as far as possible, whether
   * the endpoint has crashed. One that is leaving, or isn't listed as this incarnation any more, is not checked: a
   * planned shutdown says nothing about its requests.
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

  /** Time after which a refused caller should retry, ms. */
  retryAfter(service: string, leftMs: number): number {
    const defaultMs = RETRY_AFTER_MS * (0.5 + this.#options.runtime.random());
    const sendSlotMs = this.canRoute(service, []) ? null : this.nextSendSlotMs(service, []);
    return sendSlotMs ?? this.admission.retryAfter(service, leftMs) ?? defaultMs;
  }

  /** Headers of an endpoint's answer as sent to the caller. */
  answerHeaders(raw: readonly string[]): string[] {
    const headers = this.#options.http.writeAnswer(raw);
    return this.isLeaving ? [...headers, 'Connection', 'close'] : headers;
  }

  /** The last of some complete events, with its id or null for none; null if there are only comments. */
  lastEvent(events: Buffer): { readonly id: string | null } | null {
    return findLastEvent(events, this.#options.http.eventId);
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
        'configuration proven to be the newest',
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
    this.sendSlots.cold.setHosts(entries);
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
