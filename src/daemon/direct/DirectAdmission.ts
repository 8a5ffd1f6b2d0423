/** Admission state of an entry process: slots at groups of ranks, and the queue of requests that wait for one. */
import type { Logger } from 'pino';
import {
  dropStaleLoad,
  markGroupBroken,
  chooseRank,
  enqueue,
  freeSlotsAt,
  initGroupSlots,
  isOpenGroup,
  isGroupStalled,
  markGroupRecovered,
  ownRequestsAt,
  admitWaiting,
  retryDelayMs,
  applyGroupLoad,
  generationTime,
  type GroupSlots,
  type GroupRank,
  type SlotParameters,
  type QueueForecast,
  type QueueStep,
  type StreamQueue,
  type WaitingRequest,
} from '../../coordination/index.js';
import type { EngineCosts, GroupLoad, MemberRecord } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import { DIRECT_FLEET } from './DirectDocument.js';
import { DirectSlotsLog } from './DirectSlotsLog.js';
import { DirectStreams } from './DirectStreams.js';

/** A request for a slot. */
export interface SlotRequest {
  readonly request: string;
  readonly service: string;
  readonly priority: number;
  /** When the request arrived, ms on the local monotonic clock. */
  readonly startedAt: number;
  /** Objective for the time to the first event, ms. */
  readonly objectiveMs: number;
  /** ms on the same clock as `startedAt`. */
  readonly deadline: number;
  /** The caller of a stream disconnects after this time without an event, also before the first one; ms. */
  readonly patienceMs: number;
  /** Length of the whole answer, tokens: the maximum, and the caller's estimate. Null where the caller gives none. */
  readonly tokens: number | null;
  readonly likelyTokens: number | null;
  /** Events of the answer that the caller has received already. */
  readonly eventsReceived: number;
  readonly isCallerRetry: boolean;
}

/** A granted slot, or a refusal with the time after which the caller may retry. */
export type SlotDecision =
  { readonly granted: true } | { readonly granted: false; readonly retryAfterMs: number };

/** Engine costs that a model service declares, and the longest pause between events that its routes aim for, ms. */
export interface ModelService {
  readonly costs: EngineCosts;
  readonly pauseMs: number;
}

/** Longest pause between events to aim for where no route sets one, ms. */
export const DEFAULT_PAUSE_MS = 120;

/** Number of engine passes between sending a request and its first event, apart from reading the prompt. */
const FIRST_EVENT_PASSES = 1.5;

/** Overhead of connections and forwarding in the time to the first event, ms. */
const FIRST_EVENT_OVERHEAD_MS = 30;

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

interface Waiter {
  readonly waiting: WaitingRequest;
  readonly resolve: (decision: SlotDecision) => void;
}

interface ServiceState {
  readonly groups: ReadonlyMap<string, GroupSlots>;
  readonly queue: StreamQueue;
}

/** Host of an `ip:port`. */
function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** Admission of one entry process. */
export class DirectAdmission {
  readonly #zone: string;

  readonly #runtime: Runtime;

  readonly #log: Logger;

  readonly #slotsLog: DirectSlotsLog;

  readonly #modelOf: (service: string) => ModelService | null;

  readonly #services = new Map<string, ServiceState>();

  readonly #waiters = new Map<number, Waiter>();

  /** Number of requests of this process in progress, by endpoint. */
  readonly #own = new Map<string, number>();

  readonly #streams = new DirectStreams();

  /** Since when all groups of a service have been closed, without an event or an open load report in between, ms. */
  readonly #downSince = new Map<string, number>();

  /** When a service whose groups were all closed last had one open again, ms. */
  readonly #reopenedAt = new Map<string, number>();

  /** Number of granted slots whose requests haven't been sent yet, by service. */
  readonly #granted = new Map<string, number>();

  #isUsable: ((endpoint: string) => boolean) | null = null;

  #entryHosts = 1;

  #counter = 0;

  constructor(zone: string, runtime: Runtime, modelOf: (service: string) => ModelService | null) {
    this.#zone = zone;
    this.#runtime = runtime;
    this.#log = runtime.log;
    this.#slotsLog = new DirectSlotsLog(runtime.log, runtime.now);
    this.#modelOf = modelOf;
  }

  /** Number of requests that wait for a slot. */
  get waiting(): number {
    return this.#waiters.size;
  }

  /** Updates the groups from the members. The rank of an endpoint is announced by the sidecar on the same host. */
  setMembers(records: readonly MemberRecord[], entryHosts: number): void {
    this.#entryHosts = Math.max(1, entryHosts);
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
    found.forEach((groups, service) => this.#setGroups(service, groups));
  }

  onLoad(load: GroupLoad): void {
    this.#services.forEach(({ groups }, service) => {
      const group = groups.get(load.group);
      const parameters = this.#slotParameters(service);
      if (group !== undefined && parameters !== null) {
        const { now, random } = this.#runtime;
        const next = applyGroupLoad(group, load, this.#own, parameters, now(), random());
        if (load.open) {
          this.#downSince.delete(service);
        }
        this.#replaceGroup(service, next);
        this.#logLoad(service, next);
        this.#admitWaiting(service);
      }
    });
  }

  #logLoad(service: string, state: GroupSlots): void {
    this.#slotsLog.write(state, {
      own: this.#own,
      waiting: this.#services.get(service)?.queue.length ?? 0,
    });
  }

  /** Sets which endpoints may be sent requests, so that slots count only at these; null for all. */
  setUsable(isUsable: ((endpoint: string) => boolean) | null): void {
    this.#isUsable = isUsable;
  }

  /** Refuses all requests that wait for a slot of a service. */
  refuseWaiting(service: string): void {
    const queue = this.#services.get(service)?.queue ?? [];
    if (queue.length > 0) {
      const now = this.#runtime.now();
      const refused = queue.map(({ id, deadline }) => ({
        id,
        retryAfterMs: this.retryAfter(service, deadline - now) ?? 0,
      }));
      this.#applyStep(service, { queue: [], admitted: [], refused });
    }
  }

  /** Requests a slot; granted at once where the service has no groups. */
  async acquire(req: SlotRequest, signal: AbortSignal): Promise<SlotDecision> {
    this.#detectStalledGroups();
    const state = this.#services.get(req.service);
    const forecast = this.#forecast(req.service);
    const model = this.#modelOf(req.service);
    if (state === undefined || forecast === null || model === null) {
      return { granted: true };
    }
    this.#counter += 1;
    const tokensReceived = req.eventsReceived * model.costs.stepsPerPass;
    const tokens = Math.max(1, (req.tokens ?? model.costs.usualAnswer) - tokensReceived);
    const likely = Math.max(1, (req.likelyTokens ?? model.costs.usualAnswer) - tokensReceived);
    const waiting: WaitingRequest = {
      id: this.#counter,
      priority: req.priority,
      arrivedAt: req.startedAt,
      objectiveAt: req.startedAt + req.objectiveMs,
      deadline: req.deadline,
      firstEventDeadline: req.startedAt + req.patienceMs,
      tokens,
      likelyTokens: Math.min(tokens, likely),
      isCallerRetry: req.isCallerRetry,
    };
    return new Promise((resolve) => {
      this.#waiters.set(waiting.id, { waiting, resolve });
      signal.addEventListener('abort', () => this.#removeWaiter(req.service, waiting.id), {
        once: true,
      });
      const { now, random } = this.#runtime;
      const step = enqueue(state.queue, waiting, forecast, now(), random());
      this.#log.debug(
        { event: 'place', request: req.request, free: forecast.free },
        'slot requested',
      );
      this.#applyStep(req.service, step);
    });
  }

  /** Whether the endpoints of a service are ranks of groups. */
  hasGroups(service: string): boolean {
    return (this.#services.get(service)?.groups.size ?? 0) > 0;
  }

  /** Whether the service has groups and none of them is open. */
  isClosed(service: string): boolean {
    const groups = [...(this.#services.get(service)?.groups.values() ?? [])];
    return groups.length > 0 && !groups.some(isOpenGroup);
  }

  /** Marks each group as broken whose streams to this process have all stopped delivering events. */
  #detectStalledGroups(): void {
    const now = this.#runtime.now();
    this.#services.forEach(({ groups }, service) => {
      groups.forEach((group) => {
        const own = this.#streams.combined(group.ranks.map(({ endpoint }) => endpoint));
        if (isGroupStalled(group, own, now)) {
          this.#markBroken(service, group);
        }
      });
    });
  }

  #markBroken(service: string, group: GroupSlots): void {
    const brokenGroup = markGroupBroken(group, this.#runtime.now());
    this.#replaceGroup(service, brokenGroup);
    if (group.brokenAt === null) {
      this.#logLoad(service, brokenGroup);
    }
  }

  /** Records an event of a stream; `isFirst` for its first one. */
  onEvent(endpoint: string, isFirst: boolean): void {
    this.#streams.onEvent(endpoint, isFirst, this.#runtime.now());
    this.#services.forEach(({ groups }, service) => {
      groups.forEach((group) => {
        const wasDown = group.brokenAt !== null || this.#downSince.has(service);
        const isAliveAgain = wasDown && group.ranks.some((rank) => rank.endpoint === endpoint);
        if (isAliveAgain) {
          this.#downSince.delete(service);
          this.#replaceGroup(service, markGroupRecovered(group));
          this.#admitWaiting(service);
        }
      });
    });
  }

  /** Records the end of a stream from which events were received. */
  onStreamFinished(endpoint: string): void {
    this.#streams.onFinished(endpoint);
  }

  /** Records the end of a request without any event; `wasCancelled` where this process cancelled it. */
  onUnanswered(service: string, endpoint: string, wasCancelled: boolean): void {
    const groups = [...(this.#services.get(service)?.groups.values() ?? [])];
    const avoid =
      wasCancelled && groups.some((group) => this.#unresponsiveIn(group).includes(endpoint));
    this.#streams.onUnanswered(endpoint, avoid, this.#runtime.now());
  }

  /** Chooses an endpoint by free slots: null where none is available, undefined where the service has no groups. */
  choose(service: string, exclude: readonly string[]): string | null | undefined {
    const groups = this.#services.get(service)?.groups;
    if (groups === undefined || groups.size === 0) {
      return undefined;
    }
    const { random } = this.#runtime;
    const all = [...groups.values()];
    const unresponsive = all.flatMap((group) => this.#unresponsiveIn(group));
    const choose = (excluded: readonly string[]): string | null =>
      chooseRank(all, this.#own, this.#zone, excluded, random);
    // An unresponsive endpoint is better than none: its whole group may have stalled, and may resume.
    return (
      choose([...exclude, ...unresponsive]) ?? (unresponsive.length > 0 ? choose(exclude) : null)
    );
  }

  #unresponsiveIn({ ranks }: GroupSlots): readonly string[] {
    const endpoints = ranks.map(({ endpoint }) => endpoint);
    return this.#streams.unresponsiveAmong(endpoints, this.#runtime.now());
  }

  onSent(service: string, endpoint: string): void {
    this.#streams.onSent(endpoint, this.#runtime.now());
    this.#own.set(endpoint, (this.#own.get(endpoint) ?? 0) + 1);
    this.#granted.set(service, Math.max(0, (this.#granted.get(service) ?? 0) - 1));
  }

  onDone(service: string, endpoint: string): void {
    const left = (this.#own.get(endpoint) ?? 1) - 1;
    if (left > 0) {
      this.#own.set(endpoint, left);
    } else {
      this.#own.delete(endpoint);
    }
    this.#admitWaiting(service);
  }

  /** Returns a granted slot whose request isn't sent after all. */
  onUnused(service: string): void {
    this.#granted.set(service, Math.max(0, (this.#granted.get(service) ?? 0) - 1));
  }

  /** Re-evaluates the queue: the passage of time alone may change which requests can still be answered. */
  tick(): void {
    this.#detectStalledGroups();
    this.#services.forEach(({ groups }, service) => {
      const parameters = this.#slotParameters(service);
      if (parameters !== null) {
        groups.forEach((group) => {
          const refreshed = dropStaleLoad(group, parameters, this.#runtime.now());
          if (refreshed !== group) {
            this.#replaceGroup(service, refreshed);
          }
        });
      }
      this.#admitWaiting(service);
    });
  }

  /** Time after which the caller of a refused request should retry, ms; null where that isn't known. */
  retryAfter(service: string, leftMs: number): number | null {
    const forecast = this.#forecast(service);
    const waiting = this.#services.get(service)?.queue.length ?? 0;
    return forecast === null
      ? null
      : retryDelayMs(leftMs, waiting, forecast, this.#runtime.random());
  }

  /**
   * Marks the group of an endpoint as broken until a newer load report or an event shows otherwise.
   *
   * To be called when a rank's refusal blames another rank, since all ranks of the group refuse then. Otherwise each
   * request would be tried at one rank after another and use up the retry budgets.
   */
  onGroupBroken(endpoint: string): void {
    this.#services.forEach(({ groups }, service) => {
      groups.forEach((group) => {
        if (group.ranks.some((rank) => rank.endpoint === endpoint)) {
          this.#markBroken(service, group);
        }
      });
    });
  }

  #setGroups(service: string, found: ReadonlyMap<string, readonly GroupRank[]>): void {
    const parameters = this.#slotParameters(service);
    if (parameters === null) {
      return;
    }
    const known = this.#services.get(service);
    const groups = new Map<string, GroupSlots>();
    found.forEach((ranks, group) => {
      const before = known?.groups.get(group);
      groups.set(
        group,
        before === undefined ? initGroupSlots(group, ranks, parameters) : { ...before, ranks },
      );
    });
    this.#services.set(service, { groups, queue: known?.queue ?? [] });
  }

  #replaceGroup(service: string, group: GroupSlots): void {
    const state = this.#services.get(service);
    if (state === undefined) {
      return;
    }
    const wasClosed = this.isClosed(service);
    const groups = new Map(state.groups).set(group.group, group);
    this.#services.set(service, { ...state, groups });
    const now = this.#runtime.now();
    if (!this.isClosed(service)) {
      if (wasClosed) {
        this.#reopenedAt.set(service, now);
      }
    } else if (!this.#downSince.has(service)) {
      this.#downSince.set(service, now);
    }
  }

  #isLongDown(service: string): boolean {
    const downSince = this.#downSince.get(service) ?? Infinity;
    return this.isClosed(service) && this.#runtime.now() - downSince > LONG_DOWN_MS;
  }

  #isRecovering(service: string): boolean {
    const reopenedAt = this.#reopenedAt.get(service) ?? -Infinity;
    return this.isClosed(service) || this.#runtime.now() - reopenedAt < RECOVERY_MS;
  }

  #slotParameters(service: string): SlotParameters | null {
    const model = this.#modelOf(service);
    const usable = this.#isUsable === null ? {} : { isUsable: this.#isUsable };
    return model === null ? null : { ...model, entryHosts: this.#entryHosts, ...usable };
  }

  #forecast(service: string): QueueForecast | null {
    const state = this.#services.get(service);
    const model = this.#modelOf(service);
    if (state === undefined || model === null || state.groups.size === 0) {
      return null;
    }
    const groups = [...state.groups.values()];
    const openGroups = groups.filter(isOpenGroup).filter(({ ranks }) => this.#hasUsable(ranks));
    const granted = this.#granted.get(service) ?? 0;
    const free =
      openGroups.reduce((sum, group) => sum + freeSlotsAt(group, this.#own), 0) - granted;
    const slots = groups.reduce(
      (total, group) => total + Math.max(group.allowance, ownRequestsAt(group, this.#own)),
      0,
    );
    const passMs = groups.reduce((total, group) => total + group.passMs, 0) / groups.length;
    const { costs } = model;
    const writeMs = (tokens: number): number => generationTime(costs, tokens, passMs);
    return {
      free: Math.max(0, free),
      isRecovering: this.#isRecovering(service),
      isLongDown: this.#isLongDown(service),
      ratePerMs: openGroups.length > 0 ? slots / Math.max(1, writeMs(costs.usualAnswer)) : 0,
      firstMs:
        FIRST_EVENT_PASSES * passMs +
        costs.usualPrompt / costs.readTokensPerMs +
        FIRST_EVENT_OVERHEAD_MS,
      writeMs,
    };
  }

  #hasUsable(ranks: readonly GroupRank[]): boolean {
    return this.#isUsable === null || ranks.some(({ endpoint }) => this.#isUsable?.(endpoint));
  }

  #admitWaiting(service: string): void {
    const state = this.#services.get(service);
    const forecast =
      state === undefined || state.queue.length === 0 ? null : this.#forecast(service);
    if (state !== undefined && forecast !== null) {
      const { now, random } = this.#runtime;
      this.#applyStep(service, admitWaiting(state.queue, forecast, now(), random()));
    }
  }

  #applyStep(service: string, { queue, admitted, refused }: QueueStep): void {
    const state = this.#services.get(service);
    if (state !== undefined) {
      this.#services.set(service, { ...state, queue });
    }
    this.#granted.set(service, (this.#granted.get(service) ?? 0) + admitted.length);
    admitted.forEach((id) => this.#resolve(id, { granted: true }));
    refused.forEach(({ id, retryAfterMs }) => this.#resolve(id, { granted: false, retryAfterMs }));
  }

  #resolve(id: number, decision: SlotDecision): void {
    this.#waiters.get(id)?.resolve(decision);
    this.#waiters.delete(id);
  }

  /** Removes an aborted request from the queue. */
  #removeWaiter(service: string, id: number): void {
    const state = this.#services.get(service);
    if (this.#waiters.has(id) && state !== undefined) {
      this.#services.set(service, {
        ...state,
        queue: state.queue.filter((waiting) => waiting.id !== id),
      });
      this.#resolve(id, { granted: false, retryAfterMs: 0 });
    }
  }
}
