/** Entry hosts that share the limit of one endpoint, over a network that delays and partitions, by simulated time. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { LimitNews } from '../../../protocol/index.js';
import {
  clockOf,
  mergeLimits,
  takeNamedLimit,
  writeLimits,
  type LimitsStep,
} from '../../EndpointLimits.js';
import { LIFE, LimitsModelHost, type ShareWay } from './LimitsModelHost.js';

/** What is played. */
export interface LimitsShape {
  readonly way: ShareWay;
  readonly hosts: number;
  /** Limit that the endpoint names, a second. */
  readonly perSecond: number;
  /** Requests a second at all hosts that would go to the endpoint. */
  readonly demand: number;
  /** Part of the demand that comes to the first host. */
  readonly atFirst: number;
  readonly lengthMs: number;
  /** When hosts are parted in two halves, and when joined again, ms; equal for never. */
  readonly partition: readonly [number, number];
  /** When the last host joins, ms. */
  readonly joinsAt: number;
}

/** What came of it. */
export interface LimitsOutcome {
  /** Most arrivals in a window of 4 s, from 3 s after the limit was first named, from hosts that were told. */
  readonly most: number;
  /** Arrivals a second from then on. */
  readonly perSecond: number;
  /** Messages between hosts. */
  readonly messages: number;
}

const KNOWN_MS = 3_000;
const WINDOW_MS = 4_000;
const TOLD_MS = 500;
const ANSWER_MS = 40;
const MOST_DELAY_MS = 60;

interface Arrival {
  readonly host: number;
  readonly at: number;
}

class LimitsModel {
  readonly #shape: LimitsShape;

  readonly #rng: ReturnType<typeof xoroshiro128plus>;

  readonly #hosts: readonly LimitsModelHost[];

  readonly #ids: readonly string[];

  readonly #events: { at: number; run: () => void }[] = [];

  readonly #arrivals: Arrival[] = [];

  #firstNamedAt = Infinity;

  #messages = 0;

  #now = 0;

  constructor(shape: LimitsShape, seed: number) {
    this.#shape = shape;
    this.#rng = xoroshiro128plus(seed);
    this.#ids = Array.from({ length: shape.hosts }, (_item, i) => `entry-${i}`);
    this.#hosts = this.#ids.map((id) => new LimitsModelHost(id, shape.way));
  }

  play(): LimitsOutcome {
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

  #at(at: number, run: () => void): void {
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
    this.#at(joinsAt, () => this.#hosts.forEach((host) => host.setHosts(this.#ids, this.#now)));
    this.#at(joinsAt, () => this.#exchange());
    this.#at(partition[1], () => this.#exchange());
    this.#arrive();
  }

  /** All tell each other all that they hold, as at a new link. */
  #exchange(): void {
    this.#hosts.forEach((host, i) => {
      writeLimits(host.state, [...host.state.values()], this.#now).forEach((news) =>
        this.#publish(i, news),
      );
    });
  }

  #arrive(): void {
    const { demand, atFirst, hosts, joinsAt } = this.#shape;
    const waitMs = (-Math.log(1 - this.#random()) * 1_000) / demand;
    this.#at(this.#now + waitMs, () => {
      const drawn = this.#random() < atFirst ? 0 : Math.floor(this.#random() * hosts);
      const host = drawn === hosts - 1 && this.#now < joinsAt ? 0 : drawn;
      this.#send(host);
      this.#arrive();
    });
  }

  #send(i: number): void {
    const host = this.#hosts[i];
    if (host?.take(this.#now) !== true) {
      return;
    }
    const mark = { clock: clockOf(host.state, LIFE), at: this.#now };
    const arrivesAt = this.#now + this.#random() * 3;
    this.#at(arrivesAt, () => {
      this.#arrivals.push({ host: i, at: this.#now });
      this.#firstNamedAt = Math.min(this.#firstNamedAt, this.#now);
    });
    this.#at(arrivesAt + this.#random() * ANSWER_MS, () => {
      host.toldAt = Math.min(host.toldAt, this.#now);
      const { perSecond } = this.#shape;
      this.#take(i, takeNamedLimit(host.state, LIFE, mark, perSecond, this.#now));
    });
  }

  #take(i: number, { state, changed }: LimitsStep): void {
    const host = this.#hosts[i];
    if (host !== undefined) {
      host.setState(state, this.#now);
      if (changed.length > 0) {
        writeLimits(state, changed, this.#now).forEach((news) => this.#publish(i, news));
      }
    }
  }

  #publish(from: number, news: LimitNews): void {
    const [parts, joins] = this.#shape.partition;
    const isParted = this.#now >= parts && this.#now < joins;
    this.#hosts.forEach((host, to) => {
      if (to !== from && !(isParted && from % 2 !== to % 2)) {
        this.#messages += 1;
        this.#at(this.#now + 1 + this.#random() * MOST_DELAY_MS, () => {
          host.setState(mergeLimits(host.state, news, this.#now).state, this.#now);
        });
      }
    });
  }

  #outcome(): LimitsOutcome {
    const from = this.#firstNamedAt + KNOWN_MS;
    const known = this.#arrivals.filter(({ at }) => at >= from);
    const told = known.filter(
      ({ host, at }) => (this.#hosts[host]?.toldAt ?? Infinity) + TOLD_MS <= at,
    );
    const most = told.reduce((max, { at: begin }, i) => {
      const count = told.slice(i).filter(({ at }) => at < begin + WINDOW_MS).length;
      return Math.max(max, count);
    }, 0);
    const seconds = Math.max(1, (this.#shape.lengthMs - from) / 1_000);
    return { most, perSecond: known.length / seconds, messages: this.#messages };
  }
}

/** Plays one shape. */
export function playLimits(shape: LimitsShape, seed: number): LimitsOutcome {
  return new LimitsModel(shape, seed).play();
}

/** Most that a window may have. */
export function allowedArrivals(perSecond: number): number {
  return perSecond * (WINDOW_MS / 1_000) * 1.5 + 5;
}
