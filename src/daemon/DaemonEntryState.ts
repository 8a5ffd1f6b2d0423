/** State of an entry process: configuration, members, routing and admission. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  admit,
  EMPTY_ADMISSION,
  initRouting,
  filterToSubsets,
  mergeDelta,
  QUARANTINE_CRASHES,
  pruneView,
  release,
  routeRequest,
  servingMembers,
  takeRetry,
  updateRouting,
  type AdmissionState,
  type MembershipView,
  type RoutingDecision,
  type RoutingInput,
  type RoutingRequest,
  type RoutingState,
} from '../coordination/index.js';
import {
  RequestError,
  type Customer,
  type DirectoryDelta,
  type MemberRecord,
  type RequestIdentity,
} from '../protocol/index.js';
import {
  EMPTY_CONFIG,
  evacuationsOf,
  viewConfig,
  type ConfigState,
  type ConfigView,
} from '../state/index.js';
import { EntryMetrics } from './DaemonEntryMetrics.js';
import type { SendQuarantineUpdate } from './DaemonQuarantine.js';
import { DaemonScreening } from './DaemonScreening.js';
import { waitForAbort, type Runtime } from './DaemonRuntime.js';

/** How often a draining process logs what it waits for, ms. */
const DRAIN_LOG_INTERVAL_MS = 1_000;

/** Holds the state of an entry process; each part of it is replaced as a whole. */
export class DaemonEntryState {
  readonly #id: string;

  readonly #zone: string;

  readonly #runtime: Runtime;

  readonly #metrics: EntryMetrics;

  readonly #inProgress = new Map<string, string>();

  #view: MembershipView = new Map();

  #config: ConfigView = viewConfig(EMPTY_CONFIG);

  /** Zones to whose endpoints no requests are sent. */
  #evacuatedZones: ReadonlySet<string> = new Set();

  #routing: RoutingState;

  #admission: AdmissionState = EMPTY_ADMISSION;

  #entryHosts = 1;

  readonly screening: DaemonScreening;

  /** `sendQuarantineUpdate` sends updates about suspect requests to the control process. */
  constructor(
    id: string,
    zone: string,
    runtime: Runtime,
    sendQuarantineUpdate: SendQuarantineUpdate,
  ) {
    this.#id = id;
    this.#zone = zone;
    this.#runtime = runtime;
    this.#routing = initRouting(zone);
    this.#metrics = new EntryMetrics(runtime.registry, () => this.#inProgress.size);
    this.screening = new DaemonScreening({
      runtime,
      metrics: this.#metrics,
      send: sendQuarantineUpdate,
    });
  }

  get config(): ConfigView {
    return this.#config;
  }

  get isReady(): boolean {
    return this.readiness === 'ready';
  }

  /** What is missing for the process to be ready, or `ready`. */
  get readiness(): string {
    if (this.#config.index === 0) {
      return 'no configuration from a control process yet';
    }
    return this.#routing.positions.size === 0 ? 'no endpoint known yet' : 'ready';
  }

  onConfig(config: ConfigState): void {
    this.#config = viewConfig(config);
    this.#evacuatedZones = new Set(evacuationsOf(config.entries).map(({ zone }) => zone));
    this.#setView(this.#view);
    this.#runtime.log.info({ event: 'config', index: config.index }, 'configuration in force');
  }

  /** Whether a request must not be sent to endpoints like this one; those of a group tolerate fewer crashes. */
  isQuarantined(identity: RequestIdentity, { offer }: MemberRecord): boolean {
    const quarantineCrashes =
      offer?.group === undefined ? QUARANTINE_CRASHES.single : QUARANTINE_CRASHES.group;
    return this.screening.isQuarantined(identity, quarantineCrashes);
  }

  onDirectory(delta: DirectoryDelta): void {
    this.screening.onMembers(delta.records, (id) => !this.#view.has(id));
    this.#setView(mergeDelta(this.#view, delta, this.#runtime.now()));
  }

  /** Drops members that have been missing for too long, and runs the periodic work of the screening. */
  tick(): void {
    this.screening.tick();
    const view = pruneView(this.#view, this.#runtime.now());
    if (view !== this.#view) {
      this.#setView(view);
    }
  }

  /** Admits a request. @throws {RequestError} if the customer is at its limit. */
  admit(customer: Customer, service: string): void {
    const { state, error } = admit(this.#admission, customer, service, this.#entryHosts);
    this.#admission = state;
    if (error !== null) {
      throw error;
    }
  }

  begin(request: string, customer: string): void {
    this.#inProgress.set(request, customer);
  }

  /** Records the end of an admitted request. */
  end(request: string, customer: string, outcome: string): void {
    this.#inProgress.delete(request);
    this.#admission = release(this.#admission, customer);
    this.#metrics.onEnded(outcome);
  }

  observeFirstByte(ms: number): void {
    this.#metrics.onFirstByte(ms);
  }

  takeRetry(service: string): boolean {
    const { state, allowed } = takeRetry(this.#admission, service);
    this.#admission = state;
    return allowed;
  }

  /** Chooses an endpoint, and logs why. */
  route(req: RoutingRequest, request: string, attempt: number): RoutingDecision {
    const { rng, log } = this.#runtime;
    const decision = routeRequest(this.#routing, req, this.#runtime.now(), rng);
    log.info(
      {
        event: 'route',
        request,
        attempt,
        service: req.service,
        endpoint: decision.endpoint?.id ?? null,
        reason: decision.reason,
        of: decision.of,
        candidates: decision.candidates.map(({ id, score }) => `${id}=${score.toFixed(3)}`),
      },
      'routing decision',
    );
    return decision;
  }

  updateRouting(input: RoutingInput): void {
    this.#routing = updateRouting(this.#routing, input, this.#runtime.now());
  }

  /** Returns the customer of that name. @throws {RequestError} if there is none. */
  customer(name: string | undefined): Customer {
    const customer = name === undefined ? undefined : this.#config.customers.get(name);
    if (customer === undefined) {
      throw new RequestError('unknown_customer', `no customer "${name ?? ''}" in the manifest`);
    }
    return customer;
  }

  /** Resolves once the signal has aborted and no request is in progress, or `timeoutMs` after the signal. */
  async waitUntilDrained(signal: AbortSignal, timeoutMs: number): Promise<void> {
    await waitForAbort(signal);
    const until = this.#runtime.now() + timeoutMs;
    const waitForRequests = async (): Promise<void> => {
      if (this.#inProgress.size === 0 || this.#runtime.now() > until) {
        return;
      }
      const waitsFor = [...this.#inProgress].slice(0, 10).map(([id, name]) => `${id} (${name})`);
      this.#runtime.log.info(
        { event: 'draining', inProgress: this.#inProgress.size, waitsFor },
        'waiting for requests in progress',
      );
      await delay(DRAIN_LOG_INTERVAL_MS);
      await waitForRequests();
    };
    await waitForRequests();
  }

  #setView(view: MembershipView): void {
    this.#view = view;
    const records = servingMembers(view).filter(
      ({ role, zone }) => role !== 'endpoint' || !this.#evacuatedZones.has(zone),
    );
    const entries = records.filter(({ role }) => role === 'entry');
    this.#entryHosts = entries.length;
    const ownZoneEntries = entries.filter(({ zone }) => zone === this.#zone).map(({ id }) => id);
    const self = { id: this.#id, zone: this.#zone, entries: ownZoneEntries };
    this.updateRouting({ type: 'members', records: filterToSubsets(records, self) });
  }
}
