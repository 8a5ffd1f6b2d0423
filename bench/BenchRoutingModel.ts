/**
 * A small model of entry hosts that route to the ranks of groups: requests arrive at random, load reports are
 * taken every quarter of a second and arrive late, and each host knows at once only what it has sent itself.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import {
  initGroupSlots,
  applyGroupLoad,
  type GroupSlots,
  type SlotParameters,
} from '../src/coordination/index.js';
import type { EngineCosts } from '../src/protocol/index.js';
import { range } from './BenchReport.js';

/** Chooses the endpoint of a rank for an entry host; null if it finds none. */
export type RoutingPolicy = (
  groups: readonly GroupSlots[],
  own: ReadonlyMap<string, number>,
  zone: string,
  random: () => number,
) => string | null;

/** A deployment and its load. */
export interface RoutingShape {
  readonly hosts: number;
  readonly groups: number;
  readonly ranks: number;
  readonly slots: number;
  /** Requests per second over all hosts. */
  readonly rate: number;
}

/** Result of a policy. */
export interface RoutingOutcome {
  /** Requests at the fullest rank over the mean of all ranks, averaged over time. */
  readonly maxOverMean: number;
  /** Share of the requests that were sent to a rank without a free slot. */
  readonly queued: number;
  /** Share of the requests that were sent to another AZ. */
  readonly remote: number;
}

const ZONES = 3;
const STEP_MS = 5;
const REPORT_INTERVAL_MS = 250;
const REPORT_LAG_MS = 150;
const WARMUP_MS = 5_000;
const DURATION_MS = 30_000;

/** Mean duration of a request: 23 events, 70 ms apart; durations vary from 0.3 to 1.7 times that. */
const RUN_MS = 1_600;

const COSTS: Omit<EngineCosts, 'slots'> = {
  stepsPerPass: 6,
  stepMs: 5.85,
  writerMs: 0.6,
  contextMsPerK: 0.05,
  readTokensPerMs: 61.2,
  expertShare: 0.85,
  sets: 16,
  experts: 96,
  slotsPerRank: 5,
  mostNew: 2,
  copyMs: 27,
  usualPrompt: 835,
  usualAnswer: 138,
};

interface Host {
  groups: readonly GroupSlots[];
  readonly zone: string;
  readonly weight: number;
  readonly own: Map<string, number>;
}

interface RunningRequest {
  readonly until: number;
  readonly host: Host;
  readonly endpoint: string;
}

interface Snapshot {
  readonly at: number;
  readonly active: ReadonlyMap<string, number>;
}

function endpointOf(group: number, rank: number): string {
  return `${group}/${rank}`;
}

function add(counts: Map<string, number>, key: string, by: number): void {
  counts.set(key, (counts.get(key) ?? 0) + by);
}

/** The model of one run. */
class RoutingModel {
  readonly #shape: RoutingShape;

  readonly #policy: RoutingPolicy;

  readonly #random: () => number;

  readonly #parameters: SlotParameters;

  readonly #hosts: readonly Host[];

  readonly #active = new Map<string, number>();

  #running: readonly RunningRequest[] = [];

  #snapshots: readonly Snapshot[] = [];

  #sent = 0;

  #queued = 0;

  #remote = 0;

  constructor(shape: RoutingShape, policy: RoutingPolicy, seed: number) {
    const rng = xoroshiro128plus(seed);
    this.#shape = shape;
    this.#policy = policy;
    this.#random = () => uniformFloat64(rng);
    const costs = { ...COSTS, slots: shape.slots };
    this.#parameters = { costs, pauseMs: 120, entryHosts: shape.hosts };
    const groups = range(shape.groups).map((group) =>
      initGroupSlots(
        `${group}`,
        range(shape.ranks).map((rank) => ({
          endpoint: endpointOf(group, rank),
          rank,
          zone: `z${rank % ZONES}`,
        })),
        this.#parameters,
        0.5,
      ),
    );
    // Callers are assigned to hosts by a hash, so that some hosts get up to three times the load of others.
    this.#hosts = range(shape.hosts).map((host) => ({
      groups,
      zone: `z${host % ZONES}`,
      weight: 0.5 + this.#random(),
      own: new Map<string, number>(),
    }));
  }

  run(): RoutingOutcome {
    const samples: number[] = [];
    for (let now = 0; now < DURATION_MS; now += STEP_MS) {
      this.#completeRequests(now);
      this.#report(now);
      this.#arrive(now);
      if (now > WARMUP_MS) {
        samples.push(this.#maxOverMean());
      }
    }
    return {
      maxOverMean: samples.reduce((sum, value) => sum + value, 0) / samples.length,
      queued: this.#queued / this.#sent,
      remote: this.#remote / this.#sent,
    };
  }

  #maxOverMean(): number {
    const { groups, ranks } = this.#shape;
    const all = [...this.#active.values()];
    const mean = all.reduce((sum, count) => sum + count, 0) / (groups * ranks);
    return mean === 0 ? 1 : Math.max(...all) / mean;
  }

  #completeRequests(now: number): void {
    this.#running = this.#running.filter(({ until, host, endpoint }) => {
      if (until > now) {
        return true;
      }
      add(this.#active, endpoint, -1);
      add(host.own, endpoint, -1);
      return false;
    });
  }

  #report(now: number): void {
    if (now % REPORT_INTERVAL_MS === 0) {
      this.#snapshots = [...this.#snapshots, { at: now, active: new Map(this.#active) }];
    }
    const [oldest] = this.#snapshots;
    if (oldest === undefined || oldest.at + REPORT_LAG_MS > now) {
      return;
    }
    this.#snapshots = this.#snapshots.slice(1);
    const { ranks, slots } = this.#shape;
    this.#hosts.forEach((host) => {
      // eslint-disable-next-line no-param-reassign
      host.groups = host.groups.map((state) => {
        const counts = range(ranks).map(
          (rank) => oldest.active.get(endpointOf(Number(state.group), rank)) ?? 0,
        );
        const load = {
          group: state.group,
          open: true,
          active: counts.map((count) => Math.min(count, slots)),
          queued: counts.map((count) => Math.max(0, count - slots)),
          passMs: 70,
          skew: 1.2,
        };
        return applyGroupLoad(state, load, host.own, this.#parameters, now, this.#random());
      });
    });
  }

  #arrive(now: number): void {
    let expected = (this.#shape.rate * STEP_MS) / 1_000;
    while (expected > 0 && this.#random() < expected) {
      expected -= 1;
      this.#send(now, this.#pickHost());
    }
  }

  #pickHost(): Host {
    const total = this.#hosts.reduce((sum, { weight }) => sum + weight, 0);
    let left = this.#random() * total;
    const found = this.#hosts.find(({ weight }) => {
      left -= weight;
      return left < 0;
    });
    return found ?? (this.#hosts[0] as Host);
  }

  #send(now: number, host: Host): void {
    const endpoint = this.#policy(host.groups, host.own, host.zone, this.#random);
    if (endpoint === null) {
      return;
    }
    add(this.#active, endpoint, 1);
    add(host.own, endpoint, 1);
    const until = now + RUN_MS * (0.3 + 1.4 * this.#random());
    this.#running = [...this.#running, { until, host, endpoint }];
    this.#sent += 1;
    this.#queued += (this.#active.get(endpoint) ?? 0) > this.#shape.slots ? 1 : 0;
    const rank = Number(endpoint.split('/')[1]);
    this.#remote += `z${rank % ZONES}` === host.zone ? 0 : 1;
  }
}

/** Simulates a policy on a deployment. */
export function simulateRouting(
  shape: RoutingShape,
  policy: RoutingPolicy,
  seed: number,
): RoutingOutcome {
  return new RoutingModel(shape, policy, seed).run();
}

/** Simulated deployments: the two sizes in use. */
export const ROUTING_SHAPES: Readonly<Record<string, RoutingShape>> = {
  '6 hosts, 12 ranks': { hosts: 6, groups: 1, ranks: 12, slots: 8, rate: 45 },
  '31 hosts, 72 ranks': { hosts: 31, groups: 3, ranks: 24, slots: 7, rate: 207 },
};
