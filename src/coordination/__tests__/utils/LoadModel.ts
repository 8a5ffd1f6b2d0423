/**
 * A group under more demand than it has slots, its coordinators, and the entry hosts that start requests. Loads and
 * reports travel with delays; time advances in steps of {@link STEP_MS}.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { IDLE_REPORT } from '../../../__tests__/utils/RankFixtures.js';
import type { EngineCosts, GroupLoad } from '../../../protocol/index.js';
import {
  applyGroupLoad,
  describeLoad,
  freeSlotsAt,
  gainLease,
  initGroupSlots,
  initLoadKnowledge,
  isLoadComplete,
  noteReport,
  noteSkew,
  passTime,
  refreshGroupSlots,
  skewCorrection,
  type GroupSlots,
  type LoadKnowledge,
  type SlotParameters,
} from '../../index.js';

const STEP_MS = 10;
const POLL_MS = 250;

/** Passes are reported in parts: with whole ones, the observed pass time would err by half where they take 150 ms. */
const PASS_PARTS = 100;

/** As in `DirectLoadPublisher`. */
const MIN_LOAD_INTERVAL_MS = 150;

const RANKS = 72;

/** Passes take 150 ms with 5.5 writers on each rank under a skew of 3.3. */
const COSTS: EngineCosts = {
  slots: 7,
  stepsPerPass: 5,
  stepMs: 4,
  writerMs: 1.6,
  contextMsPerK: 0,
  readTokensPerMs: 60,
  expertShare: 0.85,
  sets: 3,
  experts: 96,
  slotsPerRank: 8,
  mostNew: 4,
  copyMs: 140,
  usualPrompt: 800,
  usualAnswer: 140,
};

/** A coordinator, from when it gains the lease. */
interface Coordinator {
  readonly from: number;
  /** When it dies, ms. */
  until: number;
  knowledge: LoadKnowledge;
  wasComplete: boolean;
  publishedAt: number;
  /** Time after which its first reports arrive, at the latest; in ms. */
  readonly firstReportsMs: number;
}

/** Conditions of a run. */
export interface LoadScenario {
  readonly hosts: number;
  readonly seed: number;
  /** Skew of the map in use at a time. */
  readonly skewAt: (now: number) => number;
  /** Lives of coordinators, in order: from, until. */
  readonly lives: readonly (readonly [number, number])[];
  /** Additional delay of the loads sent at a time, ms. */
  readonly loadDelayMs?: (now: number) => number;
  /** How often each load arrives. */
  readonly copies?: number;
  /** Whether the reports of a rank never arrive. */
  readonly isMissing?: (rank: number) => boolean;
  /** When the last of the hosts joins, ms. */
  readonly joinsAt?: number;
}

interface Host {
  readonly own: Map<string, number>;
  slots: GroupSlots;
}

interface RunningRequest {
  readonly host: Host;
  readonly rank: number;
  passesLeft: number;
}

/** State at the end of a step. */
export interface LoadSample {
  readonly at: number;
  readonly used: number;
  /** Requests that the group can run on time under the actual skew. */
  readonly trueLimit: number;
}

function range(count: number): readonly number[] {
  return Array.from({ length: count }, (_item, i) => i);
}

/** The model. */
export class LoadModel {
  readonly #scenario: LoadScenario;

  readonly #random: () => number;

  readonly #params: SlotParameters;

  readonly #hosts: readonly Host[];

  readonly #coordinators: readonly Coordinator[];

  readonly #ranks = range(RANKS).map((rank) => ({ endpoint: `e${rank}`, rank, zone: 'z' }));

  #requests: readonly RunningRequest[] = [];

  /** Actions at later times. */
  #later: readonly { readonly at: number; readonly run: (now: number) => void }[] = [];

  #passes = 0;

  constructor(scenario: LoadScenario) {
    this.#scenario = scenario;
    const rng = xoroshiro128plus(scenario.seed);
    this.#random = () => uniformFloat64(rng);
    this.#params = { costs: COSTS, pauseMs: 120, entryHosts: scenario.hosts };
    this.#hosts = range(scenario.hosts).map(() => ({
      own: new Map<string, number>(),
      slots: initGroupSlots('g', this.#ranks, this.#params, this.#random()),
    }));
    this.#coordinators = scenario.lives.map(([from, until], i) => ({
      from,
      until,
      knowledge: gainLease(initLoadKnowledge('g', RANKS), i + 1, null),
      wasComplete: false,
      publishedAt: -Infinity,
      firstReportsMs: i === 0 ? 50 : 50 + 550 * this.#random(),
    }));
  }

  /** Runs until a time; the samples of all steps. */
  run(untilMs: number): readonly LoadSample[] {
    return range(untilMs / STEP_MS).map((step) => this.#step(step * STEP_MS));
  }

  #step(now: number): LoadSample {
    this.#work(now);
    this.#coordinators.forEach((coordinator) => this.#poll(coordinator, now));
    const due = this.#later.filter(({ at }) => at <= now);
    this.#later = this.#later.filter(({ at }) => at > now);
    due.forEach(({ run }) => run(now));
    const { hosts, joinsAt = 0 } = this.#scenario;
    this.#hosts.forEach((host, i) => {
      if (i < hosts - 1 || now >= joinsAt) {
        this.#start(host, now);
      }
    });
    return { at: now, used: this.#requests.length, trueLimit: this.#trueLimit(now) };
  }

  #correction(now: number): number {
    return Math.max(1.3, skewCorrection(COSTS, this.#scenario.skewAt(now)));
  }

  #trueLimit(now: number): number {
    const { costs, pauseMs } = this.#params;
    const allowed = (pauseMs * 0.9) / (this.#correction(now) * costs.stepsPerPass) - costs.stepMs;
    return RANKS * Math.min(costs.slots, Math.max(2, allowed / costs.writerMs));
  }

  /** Advances the requests: each rank runs as many as it has slots, and the others wait there. */
  #work(now: number): void {
    const active = this.#activePerRank();
    const writers = active.reduce((sum, n) => sum + n, 0) / RANKS;
    const passes = STEP_MS / (passTime(COSTS, writers) * this.#correction(now));
    this.#passes += passes;
    const advanced = range(RANKS).map(() => 0);
    this.#requests = this.#requests.filter((request) => {
      const { host, rank } = request;
      advanced[rank] = (advanced[rank] ?? 0) + 1;
      request.passesLeft -= (advanced[rank] ?? 0) <= COSTS.slots ? passes : 0;
      if (request.passesLeft <= 0) {
        host.own.set(`e${rank}`, (host.own.get(`e${rank}`) ?? 1) - 1);
      }
      return request.passesLeft > 0;
    });
  }

  #perRank(): readonly number[] {
    const counts = range(RANKS).map(() => 0);
    this.#requests.forEach(({ rank }) => {
      counts[rank] = (counts[rank] ?? 0) + 1;
    });
    return counts;
  }

  #activePerRank(): readonly number[] {
    return this.#perRank().map((n) => Math.min(n, COSTS.slots));
  }

  #poll(coordinator: Coordinator, now: number): void {
    const age = now - coordinator.from;
    if (age < 0 || now >= coordinator.until || age % POLL_MS !== 0) {
      return;
    }
    const { isMissing = () => false } = this.#scenario;
    const delayMs = age === 0 ? coordinator.firstReportsMs : 50;
    range(RANKS).forEach((rank) => {
      if (!isMissing(rank)) {
        this.#schedule(now + delayMs * this.#random(), (at) => this.#report(coordinator, rank, at));
      }
    });
    this.#schedule(now + 80, (at) => {
      if (!coordinator.wasComplete || at - coordinator.publishedAt >= MIN_LOAD_INTERVAL_MS) {
        this.#publish(coordinator, at);
      }
    });
  }

  #schedule(at: number, run: (now: number) => void): void {
    this.#later = [...this.#later, { at, run }];
  }

  #report(coordinator: Coordinator, rank: number, now: number): void {
    const counts = this.#perRank()[rank] ?? 0;
    const report = {
      ...IDLE_REPORT,
      rank,
      step: Math.floor(this.#passes * PASS_PARTS),
      active: Math.min(counts, COSTS.slots),
      queued: Math.max(0, counts - COSTS.slots),
    };
    const isFirst = coordinator.knowledge.newest === null;
    coordinator.knowledge = noteReport(coordinator.knowledge, rank, report, rank === 0, now);
    if (isFirst || isLoadComplete(coordinator.knowledge, now) !== coordinator.wasComplete) {
      this.#publish(coordinator, now);
    }
  }

  /** Publishes the load; the skew is known from the second round of counts on. */
  #publish(coordinator: Coordinator, now: number): void {
    const { copies = 1, loadDelayMs = () => 0, skewAt } = this.#scenario;
    if (now - coordinator.from > 2 * POLL_MS) {
      coordinator.knowledge = noteSkew(coordinator.knowledge, skewAt(now));
    }
    coordinator.wasComplete = isLoadComplete(coordinator.knowledge, now);
    coordinator.publishedAt = now;
    const described = describeLoad(coordinator.knowledge, now);
    if (described === null || now >= coordinator.until) {
      return;
    }
    const passMs = described.passMs === null ? null : described.passMs * PASS_PARTS;
    const load = { ...described, passMs };
    this.#hosts.forEach((host) =>
      range(copies).forEach((copy) => {
        const delayMs = loadDelayMs(now) + 60 * this.#random() + copy * 100;
        this.#schedule(now + delayMs, (at) => this.#deliver(host, load, at));
      }),
    );
  }

  #deliver(host: Host, load: GroupLoad, now: number): void {
    const { joinsAt = 0 } = this.#scenario;
    if (host !== this.#hosts.at(-1) || now >= joinsAt) {
      host.slots = applyGroupLoad(host.slots, load, host.own, this.#params, now, this.#random());
    }
  }

  /** Starts as many requests as the host may. */
  #start(host: Host, now: number): void {
    host.slots = refreshGroupSlots(host.slots, host.own, this.#params, now);
    const started = range(freeSlotsAt(host.slots, host.own)).map(() => {
      const rank = Math.floor(this.#random() * RANKS);
      host.own.set(`e${rank}`, (host.own.get(`e${rank}`) ?? 0) + 1);
      const tokens = COSTS.usualAnswer * (0.2 + 1.6 * this.#random());
      return { host, rank, passesLeft: tokens / COSTS.stepsPerPass };
    });
    this.#requests = [...this.#requests, ...started];
  }
}
