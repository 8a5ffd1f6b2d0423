/**
 * Admission by urgency at an entry process: reports the demand for the groups of services whose routes have different
 * priorities, and keeps the starts that the groups' coordinators grant.
 */
import { Gauge } from 'prom-client';
import {
  applyGrants,
  demandRows,
  freeSlotsAt,
  grantPhase,
  isOpenGroup,
  isReportDue,
  limitGrants,
  NO_GRANTS,
  recordArrival,
  recordReport,
  replacementSlots,
  startableRequests,
  type Arrival,
  type GrantedSlots,
  type GrantPhase,
  type GroupGrants,
  type GroupSlots,
  type QueueStep,
  type RequestClass,
} from '../../coordination/index.js';
import type { EngineCosts, GroupDemand, GroupLoad, SlotGrants } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import type { DirectGroups } from './DirectGroups.js';

/** Sends the demand for a group to the control process that this process is attached to. */
export type SendDemand = (demand: Omit<GroupDemand, 'host'>) => void;

/** Dependencies of {@link DirectGrants}. */
export interface GrantsOptions {
  readonly runtime: Runtime;
  readonly groups: DirectGroups;
  readonly sendDemand: SendDemand;
  /** Whether requests of a service are admitted by urgency. */
  readonly isByUrgency: (service: string) => boolean;
  /** Costs of the engines of a service; null for a service without. */
  readonly costsOf: (service: string) => EngineCosts | null;
  /** Requests of a service that wait for a slot. */
  readonly waitingAt: (service: string) => readonly RequestClass[];
}

/** Grants at the groups that one entry process knows. */
export class DirectGrants {
  readonly #options: GrantsOptions;

  /** Grants by group. */
  readonly #states = new Map<string, GrantedSlots>();

  /** Phase of each group that was last logged. */
  readonly #loggedPhases = new Map<string, GrantPhase>();

  /** Number of requests that were admitted with a grant and haven't been sent yet, by group. */
  readonly #unsent = new Map<string, number>();

  /** Arrivals of the last second, by service. */
  readonly #arrivals = new Map<string, readonly Arrival[]>();

  constructor(options: GrantsOptions) {
    this.#options = options;
    const { groups, isByUrgency, runtime, waitingAt } = options;
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_waiting_requests',
      help: 'Requests that wait for a slot at a service with several priorities, by priority',
      labelNames: ['priority'],
      registers: [runtime.registry],
      collect() {
        this.reset();
        groups.services
          .filter(isByUrgency)
          .flatMap(waitingAt)
          .forEach(({ priority }) => this.inc({ priority }));
      },
    });
  }

  /** Records that a request of the service has arrived and needs a slot. */
  onArrival(service: string, { priority, customer }: RequestClass): void {
    if (this.#options.isByUrgency(service)) {
      const arrivals = this.#arrivals.get(service) ?? [];
      const at = this.#options.runtime.now();
      this.#arrivals.set(service, recordArrival(arrivals, { priority, customer, at }));
    }
  }

  /** Applies the grants of a load that was used, or that it has none. */
  onLoad(service: string, group: GroupSlots, load: GroupLoad): void {
    if (!this.#options.isByUrgency(service)) {
      return;
    }
    const { now, random } = this.#options.runtime;
    const grants = load.open ? this.#usableGrants(service, group, load) : null;
    const known = this.#stateOf(group);
    if (grants !== null || known.grants !== null) {
      const next = applyGrants(known, grants, this.#takenAt(group), now(), random());
      this.#states.set(group.group, next);
      this.#logPhase(group);
    }
  }

  /** Grants of a load, for the usable ranks of the group. */
  #usableGrants(service: string, group: GroupSlots, load: GroupLoad): SlotGrants | null {
    const { costsOf, groups } = this.#options;
    const { grants = null } = load;
    const usage = grants === null ? null : groups.usableUsage(service, group, load);
    const costs = costsOf(service);
    if (grants === null || usage === null || costs === null) {
      return grants;
    }
    const { intervalMs } = grants;
    return limitGrants(grants, startableRequests({ ...usage, intervalMs }, costs));
  }

  /** Grants at the open, usable groups of a service that start requests only with one; null without urgency. */
  grantsAt(service: string): GroupGrants | null {
    if (!this.#options.isByUrgency(service)) {
      return null;
    }
    const granted = this.#openGroups(service).filter((group) => this.#phaseOf(group) === 'granted');
    return new Map(granted.map((group) => [group.group, this.#stateOf(group)]));
  }

  /** Number of requests that may start at a group without a grant. */
  freeAt(group: GroupSlots): number {
    const { groups } = this.#options;
    const handlers: Readonly<Record<GrantPhase, () => number>> = {
      shared: () => freeSlotsAt(group, groups.own),
      granted: () => 0,
      replacing: () =>
        replacementSlots(
          this.#stateOf(group),
          this.#takenAt(group),
          Math.max(1, group.limit / groups.entryHosts),
        ),
    };
    return handlers[this.#phaseOf(group)]();
  }

  /** Records the grants that the requests admitted in a step have taken. */
  onStep({ grants, grantedAt }: QueueStep): void {
    grants.forEach((state, group) => this.#states.set(group, state));
    grantedAt.forEach((group) => this.#unsent.set(group, (this.#unsent.get(group) ?? 0) + 1));
  }

  /** Groups to which requests with a grant should be sent; empty where there are none. */
  preferred(groups: readonly GroupSlots[]): readonly GroupSlots[] {
    return this.#unsent.size === 0
      ? []
      : groups.filter((group) => this.#unsent.has(group.group) && isOpenGroup(group));
  }

  /** Records that a request was sent to a group. Returns whether one with a grant was waiting to be sent there. */
  onSent(group: string | undefined): boolean {
    const unsent = this.#unsent.get(group ?? '');
    if (group === undefined || unsent === undefined) {
      return false;
    }
    if (unsent > 1) {
      this.#unsent.set(group, unsent - 1);
    } else {
      this.#unsent.delete(group);
    }
    return true;
  }

  /** Records that an admitted request of the service isn't sent. Returns whether it may have had a grant. */
  onUnused(service: string): boolean {
    const found = this.#options.groups.at(service).find(({ group }) => this.#unsent.has(group));
    return this.onSent(found?.group);
  }

  /** Sends the demand for the groups of a service where a message is due. */
  report(service: string): void {
    const { isByUrgency, runtime, sendDemand, waitingAt } = this.#options;
    if (!isByUrgency(service)) {
      return;
    }
    const now = runtime.now();
    const waiting = waitingAt(service);
    const openGroups = this.#openGroups(service);
    const due = openGroups.filter((group) =>
      isReportDue(this.#stateOf(group), waiting.length, now),
    );
    if (due.length === 0) {
      return;
    }
    const rows = demandRows(waiting, this.#arrivals.get(service) ?? [], openGroups.length, now);
    due.forEach((group) => {
      this.#states.set(group.group, recordReport(this.#stateOf(group), rows, now));
      this.#logPhase(group);
      sendDemand({ group: group.group, rows });
    });
  }

  /** Open groups with a rank that may be sent requests. */
  #openGroups(service: string): readonly GroupSlots[] {
    const { groups } = this.#options;
    return groups.at(service).filter((group) => isOpenGroup(group) && groups.hasUsable(group));
  }

  #stateOf({ group }: GroupSlots): GrantedSlots {
    return this.#states.get(group) ?? NO_GRANTS;
  }

  /** Phase of a group; without a load that still counts, slots are shared as without grants. */
  #phaseOf(group: GroupSlots): GrantPhase {
    return group.load === null
      ? 'shared'
      : grantPhase(this.#stateOf(group), this.#options.runtime.now());
  }

  /** Requests of this process at a group, with those that are about to be sent there. */
  #takenAt(group: GroupSlots): number {
    return this.#options.groups.runningAt(group) + (this.#unsent.get(group.group) ?? 0);
  }

  /** Logs when a group begins or ceases to start requests only with grants, with the age of the load in use. */
  #logPhase(group: GroupSlots): void {
    const phase = this.#phaseOf(group);
    if (phase === (this.#loggedPhases.get(group.group) ?? 'shared')) {
      return;
    }
    this.#loggedPhases.set(group.group, phase);
    const { now, log } = this.#options.runtime;
    const { grants, loadAt, reported } = this.#stateOf(group);
    log.info(
      {
        event: 'grant_phase',
        group: group.group,
        phase,
        rows: grants?.rows ?? [],
        capped: grants?.capped.length ?? 0,
        reported,
        loadAgeMs: Math.round(now() - loadAt),
      },
      'way in which requests start at a group',
    );
  }
}
