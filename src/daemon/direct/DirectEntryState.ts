/** State of an entry process that calls endpoints directly: configuration, members, retry budgets. */
import {
  finishUpdate,
  initRouting,
  isUpdateDue,
  incarnationKeyOf,
  mergeDelta,
  QUARANTINE_CRASHES,
  requestUpdate,
  pruneView,
  routeRequest,
  serviceKey,
  servingMembers,
  IDLE_THROTTLE,
  updateRouting,
  type ClockReading,
  type MembershipView,
  type RoutingDecision,
  type RoutingState,
  type UpdateThrottle,
} from '../../coordination/index.js';
import {
  RequestError,
  type ColdBounds,
  type DirectoryDelta,
  type HttpDialect,
  type LimitUpdate,
  type MemberRecord,
  type RetryAllowance,
} from '../../protocol/index.js';
import type { ConfigState } from '../../state/index.js';
import { findLastEvent, type EndpointPool } from '../../transport/index.js';
import type { SendQuarantineUpdate } from '../DaemonQuarantine.js';
import type { SendUpdate } from '../DaemonSharedSet.js';
import { DaemonScreening } from '../DaemonScreening.js';
import type { Runtime } from '../DaemonRuntime.js';
import { DirectAdmission } from './DirectAdmission.js';
import type { AttemptFailure } from './DirectAttempt.js';
import type { DirectModels } from './DirectModels.js';
import { DirectConfig, type DirectConfigOptions } from './DirectConfig.js';
import type { SendDemand } from './DirectGrants.js';
import type { DirectRequest } from './DirectRequest.js';
import { DirectRequestLog } from './DirectRequestLog.js';
import { DirectPools } from './DirectPools.js';
import { DirectReadLimits } from './DirectReadLimits.js';
import { DirectReplaced } from './DirectReplaced.js';
import { DirectRetries } from './DirectRetries.js';
import type { RequestRetries } from './DirectRetryGrants.js';
import { DirectStartup } from './DirectStartup.js';
import { DEFAULT_COLD_BOUNDS } from './DirectColdEndpoints.js';
import { DirectSendSlots, type SendSlot } from './DirectSendSlots.js';
import { DIRECT_FLEET } from './DirectDocument.js';
import type { DirectEvacuations } from './DirectEvacuations.js';

/** Options of a {@link DirectEntryState}. */
export interface DirectEntryOptions extends Omit<DirectConfigOptions, 'onEvacuationFinished'> {
  readonly id: string;
  readonly zone: string;
  readonly runtime: Runtime;
  readonly http: HttpDialect;
  readonly retries: RetryAllowance;
  readonly coldBounds?: ColdBounds;
  /** Memory that the process may use, in bytes; null or absent where it isn't limited. */
  readonly memoryBytes?: number | null;
  /** Sends updates on suspect requests to the control process. */
  readonly sendQuarantineUpdate: SendQuarantineUpdate;
  /** Sends updates on limits to the control process. */
  readonly sendLimitUpdate: SendUpdate<LimitUpdate>;
  /** Sends the demand for the slots of a group to the control process. */
  readonly sendDemand: SendDemand;
  /** Asks the control process for retries. */
  readonly requestRetries: RequestRetries;
}

/** Connections that an endpoint accepts where its service doesn't declare a number. */
const DEFAULT_CONNECTIONS = 64;

/** Average retry delay given to callers where it isn't known when a slot becomes free, ms. */
const RETRY_AFTER_MS = 400;

/** State of the process. */
export class DirectEntryState {
  readonly #options: DirectEntryOptions;

  readonly #pools = new DirectPools();

  readonly #replaced = new DirectReplaced();

  readonly retries: DirectRetries;

  readonly config: DirectConfig;

  /** Logs and counts the requests. */
  readonly requests: DirectRequestLog;

  readonly screening: DaemonScreening;

  readonly admission: DirectAdmission;

  readonly startup: DirectStartup;

  readonly sendSlots: DirectSendSlots;

  readonly readLimits: DirectReadLimits;

  #view: MembershipView = new Map();

  /** Throttles the work that follows from changed members. */
  #throttle: UpdateThrottle = IDLE_THROTTLE;

  #routing: RoutingState;

  #entryHosts = 0;

  isLeaving = false;

  constructor(options: DirectEntryOptions) {
    this.#options = options;
    this.#routing = initRouting(options.zone);
    this.config = new DirectConfig({
      ...options,
      onEvacuationFinished: (zone) => this.sendSlots.cold.onEvacuationFinished(zone),
    });
    this.retries = new DirectRetries({ ...options, allowance: options.retries });
    this.startup = new DirectStartup(options.runtime);
    this.admission = new DirectAdmission({
      zone: options.zone,
      runtime: options.runtime,
      modelOf: (service) => this.models.at(service),
      sendDemand: options.sendDemand,
    });
    this.requests = new DirectRequestLog(options.runtime);
    this.readLimits = new DirectReadLimits(options.runtime, options.memoryBytes ?? null);
    this.sendSlots = new DirectSendSlots({
      self: options.id,
      runtime: options.runtime,
      send: options.sendLimitUpdate,
      serving: (id) => this.#servingEndpoint(id),
      mayReceive: (endpoint) => this.evacuations.mayReceive(endpoint),
      cold: {
        bounds: options.coldBounds ?? DEFAULT_COLD_BOUNDS,
        specOf: (service) => this.config.routes?.services.get(service)?.cold,
        // A proof of the newest configuration is a round trip to the control processes.
        contactAt: () => this.config.provenAt,
      },
    });
    this.screening = new DaemonScreening({
      runtime: options.runtime,
      metrics: this.requests.metrics,
      send: options.sendQuarantineUpdate,
    });
  }

  get models(): DirectModels {
    return this.config.models;
  }

  get dialect(): HttpDialect {
    return this.#options.http;
  }

  get evacuations(): DirectEvacuations {
    return this.config.evacuations;
  }

  now(): number {
    return this.#options.runtime.now();
  }

  /** Why the process can't serve, or `ready`. */
  get readiness(): string {
    if (this.isLeaving) {
      return 'leaving';
    }
    const { obstacle } = this.config;
    if (obstacle !== null) {
      return obstacle;
    }
    return this.#routing.positions.size === 0 ? 'no endpoint known yet' : 'ready';
  }

  onConfig(config: ConfigState): void {
    try {
      this.config.receive(config);
    } finally {
      this.sendSlots.cold.refresh();
      this.#setView(this.#view);
    }
  }

  /** See {@link DirectConfig.onNewest}. */
  onNewest(index: number, requestedAt: ClockReading): boolean {
    const { isProven } = this.config;
    const isHeld = this.config.onNewest(index, requestedAt);
    if (isProven !== this.config.isProven) {
      this.startup.recheck();
    }
    return isHeld;
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
    this.#replaced.tick(this.now());
  }

  /** Chooses an endpoint and logs the reason; null if none is available. */
  route(
    service: string,
    request: string,
    exclude: readonly string[],
    attempt: number,
  ): MemberRecord | null {
    const without = this.#withUnusable(service, exclude);
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
    const model = this.models.at(service);
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
    const without = this.#withUnusable(service, exclude);
    const rankId = this.admission.choose(service, without);
    return rankId === undefined ? this.#hasOther(service, without) : rankId !== null;
  }

  /** Whether the service has groups and all of them are closed, but may soon be open again. */
  isServiceDown(service: string): boolean {
    return this.admission.isClosed(service) && this.evacuations.refusal(service) === null;
  }

  /** The refusal of a request that no endpoint of its service can take. */
  noEndpointError(service: string): RequestError {
    return (
      this.evacuations.refusal(service) ??
      new RequestError('no_endpoint', 'no endpoint could take the request')
    );
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

  /** The endpoint with an id if it may be sent requests; undefined otherwise. */
  #servingEndpoint(id: string): MemberRecord | undefined {
    const record = this.#view.get(id)?.record;
    const serves = record?.status === 'serving' && !this.#replaced.has(record);
    return serves && !this.evacuations.isEvacuated(id) ? record : undefined;
  }

  /** Ids of endpoints that must not be chosen: those given, the blocked ones, and those in evacuated zones. */
  #withUnusable(service: string, exclude: readonly string[]): readonly string[] {
    const evacuated = this.evacuations.endpointsOf(service);
    const without = this.sendSlots.withBlocked(exclude);
    return evacuated.length === 0 ? without : [...without, ...evacuated];
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
      this.#replaced.add(endpoint, this.now());
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
    const serviceSpec = this.config.routes?.services.get(endpoint.offer?.service ?? '');
    return this.#pools.to(
      endpoint,
      serviceSpec?.maxConnections ?? DEFAULT_CONNECTIONS,
      this.#entryHosts,
    );
  }

  #setView(view: MembershipView): void {
    this.#view = view;
    this.#throttle = finishUpdate(this.now());
    const serving = servingMembers(view).filter((record) => !this.#replaced.has(record));
    const entries = serving.filter(({ role }) => role === 'entry').map(({ id }) => id);
    this.#entryHosts = entries.length;
    this.sendSlots.limits.setHosts(entries);
    this.sendSlots.cold.setHosts(entries);
    this.admission.setMembers(serving, this.#entryHosts);
    this.#applyEvacuations();
    this.#routing = updateRouting(this.#routing, { type: 'members', records: serving }, this.now());
    const incarnationKeys = new Set(
      [...view.values()].map(({ record }) => incarnationKeyOf(record)),
    );
    this.sendSlots.keep((incarnationKey) => incarnationKeys.has(incarnationKey));
    this.#pools.keep(
      (incarnationKey) =>
        incarnationKeys.has(incarnationKey) && !this.#replaced.hasKey(incarnationKey),
    );
    this.startup.recheck();
  }

  /** Refuses the requests that wait at services whose endpoints are all evacuated, and counts slots at the others. */
  #applyEvacuations(): void {
    this.evacuations.setMembers([...this.#view.values()].map(({ record }) => record));
    const isUsable = (id: string): boolean => !this.evacuations.isEvacuated(id);
    this.admission.setUsable(this.evacuations.zones.length === 0 ? null : isUsable);
    this.evacuations.evacuatedServices.forEach((service) => this.admission.refuseWaiting(service));
  }
}
