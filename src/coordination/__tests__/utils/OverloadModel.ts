/** Model of a group with many entry hosts, callers of three priorities and a coordinator that grants starts. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { EngineCosts, GroupLoad } from '../../../protocol/index.js';
import {
  admitWaiting,
  applyGrants,
  applyGroupLoad,
  decideGrants,
  demandRows,
  enqueue,
  freeSlotsAt,
  generationTime,
  grantPhase,
  initGroupSlots,
  isReportDue,
  NO_GRANTS,
  recordArrival,
  recordDemands,
  recordReport,
  refreshGroupSlots,
  replacementSlots,
  startableRequests,
  sumDemands,
  type Arrival,
  type GrantedSlots,
  type GroupDemands,
  type GroupSlots,
  type QueueForecast,
  type QueueStep,
  type StreamQueue,
} from '../../index.js';

/** Group of 72 ranks with 5 slots each; passes take 60 ms, and the usual answer 1.7 s. */
const RANKS = Array.from({ length: 72 }, (_item, rank) => ({
  endpoint: `e${rank}`,
  rank,
  zone: 'z1',
}));

/** Costs of the engines in the model. */
export const OVERLOAD_COSTS: EngineCosts = {
  slots: 5,
  stepsPerPass: 5,
  stepMs: 6,
  writerMs: 0.5,
  contextMsPerK: 0,
  readTokensPerMs: 60,
  expertShare: 0.85,
  sets: 1,
  experts: 4,
  slotsPerRank: 2,
  mostNew: 1,
  copyMs: 140,
  usualPrompt: 600,
  usualAnswer: 140,
};

/** Callers by priority: arrivals per second, objective, mean time of an answer, its worth, and part of that if late. */
const CLASSES = [
  { rate: 64.6, objectiveMs: 403, answerMs: 1_200, worth: 3.1, late: 0.3 },
  { rate: 85.5, objectiveMs: 403, answerMs: 1_700, worth: 1.6, late: 0.41 },
  { rate: 28.6, objectiveMs: 803, answerMs: 2_500, worth: 0.8, late: 0.3 },
] as const;

const CUSTOMERS = 24;
const PASS_MS = 60;
const FIRST_MS = 150;
const INTERVAL_MS = 250;
const TICK_MS = 10;
const LINK_MS = 20;
const HUB_MS = 100;
const PATIENCE_MS = 2_000;
const DEADLINE_MS = 8_000;
const WARM_UP_MS = 3_000;

/** Time from the begin of the surge until the slots that were free before are in use, ms. */
const FILLED_MS = 1_000;

/** How slots are shared: by urgency, by each host on its own, or by grants without regard to priority. */
export type SharingMode = 'urgency' | 'own' | 'byHost';

/** One run of the model; functions get the time since the surge began, ms. */
export interface OverloadRun {
  readonly hosts: number;
  readonly mode: SharingMode;
  readonly seed: number;
  /** Factors on the rates by priority after the warm-up. */
  readonly surge: readonly number[];
  readonly surgeMs: number;
  /** Delay of each load, ms. */
  readonly loadDelayMs?: number;
  /** Whether a host receives the loads and is heard by the coordinator. */
  readonly isLinked?: (host: number, at: number) => boolean;
  /** Part of the hosts that is cut off, with its callers and the same part of the slots, one second into the surge. */
  readonly cutShare?: number;
  /** Whether a coordinator publishes loads; a successor starts with empty state. */
  readonly isCoordinated?: (at: number) => boolean;
  /** Number of copies of a demand message that arrive, from a random number. */
  readonly copies?: (random: number) => number;
}

type Outcome = 'onTime' | 'late' | 'none';

interface Caller {
  readonly priority: number;
  readonly customer: string;
  readonly startedAt: number;
  readonly answerMs: number;
  outcome: Outcome;
  /** Index of the host that it called last. */
  host: number;
  hasRetried: boolean;
}

interface Host {
  readonly index: number;
  queue: StreamQueue;
  running: number;
  slots: GroupSlots;
  grants: GrantedSlots;
  arrivals: readonly Arrival[];
}

/** Outcome of the callers that arrived during the surge. */
export interface OverloadResult {
  /** By priority: shares of callers that were answered on time, and at all. */
  readonly onTime: readonly number[];
  readonly served: readonly number[];
  /** Smallest share of served callers of one customer, over that of all. */
  readonly leastCustomer: number;
  /** Mean use of the slots once the free ones have been filled, and the worth of the answers. */
  readonly used: number;
  readonly worth: number;
}

function classOf(priority: number): (typeof CLASSES)[number] {
  return CLASSES[priority] ?? CLASSES[0];
}

class OverloadModel {
  readonly #run: OverloadRun;

  readonly #random: () => number;

  readonly #hosts: readonly Host[];

  readonly #callers = new Map<number, Caller>();

  readonly #counted: Caller[] = [];

  readonly #events = new Map<number, (() => void)[]>();

  readonly #uses: number[] = [];

  #now = 0;

  #counter = 0;

  #demands: GroupDemands = new Map();

  constructor(run: OverloadRun) {
    this.#run = run;
    const rng = xoroshiro128plus(run.seed);
    this.#random = () => uniformFloat64(rng);
    this.#hosts = Array.from({ length: run.hosts }, (_item, index) => ({
      index,
      queue: [],
      running: 0,
      slots: initGroupSlots('g', RANKS, this.#params, this.#random()),
      grants: NO_GRANTS,
      arrivals: [],
    }));
  }

  run(): OverloadResult {
    const endsAt = WARM_UP_MS + this.#run.surgeMs;
    while (this.#now < endsAt + DEADLINE_MS) {
      const tick = Math.round(this.#now / TICK_MS);
      this.#events.get(tick)?.forEach((action) => action());
      this.#events.delete(tick);
      if (this.#now < endsAt) {
        CLASSES.forEach((_class, priority) => this.#arrivals(priority));
      }
      this.#coordinate();
      this.#hosts.forEach((host) => this.#tickHost(host));
      if (this.#sinceSurge >= FILLED_MS && this.#now < endsAt) {
        this.#uses.push(this.#running / this.#limit);
      }
      this.#now += TICK_MS;
    }
    return this.#summarize();
  }

  get #params(): { costs: EngineCosts; pauseMs: number; entryHosts: number } {
    return { costs: OVERLOAD_COSTS, pauseMs: 120, entryHosts: this.#run.hosts };
  }

  get #sinceSurge(): number {
    return this.#now - WARM_UP_MS;
  }

  get #cutHosts(): number {
    return this.#sinceSurge > 1_000 ? Math.round(this.#run.hosts * (this.#run.cutShare ?? 0)) : 0;
  }

  get #limit(): number {
    return RANKS.length * OVERLOAD_COSTS.slots * (1 - this.#cutHosts / this.#run.hosts);
  }

  /** Running requests, without those of hosts that are cut off. */
  get #running(): number {
    return this.#hosts.slice(this.#cutHosts).reduce((total, { running }) => total + running, 0);
  }

  #at(ms: number, action: () => void): void {
    const tick = Math.max(Math.round(this.#now / TICK_MS) + 1, Math.ceil(ms / TICK_MS));
    this.#events.set(tick, [...(this.#events.get(tick) ?? []), action]);
  }

  #isLinked({ index }: Host): boolean {
    return index >= this.#cutHosts && (this.#run.isLinked?.(index, this.#sinceSurge) ?? true);
  }

  #arrivals(priority: number): void {
    const { rate, answerMs } = classOf(priority);
    const isSurge = this.#sinceSurge >= 0;
    const factor = isSurge ? (this.#run.surge[priority] ?? 1) : 1;
    const expected = (rate * factor * TICK_MS) / 1_000;
    for (let left = expected; left > 0; left -= 1) {
      if (this.#random() < left) {
        // A few customers are large: a third of the callers belong to three of them.
        const customers = this.#random() < 0.33 ? 3 : CUSTOMERS;
        this.#arrive({
          priority,
          customer: `c${Math.floor(this.#random() * customers)}`,
          startedAt: this.#now,
          answerMs: answerMs * (0.5 + this.#random()),
          outcome: 'none',
          host: 0,
          hasRetried: false,
        });
      }
    }
  }

  #arrive(caller: Caller): void {
    // Callers retry at a host that they reach; new callers of hosts that are cut off aren't part of the model.
    const first = caller.hasRetried ? this.#cutHosts : 0;
    const index = first + Math.floor(this.#random() * (this.#hosts.length - first));
    const host = this.#hosts[index];
    if (host === undefined || index < this.#cutHosts) {
      return;
    }
    Object.assign(caller, { host: index });
    if (!caller.hasRetried && this.#sinceSurge >= 0) {
      this.#counted.push(caller);
    }
    this.#counter += 1;
    this.#callers.set(this.#counter, caller);
    const { mode } = this.#run;
    const priority = mode === 'byHost' ? 0 : caller.priority;
    const customer = mode === 'byHost' ? '' : caller.customer;
    const now = this.#now;
    const request = {
      id: this.#counter,
      priority,
      customer,
      arrivedAt: now,
      objectiveAt: caller.startedAt + classOf(caller.priority).objectiveMs,
      deadline: caller.startedAt + DEADLINE_MS,
      firstEventDeadline: now + PATIENCE_MS,
      tokens: OVERLOAD_COSTS.usualAnswer,
      likelyTokens: OVERLOAD_COSTS.usualAnswer,
      isCallerRetry: caller.hasRetried,
    };
    host.arrivals = recordArrival(host.arrivals, { priority, customer, at: now });
    this.#apply(host, enqueue(host.queue, request, this.#forecast(host), now, this.#random()));
  }

  #forecast(host: Host): QueueForecast {
    const { grants, running, slots } = host;
    const isOwn = this.#run.mode === 'own';
    const phase = isOwn || slots.load === null ? 'shared' : grantPhase(grants, this.#now);
    const free = {
      shared: freeSlotsAt(slots, new Map([['e0', running]])),
      replacing: replacementSlots(grants, running, Math.max(1, slots.limit / this.#run.hosts)),
      granted: 0,
    };
    const usualMs = generationTime(OVERLOAD_COSTS, OVERLOAD_COSTS.usualAnswer, PASS_MS);
    return {
      free: free[phase],
      ratePerMs: Math.max(slots.allowance, running) / usualMs,
      isRecovering: false,
      isLongDown: false,
      firstMs: FIRST_MS,
      writeMs: (tokens) => generationTime(OVERLOAD_COSTS, tokens, PASS_MS),
      grants: isOwn ? null : new Map(phase === 'granted' ? [['g', grants]] : []),
    };
  }

  #apply(host: Host, step: QueueStep): void {
    Object.assign(host, { queue: step.queue, grants: step.grants.get('g') ?? host.grants });
    step.admitted.forEach((id) => this.#start(host, id));
    step.refused.forEach(({ id, retryAfterMs }) => {
      const caller = this.#callers.get(id);
      this.#callers.delete(id);
      if (caller !== undefined && !caller.hasRetried) {
        caller.hasRetried = true;
        const leftMs = caller.startedAt + DEADLINE_MS - this.#now;
        this.#at(this.#now + Math.min(retryAfterMs, leftMs / 3), () => this.#arrive(caller));
      }
    });
  }

  #start(host: Host, id: number): void {
    const caller = this.#callers.get(id);
    this.#callers.delete(id);
    if (caller !== undefined) {
      const firstMs = FIRST_MS * Math.max(1, this.#running / this.#limit);
      const totalMs = this.#now + firstMs - caller.startedAt;
      caller.outcome = totalMs <= classOf(caller.priority).objectiveMs ? 'onTime' : 'late';
      Object.assign(host, { running: host.running + 1 });
      this.#at(this.#now + caller.answerMs, () => {
        Object.assign(host, { running: host.running - 1 });
        this.#admit(host);
      });
    }
  }

  #admit(host: Host): void {
    const { queue } = host;
    if (queue.length > 0) {
      this.#apply(host, admitWaiting(queue, this.#forecast(host), this.#now, this.#random()));
    }
  }

  #coordinate(): void {
    if (this.#run.isCoordinated?.(this.#sinceSurge) === false) {
      this.#demands = new Map();
    } else if (this.#now % INTERVAL_MS === 0) {
      this.#publish();
    }
  }

  #publish(): void {
    const { hosts, loadDelayMs = 0, mode } = this.#run;
    const running = this.#running;
    const usage = { limit: this.#limit, running, passMs: PASS_MS, intervalMs: INTERVAL_MS };
    const { demands } = sumDemands(this.#demands, INTERVAL_MS, this.#now);
    const startable = startableRequests(usage, OVERLOAD_COSTS);
    const grants = mode === 'own' ? null : decideGrants(demands, startable, INTERVAL_MS);
    const ranks = Math.round(RANKS.length * (1 - this.#cutHosts / hosts));
    const load: GroupLoad = {
      group: 'g',
      open: true,
      active: Array.from({ length: ranks }, () => running / ranks),
      queued: [],
      passMs: PASS_MS,
      skew: 1,
    };
    this.#at(this.#now + LINK_MS + loadDelayMs, () =>
      this.#hosts
        .filter((host) => this.#isLinked(host))
        .forEach((host) => {
          const own = new Map([['e0', host.running]]);
          const now = this.#now;
          const random = this.#random();
          Object.assign(host, {
            slots: applyGroupLoad(host.slots, load, own, this.#params, now, random),
            grants: applyGrants(host.grants, grants, host.running, now, random),
          });
          this.#admit(host);
        }),
    );
  }

  #tickHost(host: Host): void {
    const own = new Map([['e0', host.running]]);
    Object.assign(host, {
      slots: refreshGroupSlots(host.slots, own, this.#params, this.#now),
    });
    const { mode, copies } = this.#run;
    if (mode !== 'own' && isReportDue(host.grants, host.queue.length, this.#now)) {
      const rows = demandRows(host.queue, host.arrivals, 1, this.#now);
      Object.assign(host, { grants: recordReport(host.grants, rows, this.#now) });
      const message = { group: 'g', host: `h${host.index}`, rows };
      const sent = this.#isLinked(host) ? (copies?.(this.#random()) ?? 1) : 0;
      Array.from({ length: sent }, () =>
        this.#at(this.#now + LINK_MS + this.#random() * HUB_MS, () => {
          this.#demands = recordDemands(this.#demands, [message], this.#now);
        }),
      );
    }
    if (this.#now % (2 * TICK_MS) === 0) {
      this.#admit(host);
    }
  }

  #summarize(): OverloadResult {
    const share = (callers: readonly Caller[], outcomes: readonly Outcome[]): number =>
      callers.filter(({ outcome }) => outcomes.includes(outcome)).length / callers.length;
    const counted = this.#counted.filter(({ host }) => host >= this.#cutHosts);
    const answered: readonly Outcome[] = ['onTime', 'late'];
    const byClass = CLASSES.map((_class, p) => counted.filter(({ priority }) => priority === p));
    const byCustomer = Array.from({ length: CUSTOMERS }, (_item, c) =>
      counted.filter(({ customer }) => customer === `c${c}`),
    );
    return {
      onTime: byClass.map((callers) => share(callers, ['onTime'])),
      served: byClass.map((callers) => share(callers, answered)),
      leastCustomer:
        Math.min(...byCustomer.map((callers) => share(callers, answered))) /
        share(counted, answered),
      used: this.#uses.reduce((total, use) => total + use, 0) / this.#uses.length,
      worth: counted.reduce((total, { outcome, priority }) => {
        const { worth, late } = classOf(priority);
        return total + { onTime: worth, late: worth * late, none: 0 }[outcome];
      }, 0),
    };
  }
}

/** Runs the model: callers, hosts, hubs, coordinator and group, in steps of 10 ms. */
export function runOverload(run: OverloadRun): OverloadResult {
  return new OverloadModel(run).run();
}
