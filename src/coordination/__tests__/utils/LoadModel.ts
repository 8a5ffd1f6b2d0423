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

/** Longest delays of a report, of a successor's first reports, and of a load on its link, ms. */
const REPORT_MS = 50;
const FIRST_REPORTS_MS = 600;
const LINK_MS = 60;

/** Time after which a round ends, ms. */
const ROUND_MS = 80;

/** As in `DirectLoadPublisher`. */
const MIN_LOAD_INTERVAL_MS = 150;

const RANKS = 72;

/** Skew of the group's first map, which coordinators leave to their successors. */
const FIRST_SKEW = 3.3;

/** Passes take 150 ms with 5.5 writers on each rank under a skew of 3.3. */
export const COSTS: EngineCosts = {
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

/** A coordinator's process. */
interface Coordinator {
  readonly knowledge: LoadKnowledge;
  /** When its last load was published, ms, and whether it was complete. */
  readonly publishedAt: number;
  readonly wasComplete: boolean;
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

interface RunningRequest {
  readonly host: number;
  readonly rank: number;
  readonly passesLeft: number;
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

  /** Own requests of each host by endpoint, and its knowledge of the group. */
  readonly #own: readonly Map<string, number>[];

  readonly #slots: GroupSlots[];

  readonly #coordinators: Coordinator[];

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
    const hosts = range(scenario.hosts);
    this.#own = hosts.map(() => new Map<string, number>());
    this.#slots = hosts.map(() => initGroupSlots('g', this.#ranks, this.#params, this.#random()));
    this.#coordinators = scenario.lives.map((_life, i) => ({
      knowledge: gainLease(initLoadKnowledge('g', RANKS), i + 1, FIRST_SKEW),
      publishedAt: -Infinity,
      wasComplete: false,
    }));
  }

  /** Runs until a time; the samples of all steps. */
  run(untilMs: number): readonly LoadSample[] {
    return range(untilMs / STEP_MS).map((step) => this.#step(step * STEP_MS));
  }

  #step(now: number): LoadSample {
    this.#work(now);
    this.#scenario.lives.forEach((life, i) => this.#poll(i, life, now));
    const due = this.#later.filter(({ at }) => at <= now);
    this.#later = this.#later.filter(({ at }) => at > now);
    due.forEach(({ run }) => run(now));
    this.#slots.forEach((_slots, host) => {
      if (this.#hasJoined(host, now)) {
        this.#start(host, now);
      }
    });
    return { at: now, used: this.#requests.length, trueLimit: this.#trueLimit(now) };
  }

  #hasJoined(host: number, now: number): boolean {
    const { hosts, joinsAt = 0 } = this.#scenario;
    return host < hosts - 1 || now >= joinsAt;
  }

  #correction(now: number): number {
    return Math.max(1.3, skewCorrection(COSTS, this.#scenario.skewAt(now)));
  }

  #trueLimit(now: number): number {
    const { costs, pauseMs } = this.#params;
    const allowed = (pauseMs * 0.9) / (this.#correction(now) * costs.stepsPerPass) - costs.stepMs;
    return RANKS * Math.min(costs.slots, Math.max(2, allowed / costs.writerMs));
  }

  #add(host: number, rank: number, requests: number): void {
    const own = this.#own[host];
    own?.set(`e${rank}`, (own.get(`e${rank}`) ?? 0) + requests);
  }

  /** Advances the requests: each rank runs as many as it has slots, and the others wait there. */
  #work(now: number): void {
    const active = this.#perRank().map((n) => Math.min(n, COSTS.slots));
    const writers = active.reduce((sum, n) => sum + n, 0) / RANKS;
    const passes = STEP_MS / (passTime(COSTS, writers) * this.#correction(now));
    this.#passes += passes;
    const advanced = range(RANKS).map(() => 0);
    const worked = this.#requests.map((request) => {
      const before = advanced[request.rank] ?? 0;
      advanced[request.rank] = before + 1;
      const passesLeft = request.passesLeft - (before < COSTS.slots ? passes : 0);
      return { ...request, passesLeft };
    });
    this.#requests = worked.filter(({ passesLeft }) => passesLeft > 0);
    worked
      .filter(({ passesLeft }) => passesLeft <= 0)
      .forEach(({ host, rank }) => this.#add(host, rank, -1));
  }

  #perRank(): readonly number[] {
    const counts = range(RANKS).map(() => 0);
    this.#requests.forEach(({ rank }) => {
      counts[rank] = (counts[rank] ?? 0) + 1;
    });
    return counts;
  }

  #schedule(at: number, run: (now: number) => void): void {
    this.#later = [...this.#later, { at, run }];
  }

  #poll(i: number, [from, until]: readonly [number, number], now: number): void {
    const age = now - from;
    if (age < 0 || now >= until || age % POLL_MS !== 0) {
      return;
    }
    const { isMissing = () => false } = this.#scenario;
    const delayMs = age === 0 && i > 0 ? FIRST_REPORTS_MS : REPORT_MS;
    range(RANKS).forEach((rank) => {
      if (!isMissing(rank)) {
        this.#schedule(now + delayMs * this.#random(), (at) => this.#report(i, rank, at));
      }
    });
    this.#schedule(now + ROUND_MS, (at) => {
      const { publishedAt = 0, wasComplete } = this.#coordinators[i] ?? {};
      if (wasComplete !== true || at - publishedAt >= MIN_LOAD_INTERVAL_MS) {
        this.#publish(i, at);
      }
    });
  }

  #report(i: number, rank: number, now: number): void {
    const coordinator = this.#coordinators[i];
    if (coordinator === undefined) {
      return;
    }
    const count = this.#perRank()[rank] ?? 0;
    const knowledge = noteReport(
      coordinator.knowledge,
      rank,
      {
        ...IDLE_REPORT,
        step: Math.floor(this.#passes * PASS_PARTS),
        active: Math.min(count, COSTS.slots),
        queued: Math.max(0, count - COSTS.slots),
      },
      rank === 0,
      now,
    );
    this.#coordinators[i] = { ...coordinator, knowledge };
    const isFirst = coordinator.knowledge.newest === null;
    if (isFirst || isLoadComplete(knowledge, now) !== coordinator.wasComplete) {
      this.#publish(i, now);
    }
  }

  /** Publishes the load; the skew is known from the second round of counts on. */
  #publish(i: number, now: number): void {
    const { copies = 1, lives, loadDelayMs = () => 0, skewAt } = this.#scenario;
    const known = this.#coordinators[i];
    const [from, until] = lives[i] ?? [0, 0];
    if (known === undefined || now >= until) {
      return;
    }
    const isSkewKnown = now - from > 2 * POLL_MS;
    const knowledge = isSkewKnown ? noteSkew(known.knowledge, skewAt(now)) : known.knowledge;
    const wasComplete = isLoadComplete(knowledge, now);
    this.#coordinators[i] = { knowledge, publishedAt: now, wasComplete };
    const load = describeLoad(knowledge, now);
    if (load === null) {
      return;
    }
    const passMs = load.passMs === null ? null : load.passMs * PASS_PARTS;
    this.#slots.forEach((_slots, host) =>
      range(copies).forEach((copy) => {
        const delayMs = loadDelayMs(now) + LINK_MS * this.#random() + copy * 100;
        this.#schedule(now + delayMs, (at) => this.#deliver(host, { ...load, passMs }, at));
      }),
    );
  }

  #deliver(host: number, load: GroupLoad, now: number): void {
    const own = this.#own[host];
    const slots = this.#slots[host];
    if (own !== undefined && slots !== undefined && this.#hasJoined(host, now)) {
      this.#slots[host] = applyGroupLoad(slots, load, own, this.#params, now, this.#random());
    }
  }

  /** Starts as many requests as the host may. */
  #start(host: number, now: number): void {
    const own = this.#own[host];
    const before = this.#slots[host];
    if (own === undefined || before === undefined) {
      return;
    }
    const slots = refreshGroupSlots(before, own, this.#params, now);
    this.#slots[host] = slots;
    const started = range(freeSlotsAt(slots, own)).map(() => {
      const rank = Math.floor(this.#random() * RANKS);
      this.#add(host, rank, 1);
      const tokens = COSTS.usualAnswer * (0.2 + 1.6 * this.#random());
      return { host, rank, passesLeft: tokens / COSTS.stepsPerPass };
    });
    this.#requests = [...this.#requests, ...started];
  }
}
