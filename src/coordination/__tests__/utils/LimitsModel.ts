/** Entry hosts that share the limit of one endpoint, over a network that delays and partitions, by simulated time. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { LimitNews } from '../../../protocol/index.js';
import {
  clockOf,
  mergeLimits,
  applyAdvertisedLimit,
  toLimitUpdates,
  type LimitsStep,
} from '../../EndpointLimits.js';
import { INCARNATION_KEY, LimitsModelHost, type ShareStrategy } from './LimitsModelHost.js';

/** What is played. */
export interface LimitsScenario {
  readonly strategy: ShareStrategy;
  readonly hosts: number;
  /** Limit that the endpoint names, a second. */
  readonly perSecond: number;
  /** Requests a second at all hosts that would go to the endpoint. */
  readonly demand: number;
  /** Part of the demand that comes to the first host. */
  readonly firstHostShare: number;
  readonly lengthMs: number;
  /** When hosts are parted in two halves, and when joined again, ms; equal for never. */
  readonly partition: readonly [number, number];
  /** When the last host joins, ms. */
  readonly joinsAt: number;
}

/** What came of it. */
export interface LimitsOutcome {
  /** Most arrivals in a window of 4 s, from 3 s after the limit was first named, from hosts that were told. */
  readonly maxArrivals: number;
  /** Arrivals a second from then on. */
  readonly perSecond: number;
  /** Messages between hosts. */
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
  readonly #shape: LimitsScenario;

  readonly #rng: ReturnType<typeof xoroshiro128plus>;

  readonly #hosts: readonly LimitsModelHost[];

  readonly #ids: readonly string[];

  readonly #events: { at: number; run: () => void }[] = [];

  readonly #arrivals: Arrival[] = [];

  #firstNamedAt = Infinity;

  #messages = 0;

  #now = 0;

  constructor(shape: LimitsScenario, seed: number) {
    this.#shape = shape;
    this.#rng = xoroshiro128plus(seed);
    this.#ids = Array.from({ length: shape.hosts }, (_item, i) => `entry-${i}`);
    this.#hosts = this.#ids.map((id) => new LimitsModelHost(id, shape.strategy));
  }

  simulate(): LimitsOutcome {
    this.#start();
    for (let next = this.#events.shift(); next !== undefined; next = this.#events.shift()) {
      if (next.at > this.#shape.lengthMs) {
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
    const { joinsAt, partition, hosts } = this.#shape;
    const early = this.#ids.slice(0, hosts - 1);
    this.#hosts.forEach((host) => host.setHosts(early, 0));
    this.#schedule(joinsAt, () =>
      this.#hosts.forEach((host) => host.setHosts(this.#ids, this.#now)),
    );
    this.#schedule(joinsAt, () => this.#exchange());
    this.#schedule(partition[1], () => this.#exchange());
    this.#arrive();
  }

  /** All tell each other all that they hold, as at a new link. */
  #exchange(): void {
    this.#hosts.forEach((host, i) => {
      toLimitUpdates(host.state, [...host.state.values()], this.#now).forEach((news) =>
        this.#publish(i, news),
      );
    });
  }

  #arrive(): void {
    const { demand, firstHostShare, hosts, joinsAt } = this.#shape;
    const waitMs = (-Math.log(1 - this.#random()) * 1_000) / demand;
    this.#schedule(this.#now + waitMs, () => {
      const drawn = this.#random() < firstHostShare ? 0 : Math.floor(this.#random() * hosts);
      const host = drawn === hosts - 1 && this.#now < joinsAt ? 0 : drawn;
      this.#send(host);
      this.#arrive();
    });
  }

  #send(i: number): void {
    const host = this.#hosts[i];
    if (host?.sendIfAllowed(this.#now) !== true) {
      return;
    }
    const mark = { clock: clockOf(host.state, INCARNATION_KEY), at: this.#now };
    const arrivesAt = this.#now + this.#random() * 3;
    this.#schedule(arrivesAt, () => {
      this.#arrivals.push({ host: i, at: this.#now });
      this.#firstNamedAt = Math.min(this.#firstNamedAt, this.#now);
    });
    this.#schedule(arrivesAt + this.#random() * MAX_ANSWER_MS, () => {
      host.notifiedAt = Math.min(host.notifiedAt, this.#now);
      const { perSecond } = this.#shape;
      this.#applyStep(
        i,
        applyAdvertisedLimit(host.state, INCARNATION_KEY, mark, perSecond, this.#now),
      );
    });
  }

  #applyStep(i: number, { state, changed }: LimitsStep): void {
    const host = this.#hosts[i];
    if (host !== undefined) {
      host.setState(state, this.#now);
      if (changed.length > 0) {
        toLimitUpdates(state, changed, this.#now).forEach((news) => this.#publish(i, news));
      }
    }
  }

  #publish(from: number, news: LimitNews): void {
    const [parts, joins] = this.#shape.partition;
    const isParted = this.#now >= parts && this.#now < joins;
    this.#hosts.forEach((host, to) => {
      if (to !== from && !(isParted && from % 2 !== to % 2)) {
        this.#messages += 1;
        this.#schedule(this.#now + 1 + this.#random() * MAX_DELAY_MS, () => {
          host.setState(mergeLimits(host.state, news, this.#now).state, this.#now);
        });
      }
    });
  }

  #outcome(): LimitsOutcome {
    const from = this.#firstNamedAt + SETTLE_MS;
    const known = this.#arrivals.filter(({ at }) => at >= from);
    const told = known.filter(
      ({ host, at }) => (this.#hosts[host]?.notifiedAt ?? Infinity) + NOTIFY_MS <= at,
    );
    const most = told.reduce((max, { at: begin }, i) => {
      const count = told.slice(i).filter(({ at }) => at < begin + WINDOW_MS).length;
      return Math.max(max, count);
    }, 0);
    const seconds = Math.max(1, (this.#shape.lengthMs - from) / 1_000);
    return { maxArrivals: most, perSecond: known.length / seconds, messages: this.#messages };
  }
}

/** Plays one shape. */
export function simulateLimits(shape: LimitsScenario, seed: number): LimitsOutcome {
  return new LimitsModel(shape, seed).simulate();
}

/** Most that a window may have. */
export function allowedArrivals(perSecond: number): number {
  return perSecond * (WINDOW_MS / 1_000) * 1.5 + 5;
}
