/** Groups of ranks that an entry process knows, the slots that it may use there, and which of them answer. */
import {
  markGroupBroken,
  chooseRank,
  initGroupSlots,
  isOpenGroup,
  isGroupStalled,
  markGroupRecovered,
  ownRequestsAt,
  refreshGroupSlots,
  runningAtUsable,
  applyGroupLoad,
  type GroupSlots,
  type GroupRank,
  type GroupUsage,
  type SlotParameters,
} from '../../coordination/index.js';
import type { EngineCosts, GroupLoad, MemberRecord } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import { DIRECT_FLEET } from './DirectDocument.js';
import { DirectLoadUse } from './DirectLoadUse.js';
import { DirectSlotsLog } from './DirectSlotsLog.js';
import { DirectStreams } from './DirectStreams.js';

/** Engine costs that a model service declares, and the longest pause between events that its routes aim for, ms. */
export interface ModelService {
  readonly costs: EngineCosts;
  readonly pauseMs: number;
  /** Whether its routes have different priorities, so that requests are admitted by urgency across hosts. */
  readonly byUrgency?: boolean;
}

/** Longest pause between events to aim for where no route sets one, ms. */
export const DEFAULT_PAUSE_MS = 120;

/**
 * If a service has been down for longer than this, requests aren't expected to be answered in time until it is open
 * again or sends an event: callers' deadlines are 8 s, and a partition that heals does so within 6 s. In ms.
 */
const LONG_DOWN_MS = 10_000;

/**
 * A service counts as recovering for this long after its groups have reopened; the requests that waited have started
 * by then. In ms.
 */
const RECOVERY_MS = 2_000;

type Groups = ReadonlyMap<string, GroupSlots>;

const NO_GROUPS: Groups = new Map();

/** Dependencies of {@link DirectGroups}. */
export interface GroupsOptions {
  readonly zone: string;
  readonly runtime: Runtime;
  readonly modelOf: (service: string) => ModelService | null;
  /** Number of requests that wait here for a slot at a service, for the log. */
  readonly waitingAt: (service: string) => number;
}

/** Host of an `ip:port`. */
function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** Groups of ranks by service. The rank of an endpoint is announced by the sidecar on the same host. */
function findGroups(
  records: readonly MemberRecord[],
): ReadonlyMap<string, ReadonlyMap<string, readonly GroupRank[]>> {
  const endpoints = new Map(
    records
      .filter(({ offer }) => offer?.fleet === DIRECT_FLEET)
      .map((record) => [hostOf(record.address), record]),
  );
  const found = new Map<string, Map<string, GroupRank[]>>();
  records.forEach(({ address, offer, zone }) => {
    const endpoint = endpoints.get(hostOf(address));
    const rank = offer?.ranks?.[0];
    const service = endpoint?.offer?.service;
    if (offer?.group === undefined || rank === undefined || service === undefined) {
      return;
    }
    const groups = found.get(service) ?? new Map<string, GroupRank[]>();
    found.set(service, groups);
    const ranks = groups.get(offer.group) ?? [];
    groups.set(offer.group, [...ranks, { endpoint: endpoint?.id ?? '', rank, zone }]);
  });
  return found;
}

/** Groups of one entry process. */
export class DirectGroups {
  readonly #options: GroupsOptions;

  readonly #slotsLog: DirectSlotsLog;

  readonly #loadUse: DirectLoadUse;

  readonly #services = new Map<string, Groups>();

  /** Number of requests of this process in progress, by endpoint. */
  readonly #own = new Map<string, number>();

  readonly #streams = new DirectStreams();

  /** Since when all groups of a service have been closed, without an event or an open load report in between, ms. */
  readonly #downSince = new Map<string, number>();

  /** When a service whose groups were all closed last had one open again, ms. */
  readonly #reopenedAt = new Map<string, number>();

  #isUsable: ((endpoint: string) => boolean) | null = null;

  #entryHosts = 1;

  constructor(options: GroupsOptions) {
    this.#options = options;
    this.#slotsLog = new DirectSlotsLog(options.runtime.log, options.runtime.now);
    this.#loadUse = new DirectLoadUse(options.runtime);
  }

  /** Services whose endpoints are ranks of groups. */
  get services(): readonly string[] {
    return [...this.#services.keys()];
  }

  get own(): ReadonlyMap<string, number> {
    return this.#own;
  }

  get entryHosts(): number {
    return this.#entryHosts;
  }

  /** Groups of a service; empty where it has none. */
  at(service: string): readonly GroupSlots[] {
    return [...(this.#services.get(service) ?? NO_GROUPS).values()];
  }

  /** The group that an endpoint is a rank of; undefined where it is in none. */
  groupOf(service: string, endpoint: string): GroupSlots | undefined {
    return this.at(service).find(({ ranks }) => ranks.some((rank) => rank.endpoint === endpoint));
  }

  /** Use of the slots at a group's usable ranks by a load; null while all ranks are usable. */
  usableUsage(
    service: string,
    group: GroupSlots,
    load: GroupLoad,
  ): Omit<GroupUsage, 'intervalMs'> | null {
    const parameters = this.#slotParameters(service);
    return parameters?.isUsable === undefined
      ? null
      : {
          limit: group.limit,
          running: runningAtUsable(group, load, parameters),
          passMs: group.passMs,
        };
  }

  /** Number of requests of this process at a group. */
  runningAt(group: GroupSlots): number {
    return ownRequestsAt(group, this.#own);
  }

  /** Sets which endpoints may be sent requests, so that slots count only at these; null for all. */
  setUsable(isUsable: ((endpoint: string) => boolean) | null): void {
    this.#isUsable = isUsable;
  }

  /** Whether a group has a rank that may be sent requests. */
  hasUsable({ ranks }: GroupSlots): boolean {
    return this.#isUsable === null || ranks.some(({ endpoint }) => this.#isUsable?.(endpoint));
  }

  /** Updates the groups from the members. */
  setMembers(records: readonly MemberRecord[], entryHosts: number): void {
    this.#entryHosts = Math.max(1, entryHosts);
    findGroups(records).forEach((groups, service) => this.#setGroups(service, groups));
  }

  #setGroups(service: string, found: ReadonlyMap<string, readonly GroupRank[]>): void {
    const parameters = this.#slotParameters(service);
    if (parameters === null) {
      return;
    }
    const known = this.#services.get(service);
    const groups = new Map<string, GroupSlots>();
    found.forEach((ranks, group) => {
      const before = known?.get(group);
      groups.set(
        group,
        before === undefined
          ? initGroupSlots(group, ranks, parameters, this.#options.runtime.random())
          : { ...before, ranks },
      );
    });
    this.#services.set(service, groups);
  }

  /** Applies a load to a group of the service; returns its new state, undefined if the load isn't for
   * one of the service's groups or is outdated. */
  applyLoad(service: string, load: GroupLoad): GroupSlots | undefined {
    const group = this.#services.get(service)?.get(load.group);
    const parameters = this.#slotParameters(service);
    if (group === undefined || parameters === null) {
      return undefined;
    }
    const { now, random } = this.#options.runtime;
    const next = applyGroupLoad(group, load, this.#own, parameters, now(), random());
    this.#loadUse.record(next, load);
    if (next.verdict === 'outdated') {
      return undefined;
    }
    if (load.open) {
      this.#downSince.delete(service);
    }
    this.#replace(service, next);
    this.#logLoad(service, next);
    return next;
  }

  #logLoad(service: string, state: GroupSlots): void {
    this.#slotsLog.write(state, { own: this.#own, waiting: this.#options.waitingAt(service) });
  }

  /** Whether the endpoints of a service are ranks of groups. */
  has(service: string): boolean {
    return (this.#services.get(service)?.size ?? 0) > 0;
  }

  /** Whether the service has groups and none of them is open. */
  isClosed(service: string): boolean {
    const groups = this.at(service);
    return groups.length > 0 && !groups.some(isOpenGroup);
  }

  /** Whether the service has answered nothing for longer than callers wait. */
  isLongDown(service: string): boolean {
    const downSince = this.#downSince.get(service) ?? Infinity;
    return this.isClosed(service) && this.#options.runtime.now() - downSince > LONG_DOWN_MS;
  }

  /** Whether the service answers nothing, or has only just begun to answer again. */
  isRecovering(service: string): boolean {
    const reopenedAt = this.#reopenedAt.get(service) ?? -Infinity;
    return this.isClosed(service) || this.#options.runtime.now() - reopenedAt < RECOVERY_MS;
  }

  /** Marks each group as broken whose streams to this process have all stopped delivering events. */
  detectStalled(): void {
    const now = this.#options.runtime.now();
    this.#services.forEach((groups, service) => {
      groups.forEach((group) => {
        const own = this.#streams.combined(group.ranks.map(({ endpoint }) => endpoint));
        if (isGroupStalled(group, own, now)) {
          this.#markBroken(service, group);
        }
      });
    });
  }

  #markBroken(service: string, group: GroupSlots): void {
    const brokenGroup = markGroupBroken(group, this.#options.runtime.now());
    this.#replace(service, brokenGroup);
    if (group.brokenAt === null) {
      this.#logLoad(service, brokenGroup);
    }
  }

  /**
   * Marks the group of an endpoint as broken until a newer load report or an event shows otherwise.
   *
   * To be called when a rank's refusal blames another rank, since all ranks of the group refuse then. Otherwise each
   * request would be tried at one rank after another and use up the retry budgets.
   */
  markBrokenAt(endpoint: string): void {
    this.services.forEach((service) => {
      const group = this.groupOf(service, endpoint);
      if (group !== undefined) {
        this.#markBroken(service, group);
      }
    });
  }

  /** Records an event of a stream, `isFirst` for its first one. Returns the services that it shows to be up again. */
  onEvent(endpoint: string, isFirst: boolean): readonly string[] {
    this.#streams.onEvent(endpoint, isFirst, this.#options.runtime.now());
    return this.services.filter((service) => {
      const isDown = this.#downSince.has(service);
      const alive = this.at(service).filter(
        ({ brokenAt, ranks }) =>
          (isDown || brokenAt !== null) && ranks.some((rank) => rank.endpoint === endpoint),
      );
      alive.forEach((group) => {
        this.#downSince.delete(service);
        this.#replace(service, markGroupRecovered(group));
      });
      return alive.length > 0;
    });
  }

  /** Records the end of a stream from which events were received. */
  onStreamFinished(endpoint: string): void {
    this.#streams.onFinished(endpoint);
  }

  /** Records the end of a request without any event; `wasCancelled` where this process cancelled it. */
  onUnanswered(service: string, endpoint: string, wasCancelled: boolean): void {
    const avoid =
      wasCancelled &&
      this.at(service).some((group) => this.#unresponsiveIn(group).includes(endpoint));
    this.#streams.onUnanswered(endpoint, avoid, this.#options.runtime.now());
  }

  /** Chooses an endpoint of some groups by free slots; null where none is available. */
  choose(groups: readonly GroupSlots[], exclude: readonly string[]): string | null {
    const { runtime, zone } = this.#options;
    const unresponsive = groups.flatMap((group) => this.#unresponsiveIn(group));
    const choose = (excluded: readonly string[]): string | null =>
      chooseRank(groups, this.#own, zone, excluded, runtime.random);
    // An unresponsive endpoint is better than none: its whole group may have stalled, and may resume.
    return (
      choose([...exclude, ...unresponsive]) ?? (unresponsive.length > 0 ? choose(exclude) : null)
    );
  }

  #unresponsiveIn({ ranks }: GroupSlots): readonly string[] {
    const endpoints = ranks.map(({ endpoint }) => endpoint);
    return this.#streams.unresponsiveAmong(endpoints, this.#options.runtime.now());
  }

  onSent(endpoint: string): void {
    this.#streams.onSent(endpoint, this.#options.runtime.now());
    this.#own.set(endpoint, (this.#own.get(endpoint) ?? 0) + 1);
  }

  onDone(endpoint: string): void {
    const left = (this.#own.get(endpoint) ?? 1) - 1;
    if (left > 0) {
      this.#own.set(endpoint, left);
    } else {
      this.#own.delete(endpoint);
    }
  }

  /** Applies the passage of time to the groups of a service. */
  refresh(service: string): void {
    const parameters = this.#slotParameters(service);
    if (parameters !== null) {
      this.at(service).forEach((group) => {
        const refreshed = refreshGroupSlots(
          group,
          this.#own,
          parameters,
          this.#options.runtime.now(),
        );
        if (refreshed !== group) {
          this.#replace(service, refreshed);
        }
      });
    }
  }

  #replace(service: string, group: GroupSlots): void {
    const known = this.#services.get(service);
    if (known === undefined) {
      return;
    }
    const wasClosed = this.isClosed(service);
    this.#services.set(service, new Map(known).set(group.group, group));
    const now = this.#options.runtime.now();
    if (!this.isClosed(service)) {
      if (wasClosed) {
        this.#reopenedAt.set(service, now);
      }
    } else if (!this.#downSince.has(service)) {
      this.#downSince.set(service, now);
    }
  }

  #slotParameters(service: string): SlotParameters | null {
    const model = this.#options.modelOf(service);
    const usable = this.#isUsable === null ? {} : { isUsable: this.#isUsable };
    return model === null
      ? null
      : { costs: model.costs, pauseMs: model.pauseMs, entryHosts: this.#entryHosts, ...usable };
  }
}
