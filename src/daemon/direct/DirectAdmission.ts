/** Admission of requests at an entry process: the queue of those that wait for a slot at a group of ranks. */
import type { Logger } from 'pino';
import {
  enqueue,
  admitWaiting,
  retryDelayMs,
  type QueueForecast,
  type QueueStep,
  type RequestClass,
  type StreamQueue,
  type WaitingRequest,
} from '../../coordination/index.js';
import type { GroupLoad, MemberRecord } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import { forecastService } from './DirectForecast.js';
import { DirectGrants, type SendDemand } from './DirectGrants.js';
import { DirectGroups, type ModelService } from './DirectGroups.js';

/** A request for a slot. */
export interface SlotRequest extends RequestClass {
  readonly request: string;
  readonly service: string;
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

/** Options of a {@link DirectAdmission}. */
export interface AdmissionOptions {
  readonly zone: string;
  readonly runtime: Runtime;
  readonly modelOf: (service: string) => ModelService | null;
  readonly sendDemand: SendDemand;
}

interface Waiter {
  readonly waiting: WaitingRequest;
  readonly resolve: (decision: SlotDecision) => void;
}

const EMPTY_QUEUE: StreamQueue = [];

/** Admission of one entry process. */
export class DirectAdmission {
  readonly #runtime: Runtime;

  readonly #log: Logger;

  readonly #modelOf: (service: string) => ModelService | null;

  readonly #groups: DirectGroups;

  readonly #grants: DirectGrants;

  /** Waiting requests by service. */
  readonly #queues = new Map<string, StreamQueue>();

  readonly #waiters = new Map<number, Waiter>();

  /** Number of admitted requests that haven't been sent yet, by service; without those that have a grant. */
  readonly #unsent = new Map<string, number>();

  #counter = 0;

  constructor({ zone, runtime, modelOf, sendDemand }: AdmissionOptions) {
    this.#runtime = runtime;
    this.#log = runtime.log;
    this.#modelOf = modelOf;
    this.#groups = new DirectGroups({
      zone,
      runtime,
      modelOf,
      waitingAt: (service) => this.#queueOf(service).length,
    });
    this.#grants = new DirectGrants({
      runtime,
      groups: this.#groups,
      sendDemand,
      isByUrgency: (service) => modelOf(service)?.byUrgency === true,
      costsOf: (service) => modelOf(service)?.costs ?? null,
      waitingAt: (service) => this.#queueOf(service),
    });
  }

  /** Number of requests that wait for a slot. */
  get waiting(): number {
    return this.#waiters.size;
  }

  /** Updates the groups from the members. */
  setMembers(records: readonly MemberRecord[], entryHosts: number): void {
    this.#groups.setMembers(records, entryHosts);
  }

  onLoad(load: GroupLoad): void {
    this.#groups.services.forEach((service) => {
      const group = this.#groups.applyLoad(service, load);
      if (group !== undefined) {
        if (group.load === load) {
          this.#grants.onLoad(service, group, load);
        }
        this.#grants.report(service);
        this.#admitWaiting(service);
      }
    });
  }

  /** Requests a slot; granted at once where the service has no groups. */
  async acquire(req: SlotRequest, signal: AbortSignal): Promise<SlotDecision> {
    const { service } = req;
    this.#groups.detectStalled();
    this.#groups.refresh(service);
    const forecast = this.#forecast(service);
    const model = this.#modelOf(service);
    if (forecast === null || model === null) {
      return { granted: true };
    }
    this.#grants.onArrival(service, req);
    const waiting = this.#waitingRequest(req, model);
    return new Promise((resolve) => {
      this.#waiters.set(waiting.id, { waiting, resolve });
      signal.addEventListener('abort', () => this.#removeWaiter(service, waiting.id), {
        once: true,
      });
      const { now, random } = this.#runtime;
      const step = enqueue(this.#queueOf(service), waiting, forecast, now(), random());
      this.#log.debug(
        { event: 'place', request: req.request, free: forecast.free },
        'slot requested',
      );
      this.#applyStep(service, step);
      this.#grants.report(service);
    });
  }

  /** Sets which endpoints may be sent requests, so that slots count only at these; null for all. */
  setUsable(isUsable: ((endpoint: string) => boolean) | null): void {
    this.#groups.setUsable(isUsable);
  }

  /** Refuses all requests that wait for a slot of a service. */
  refuseWaiting(service: string): void {
    const queue = this.#queueOf(service);
    if (queue.length > 0) {
      const now = this.#runtime.now();
      const refused = queue.map(({ id, deadline }) => ({
        id,
        retryAfterMs: this.retryAfter(service, deadline - now) ?? 0,
      }));
      const grants = this.#forecast(service)?.grants ?? new Map();
      this.#applyStep(service, { queue: [], admitted: [], refused, grantedAt: new Map(), grants });
    }
  }

  #waitingRequest(req: SlotRequest, { costs }: ModelService): WaitingRequest {
    this.#counter += 1;
    const tokensReceived = req.eventsReceived * costs.stepsPerPass;
    const tokens = Math.max(1, (req.tokens ?? costs.usualAnswer) - tokensReceived);
    const likely = Math.max(1, (req.likelyTokens ?? costs.usualAnswer) - tokensReceived);
    return {
      id: this.#counter,
      priority: req.priority,
      customer: req.customer,
      arrivedAt: req.startedAt,
      objectiveAt: req.startedAt + req.objectiveMs,
      deadline: req.deadline,
      firstEventDeadline: req.startedAt + req.patienceMs,
      tokens,
      likelyTokens: Math.min(tokens, likely),
      isCallerRetry: req.isCallerRetry,
    };
  }

  /** Whether the endpoints of a service are ranks of groups. */
  hasGroups(service: string): boolean {
    return this.#groups.has(service);
  }

  /** Whether the service has groups and none of them is open. */
  isClosed(service: string): boolean {
    return this.#groups.isClosed(service);
  }

  /** Records an event of a stream; `isFirst` for its first one. */
  onEvent(endpoint: string, isFirst: boolean): void {
    this.#groups.onEvent(endpoint, isFirst).forEach((service) => this.#admitWaiting(service));
  }

  /** Records the end of a stream from which events were received. */
  onStreamFinished(endpoint: string): void {
    this.#groups.onStreamFinished(endpoint);
  }

  /** Records the end of a request without any event; `wasCancelled` where this process cancelled it. */
  onUnanswered(service: string, endpoint: string, wasCancelled: boolean): void {
    this.#groups.onUnanswered(service, endpoint, wasCancelled);
  }

  /** Chooses an endpoint by free slots: null where none is available, undefined where the service has no groups. */
  choose(service: string, exclude: readonly string[]): string | null | undefined {
    const groups = this.#groups.at(service);
    if (groups.length === 0) {
      return undefined;
    }
    const preferred = this.#grants.preferred(groups);
    const chosen = preferred.length === 0 ? null : this.#groups.choose(preferred, exclude);
    return chosen ?? this.#groups.choose(groups, exclude);
  }

  onSent(service: string, endpoint: string): void {
    this.#groups.onSent(endpoint);
    if (!this.#grants.onSent(this.#groups.groupOf(service, endpoint)?.group)) {
      // Without an endpoint at the group of its grant, a request is sent elsewhere. It counts as sent all the same.
      this.onUnused(service);
    }
  }

  onDone(service: string, endpoint: string): void {
    this.#groups.onDone(endpoint);
    this.#admitWaiting(service);
  }

  /** Returns a granted slot whose request isn't sent after all. */
  onUnused(service: string): void {
    if ((this.#unsent.get(service) ?? 0) > 0 || !this.#grants.onUnused(service)) {
      this.#countSent(service);
    }
  }

  #countSent(service: string): void {
    this.#unsent.set(service, Math.max(0, (this.#unsent.get(service) ?? 0) - 1));
  }

  /** Re-evaluates the queue: the passage of time alone may change which requests can still be answered. */
  tick(): void {
    this.#groups.detectStalled();
    this.#groups.services.forEach((service) => {
      this.#groups.refresh(service);
      this.#grants.report(service);
      this.#admitWaiting(service);
    });
    this.#refuseUnconfigured();
  }

  /** Refuses the requests that wait for services which the configuration doesn't have any more. */
  #refuseUnconfigured(): void {
    [...this.#queues.keys()]
      .filter((service) => this.#modelOf(service) === null)
      .forEach((service) => {
        this.refuseWaiting(service);
        this.#queues.delete(service);
      });
  }

  /** Time after which the caller of a refused request should retry, ms; null where that isn't known. */
  retryAfter(service: string, leftMs: number): number | null {
    const forecast = this.#forecast(service);
    return forecast === null
      ? null
      : retryDelayMs(leftMs, this.#queueOf(service).length, forecast, this.#runtime.random());
  }

  /** Marks the group of an endpoint as broken, see {@link DirectGroups.markBrokenAt}. */
  onGroupBroken(endpoint: string): void {
    this.#groups.markBrokenAt(endpoint);
  }

  #queueOf(service: string): StreamQueue {
    return this.#queues.get(service) ?? EMPTY_QUEUE;
  }

  #forecast(service: string): QueueForecast | null {
    const model = this.#modelOf(service);
    if (model === null || !this.#groups.has(service)) {
      return null;
    }
    const grants = this.#grants.grantsAt(service);
    return forecastService(this.#groups, {
      service,
      model,
      unsent: this.#unsent.get(service) ?? 0,
      freeAt: grants === null ? null : (group) => this.#grants.freeAt(group),
      grants,
    });
  }

  #admitWaiting(service: string): void {
    const queue = this.#queueOf(service);
    const forecast = queue.length === 0 ? null : this.#forecast(service);
    if (forecast !== null) {
      const { now, random } = this.#runtime;
      this.#applyStep(service, admitWaiting(queue, forecast, now(), random()));
    }
  }

  #applyStep(service: string, step: QueueStep): void {
    const { queue, admitted, refused, grantedAt } = step;
    this.#queues.set(service, queue);
    const withoutGrant = admitted.length - grantedAt.size;
    this.#unsent.set(service, (this.#unsent.get(service) ?? 0) + withoutGrant);
    this.#grants.onStep(step);
    admitted.forEach((id) => this.#resolve(id, { granted: true }));
    refused.forEach(({ id, retryAfterMs }) => this.#resolve(id, { granted: false, retryAfterMs }));
  }

  #resolve(id: number, decision: SlotDecision): void {
    this.#waiters.get(id)?.resolve(decision);
    this.#waiters.delete(id);
  }

  /** Removes an aborted request from the queue. */
  #removeWaiter(service: string, id: number): void {
    if (this.#waiters.has(id)) {
      this.#queues.set(
        service,
        this.#queueOf(service).filter((waiting) => waiting.id !== id),
      );
      this.#resolve(id, { granted: false, retryAfterMs: 0 });
    }
  }
}
