/** Model of a group with many entry hosts, callers of three priorities and a coordinator that grants starts. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { EngineCosts, GroupDemand, GroupLoad, SlotGrants } from '../../../protocol/index.js';
import {
  admitWaiting,
  applyGrants,
  applyGroupLoad,
  decideGrants,
  demandRows,
  dropStaleLoad,
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
  replacementSlots,
  startableRequests,
  sumDemands,
  type Arrival,
  type GroupDemands,
  type QueueForecast,
  type QueueStep,
  type WaitingRequest,
} from '../../index.js';

const RANKS = 72;

const COSTS: EngineCosts = {
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

/** Services of callers by priority: arrivals per second, objective, mean time of an answer, worth on time and late. */
const CLASSES = [
  { rate: 64.6, objectiveMs: 403, answerMs: 1_200, worth: 3.1, late: 0.3 },
  { rate: 85.5, objectiveMs: 403, answerMs: 1_700, worth: 1.6, late: 0.41 },
  { rate: 28.6, objectiveMs: 803, answerMs: 2_500, worth: 0.8, late: 0.3 },
] as const;

const PASS_MS = 60;
const FIRST_MS = 150;
const INTERVAL_MS = 250;
const TICK_MS = 10;
const LINK_MS = 20;
const HUB_MS = 100;
const PATIENCE_MS = 2_000;
const DEADLINE_MS = 8_000;
const CUSTOMERS = 24;
const WARM_UP_MS = 3_000;

/** How slots are shared: by urgency, by each host on its own, or by grants without regard to priority. */
export type SharingMode = 'urgency' | 'own' | 'byHost';

/** One run of the model. */
export interface OverloadRun {
  readonly hosts: number;
  readonly mode: SharingMode;
  readonly seed: number;
  /** Factors on the rates by priority after the warm-up. */
  readonly surge: readonly number[];
  /** Length of the surge, ms. */
  readonly surgeMs: number;
  /** Delay of each load, ms. */
  readonly loadDelayMs?: number;
  /** Whether a host receives the loads and is heard by the coordinator. */
  readonly isConnected?: (host: number, sinceSurgeMs: number) => boolean;
  /** Whether the coordinator runs; a successor starts with empty state. */
  readonly isDecided?: (sinceSurgeMs: number) => boolean;
  /** Number of copies of a demand message that arrive, from a random number. */
  readonly copies?: (random: number) => number;
}

/** Outcome of the callers that arrived during the surge. */
export interface OverloadResult {
  /** By priority: shares of callers that were answered on time, and at all. */
  readonly onTime: readonly number[];
  readonly served: readonly number[];
  /** Smallest share of served callers of one customer, over that of all. */
  readonly leastCustomer: number;
  /** Mean and largest use of the slots, and what the answers are worth. */
  readonly used: number;
  readonly mostUsed: number;
  readonly worth: number;
}

interface Caller {
  readonly priority: number;
  readonly customer: string;
  readonly startedAt: number;
  readonly answerMs: number;
  readonly counts: boolean;
}

interface Host {
  readonly id: string;
  queue: readonly WaitingRequest[];
  own: number;
  slots: ReturnType<typeof initGroupSlots>;
  grants: typeof NO_GRANTS;
  arrivals: readonly Arrival[];
}

/** Runs the model: callers, hosts, hubs, coordinator and group, in steps of 10 ms. */
export function runOverload(run: OverloadRun): OverloadResult {
  const { hosts: hostCount, mode, surge, surgeMs } = run;
  const rng = xoroshiro128plus(run.seed);
  const random = (): number => uniformFloat64(rng);
  const params = { costs: COSTS, pauseMs: 120, entryHosts: hostCount };
  const ranks = Array.from({ length: RANKS }, (_item, rank) => ({
    endpoint: `e${rank}`,
    rank,
    zone: 'z1',
  }));
  const hosts = Array.from({ length: hostCount }, (_item, i): Host => ({
    id: `h${i}`,
    queue: [],
    own: 0,
    slots: initGroupSlots('g', ranks, params),
    grants: NO_GRANTS,
    arrivals: [],
  }));
  const limit = RANKS * COSTS.slots;
  const callers = new Map<number, Caller>();
  const outcomes = new Map<Caller, 'onTime' | 'late' | 'none'>();
  const events = new Map<number, (() => void)[]>();
  let now = 0;
  let running = 0;
  let nextId = 0;
  let demands: GroupDemands = new Map();
  const at = (ms: number, action: () => void): void => {
    const tick = Math.max(Math.floor(now / TICK_MS) + 1, Math.ceil(ms / TICK_MS));
    events.set(tick, [...(events.get(tick) ?? []), action]);
  };
  const isLinked = (host: number): boolean => run.isConnected?.(host, now - WARM_UP_MS) ?? true;
  const seen = (caller: Caller): { priority: number; customer: string } =>
    mode === 'byHost' ? { priority: 0, customer: '' } : caller;

  const forecastOf = (host: Host): QueueForecast => {
    const phase = mode === 'own' ? 'shared' : grantPhase(host.grants, now);
    const ownMap = new Map([['e0', host.own]]);
    const free = {
      shared: freeSlotsAt(host.slots, ownMap),
      replacing: replacementSlots(host.grants, host.own, limit / hostCount),
      granted: 0,
    }[phase];
    const slots = Math.max(host.slots.allowance, host.own);
    return {
      free,
      ratePerMs: slots / generationTime(COSTS, COSTS.usualAnswer, PASS_MS),
      isRecovering: false,
      isLongDown: false,
      firstMs: FIRST_MS,
      writeMs: (tokens) => generationTime(COSTS, tokens, PASS_MS),
      grants: mode === 'own' ? null : new Map(phase === 'granted' ? [['g', host.grants]] : []),
    };
  };
  const start = (host: Host, id: number): void => {
    const caller = callers.get(id);
    callers.delete(id);
    if (caller === undefined) {
      return;
    }
    const firstAt = now + FIRST_MS * Math.max(1, running / limit);
    running += 1;
    Object.assign(host, { own: host.own + 1 });
    outcomes.set(
      caller,
      firstAt - caller.startedAt <= (CLASSES[caller.priority]?.objectiveMs ?? 0)
        ? 'onTime'
        : 'late',
    );
    at(now + caller.answerMs, () => {
      running -= 1;
      Object.assign(host, { own: host.own - 1 });
      apply(host, admitWaiting(host.queue, forecastOf(host), now, random()));
    });
  };
  const apply = (host: Host, step: QueueStep): void => {
    const grants = step.grants.get('g') ?? host.grants;
    Object.assign(host, { queue: step.queue, grants });
    step.admitted.forEach((id) => start(host, id));
    step.refused.forEach(({ id, retryAfterMs }) => {
      const caller = callers.get(id);
      callers.delete(id);
      const leftMs = caller === undefined ? 0 : caller.startedAt + DEADLINE_MS - now;
      if (caller !== undefined && !outcomes.has(caller)) {
        outcomes.set(caller, 'none');
        at(now + Math.min(retryAfterMs, leftMs / 3), () => arrive(caller, true));
      }
    });
  };
  const arrive = (caller: Caller, isCallerRetry: boolean): void => {
    const host = hosts[Math.floor(random() * hostCount)];
    if (host === undefined) {
      return;
    }
    nextId += 1;
    callers.set(nextId, caller);
    const { priority, customer } = seen(caller);
    const objectiveMs = CLASSES[caller.priority]?.objectiveMs ?? 0;
    const startedAt = isCallerRetry ? now : caller.startedAt;
    const request: WaitingRequest = {
      id: nextId,
      priority,
      customer,
      arrivedAt: now,
      objectiveAt: caller.startedAt + objectiveMs,
      deadline: caller.startedAt + DEADLINE_MS,
      firstEventDeadline: startedAt + PATIENCE_MS,
      tokens: COSTS.usualAnswer,
      likelyTokens: COSTS.usualAnswer,
      isCallerRetry,
    };
    host.arrivals = recordArrival(host.arrivals, { priority, customer, at: now });
    apply(host, enqueue(host.queue, request, forecastOf(host), now, random()));
  };
  const publish = (): void => {
    const usage = { limit, running, passMs: PASS_MS, intervalMs: INTERVAL_MS };
    const decided =
      mode === 'own'
        ? null
        : decideGrants(
            sumDemands(demands, INTERVAL_MS, now).demands,
            startableRequests(usage, COSTS),
            INTERVAL_MS,
          );
    const active = ranks.map(() => running / RANKS);
    const load: GroupLoad = {
      group: 'g',
      open: true,
      active,
      queued: ranks.map(() => 0),
      passMs: PASS_MS,
      skew: 1,
    };
    at(now + LINK_MS + (run.loadDelayMs ?? 0), () =>
      hosts.forEach((host, i) => (isLinked(i) ? onLoad(host, load, decided) : undefined)),
    );
  };
  const onLoad = (host: Host, load: GroupLoad, decided: SlotGrants | null): void => {
    const ownMap = new Map([['e0', host.own]]);
    const slots = applyGroupLoad(host.slots, load, ownMap, params, now, random());
    const grants = applyGrants(host.grants, decided, host.own, now, random());
    Object.assign(host, { slots, grants });
    apply(host, admitWaiting(host.queue, forecastOf(host), now, random()));
  };
  const report = (host: Host, i: number): void => {
    if (mode === 'own' || !isReportDue(host.grants, host.queue.length, now)) {
      return;
    }
    const rows = demandRows(host.queue, host.arrivals, 1, now);
    Object.assign(host, { grants: recordReport(host.grants, rows, now) });
    const message: GroupDemand = { group: 'g', host: host.id, rows };
    const copies = isLinked(i) ? (run.copies?.(random()) ?? 1) : 0;
    Array.from({ length: copies }, () =>
      at(now + LINK_MS + random() * HUB_MS, () => {
        demands = recordDemands(demands, [message], now);
      }),
    );
  };
  const newCaller = (priority: number): Caller => {
    const { answerMs } = CLASSES[priority] ?? CLASSES[0];
    return {
      priority,
      // A few customers are large: a third of the callers belong to three of them.
      customer: `c${random() < 0.33 ? Math.floor(random() * 3) : Math.floor(random() * CUSTOMERS)}`,
      startedAt: now,
      answerMs: answerMs * (0.5 + random()),
      counts: now >= WARM_UP_MS,
    };
  };

  const uses: number[] = [];
  const endsAt = WARM_UP_MS + surgeMs;
  for (; now < endsAt + DEADLINE_MS; now += TICK_MS) {
    const isSurge = now >= WARM_UP_MS;
    const tick = Math.round(now / TICK_MS);
    (events.get(tick) ?? []).forEach((action) => action());
    events.delete(tick);
    CLASSES.forEach(({ rate }, priority) => {
      const expected = (rate * (isSurge ? (surge[priority] ?? 1) : 1) * TICK_MS) / 1_000;
      if (now < endsAt) {
        for (let left = expected; left > 0; left -= 1) {
          if (random() < left) {
            arrive(newCaller(priority), false);
          }
        }
      }
    });
    const isDecided = run.isDecided?.(now - WARM_UP_MS) ?? true;
    demands = isDecided ? demands : new Map();
    if (now % INTERVAL_MS === 0 && isDecided) {
      publish();
    }
    hosts.forEach((host, i) => {
      Object.assign(host, { slots: dropStaleLoad(host.slots, params, now) });
      report(host, i);
      if (host.queue.length > 0 && tick % 2 === 0) {
        apply(host, admitWaiting(host.queue, forecastOf(host), now, random()));
      }
    });
    if (isSurge && now < endsAt) {
      uses.push(running / limit);
    }
  }
  return summarize(outcomes, uses);
}

function summarize(
  outcomes: ReadonlyMap<Caller, 'onTime' | 'late' | 'none'>,
  uses: readonly number[],
): OverloadResult {
  const counted = [...outcomes].filter(([{ counts }]) => counts);
  const share = (all: typeof counted, ok: readonly string[]): number =>
    all.filter(([, outcome]) => ok.includes(outcome)).length / Math.max(1, all.length);
  const answered = ['onTime', 'late'];
  const byClass = CLASSES.map((_class, p) => counted.filter(([caller]) => caller.priority === p));
  const customers = [...new Set(counted.map(([{ customer }]) => customer))];
  const leastServed = Math.min(
    ...customers.map((name) =>
      share(
        counted.filter(([{ customer }]) => customer === name),
        answered,
      ),
    ),
  );
  const worthOf = ({ priority }: Caller, outcome: string): number => {
    const { worth, late } = CLASSES[priority] ?? CLASSES[0];
    return { onTime: worth, late: worth * late }[outcome] ?? 0;
  };
  return {
    onTime: byClass.map((all) => share(all, ['onTime'])),
    served: byClass.map((all) => share(all, answered)),
    leastCustomer: leastServed / share(counted, answered),
    used: uses.reduce((total, use) => total + use, 0) / uses.length,
    mostUsed: Math.max(...uses),
    worth: counted.reduce((total, [caller, outcome]) => total + worthOf(caller, outcome), 0),
  };
}
