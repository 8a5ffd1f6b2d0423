/** Simulation of entry hosts that share the limit of one endpoint, over a network with delays and a partition. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { LimitUpdate } from '../../../protocol/index.js';
import {
  clockOf,
  mergeLimits,
  applyAdvertisedLimit,
  toLimitUpdates,
  type LimitsStep,
} from '../../EndpointLimits.js';
import { INCARNATION_KEY, LimitsModelHost, type ShareStrategy } from './LimitsModelHost.js';

/** Scenario of a simulation. */
export interface LimitsScenario {
  readonly strategy: ShareStrategy;
  readonly hosts: number;
  /** Limit that the endpoint advertises, requests per second. */
  readonly perSecond: number;
  /** Requests per second at all hosts together that could go to the endpoint. */
  readonly demand: number;
  /** Part of the demand that arrives at the first host. */
  readonly firstHostShare: number;
  readonly lengthMs: number;
  /** Begin and end of a partition of the hosts into two halves, ms; equal for none. */
  readonly partition: readonly [number, number];
  /** When the last host joins, ms. */
  readonly joinsAt: number;
}

/** Result of a simulation. */
export interface LimitsOutcome {
  /**
   * Maximum number of requests that arrive at the endpoint in a window of 4 s, from 3 s after the limit was first
   * advertised, sent by hosts to which an answer had advertised it at least 0.5 s before the arrival.
   */
  readonly maxArrivals: number;
  /** Requests per second that arrive at the endpoint from then on. */
  readonly perSecond: number;
  /** Number of messages between hosts. */
  readonly messages: number;
}

const SETTLE_MS = 3_000;
const WINDOW_MS = 4_000;
const NOTIFY_MS = 500;
const MAX_ANSWER_MS = 40;
const MAX_DELAY_MS = 60;

interface Arrival {
  readonly host: number;
  readonly at: number;
}

class LimitsModel {
  readonly #scenario: LimitsScenario;

  readonly #rng: ReturnType<typeof xoroshiro128plus>;

  readonly #hosts: readonly LimitsModelHost[];

  readonly #ids: readonly string[];

  readonly #events: { at: number; run: () => void }[] = [];

  readonly #arrivals: Arrival[] = [];

  #firstAdvertisedAt = Infinity;

  #messages = 0;

  #now = 0;

  constructor(scenario: LimitsScenario, seed: number) {
    this.#scenario = scenario;
    this.#rng = xoroshiro128plus(seed);
    this.#ids = Array.from({ length: scenario.hosts }, (_item, i) => `entry-${i}`);
    this.#hosts = this.#ids.map((id) => new LimitsModelHost(id, scenario.strategy));
  }

  simulate(): LimitsOutcome {
    this.#start();
    for (let next = this.#events.shift(); next !== undefined; next = this.#events.shift()) {
      if (next.at > this.#scenario.lengthMs) {
        break;
      }
      this.#now = next.at;
      next.run();
    }
    return this.#outcome();
  }

  #random(): number {
    return uniformFloat64(this.#rng);
  }

  #schedule(at: number, run: () => void): void {
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#events[middle]?.at ?? Infinity) <= at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.#events.splice(low, 0, { at, run });
  }

  #start(): void {
    const { joinsAt, partition, hosts } = this.#scenario;
    const early = this.#ids.slice(0, hosts - 1);
    this.#hosts.forEach((host) => host.setHosts(early, 0));
    this.#schedule(joinsAt, () =>
      this.#hosts.forEach((host) => host.setHosts(this.#ids, this.#now)),
    );
    this.#schedule(joinsAt, () => this.#exchange());
    this.#schedule(partition[1], () => this.#exchange());
    this.#scheduleRequest();
  }

  /** All hosts send each other their whole sets, as over a new link. */
  #exchange(): void {
    this.#hosts.forEach((host, i) => {
      toLimitUpdates(host.state, [...host.state.values()], this.#now).forEach((update) =>
        this.#publish(i, update),
      );
    });
  }

  #scheduleRequest(): void {
    const { demand, firstHostShare, hosts, joinsAt } = this.#scenario;
    const waitMs = (-Math.log(1 - this.#random()) * 1_000) / demand;
    this.#schedule(this.#now + waitMs, () => {
      const drawn = this.#random() < firstHostShare ? 0 : Math.floor(this.#random() * hosts);
      const host = drawn === hosts - 1 && this.#now < joinsAt ? 0 : drawn;
      this.#send(host);
      this.#scheduleRequest();
    });
  }

  #send(i: number): void {
    const host = this.#hosts[i];
    if (host?.sendIfAllowed(this.#now) !== true) {
      return;
    }
    const sent = { clock: clockOf(host.state, INCARNATION_KEY), at: this.#now };
    const arrivesAt = this.#now + this.#random() * 3;
    this.#schedule(arrivesAt, () => {
      this.#arrivals.push({ host: i, at: this.#now });
      this.#firstAdvertisedAt = Math.min(this.#firstAdvertisedAt, this.#now);
    });
    this.#schedule(arrivesAt + this.#random() * MAX_ANSWER_MS, () => {
      host.notifiedAt = Math.min(host.notifiedAt, this.#now);
      const { perSecond } = this.#scenario;
      this.#applyStep(
        i,
        applyAdvertisedLimit(host.state, INCARNATION_KEY, sent, perSecond, this.#now),
      );
    });
  }

  #applyStep(i: number, { state, changed }: LimitsStep): void {
    const host = this.#hosts[i];
    if (host !== undefined) {
      host.setState(state, this.#now);
      if (changed.length > 0) {
        toLimitUpdates(state, changed, this.#now).forEach((update) => this.#publish(i, update));
      }
    }
  }

  #publish(from: number, update: LimitUpdate): void {
    const [begin, end] = this.#scenario.partition;
    const isPartitioned = this.#now >= begin && this.#now < end;
    this.#hosts.forEach((host, to) => {
      if (to !== from && !(isPartitioned && from % 2 !== to % 2)) {
        this.#messages += 1;
        this.#schedule(this.#now + 1 + this.#random() * MAX_DELAY_MS, () => {
          host.setState(mergeLimits(host.state, update, this.#now).state, this.#now);
        });
      }
    });
  }

  #outcome(): LimitsOutcome {
    const from = this.#firstAdvertisedAt + SETTLE_MS;
    const settled = this.#arrivals.filter(({ at }) => at >= from);
    const fromNotified = settled.filter(
      ({ host, at }) => (this.#hosts[host]?.notifiedAt ?? Infinity) + NOTIFY_MS <= at,
    );
    const maxArrivals = fromNotified.reduce((max, { at: begin }, i) => {
      const count = fromNotified.slice(i).filter(({ at }) => at < begin + WINDOW_MS).length;
      return Math.max(max, count);
    }, 0);
    const seconds = Math.max(1, (this.#scenario.lengthMs - from) / 1_000);
    return { maxArrivals, perSecond: settled.length / seconds, messages: this.#messages };
  }
}

/** Simulates one scenario. */
export function simulateLimits(scenario: LimitsScenario, seed: number): LimitsOutcome {
  return new LimitsModel(scenario, seed).simulate();
}

/** Maximum number of requests that may arrive in a window. */
export function allowedArrivals(perSecond: number): number {
  return perSecond * (WINDOW_MS / 1_000) * 1.5 + 5;
}
