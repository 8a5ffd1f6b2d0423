/** Simulation of entry hosts that share a cold endpoint, with partitions, restarts, joins, leaves and delays. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  coldPartOf,
  coldPlaceOf,
  coldSendFrom,
  coldWaitMs,
  initColdHosts,
  initColdRate,
  isForgottenSender,
  mayStartCold,
  planColdSenders,
  reserveColdSlot,
  startCold,
  updateColdRate,
  type ColdRate,
  type ColdTolerance,
} from '../../ColdShare.js';
import { updateHosts, type RecentHosts } from '../../LimitShare.js';
import { hashText } from '../../RoutingHash.js';

/** A change of the hosts; the side is 0 or 1. */
export interface ColdModelEvent {
  readonly at: number;
  readonly kind: 'join' | 'leave' | 'restart' | 'cut' | 'heal';
  /** Number of the host; for `cut`, hosts below it are on side 0. */
  readonly host: number;
}

/** Scenario of a simulation. */
export interface ColdScenario {
  readonly hosts: number;
  readonly tolerance: ColdTolerance;
  readonly coldMs: number;
  readonly events: readonly ColdModelEvent[];
  /** Probability that a host with a free send slot has a request for it, each 5 ms. */
  readonly demand: number;
  /** Whether the hosts of side 0 lose all contact to control processes while cut off. */
  readonly isSideLost?: boolean;
  /** Interval between a send slot and the send, at most, ms. */
  readonly lagMs?: number;
}

const STEP_MS = 5;
const TICK_MS = 250;
const MAX_DELAY_MS = 20;
const MAX_NEWS_MS = 300;
const RESTART_MS = 400;
const LEASE_MS = 3_000;
const KEY = 'i-1@1';

interface Host {
  readonly id: string;
  hosts: RecentHosts;
  rate: ColdRate | null;
  isUp: boolean;
  startsAt: number;
  firstListAt: number;
  contactAt: number;
  /** When a request that has a send slot is sent; null for none. */
  sendsAt: number | null;
}

class ColdModel {
  readonly #scenario: ColdScenario;

  readonly #rng: ReturnType<typeof xoroshiro128plus>;

  readonly #hosts: Host[];

  /** Hosts that the control processes of each side know as members, and those that have left. */
  readonly #members: [Set<string>, Set<string>];

  readonly #former = new Set<string>();

  /** When hosts get news; one that is sent later may arrive with an earlier one. */
  #news: readonly { readonly at: number; readonly host: Host }[] = [];

  readonly #hashes = new Map<string, number>();

  readonly #arrivals: number[] = [];

  #cutBelow: number | null = null;

  #now = 0;

  constructor(scenario: ColdScenario, seed: number) {
    this.#scenario = scenario;
    this.#rng = xoroshiro128plus(seed);
    const ids = Array.from({ length: scenario.hosts }, (_item, i) => `entry-${i}`);
    this.#members = [new Set(ids), new Set(ids)];
    this.#hosts = ids.map((id) => this.#host(id, -60_000));
  }

  run(): readonly number[] {
    const events = [...this.#scenario.events].sort((a, b) => a.at - b.at);
    for (; this.#now < this.#scenario.coldMs; this.#now += STEP_MS) {
      while ((events[0]?.at ?? Infinity) <= this.#now) {
        this.#apply(events.shift() as ColdModelEvent);
      }
      const due = this.#news.filter(({ at }) => at <= this.#now);
      if (due.length > 0) {
        this.#news = this.#news.filter(({ at }) => at > this.#now);
        due.forEach(({ host }) => this.#learn(host));
      }
      this.#hosts.forEach((host, i) => this.#step(host, i));
    }
    return this.#arrivals.sort((a, b) => a - b);
  }

  #random(): number {
    return uniformFloat64(this.#rng);
  }

  #host(id: string, firstListAt: number): Host {
    const members = [...this.#members[0]];
    return {
      id,
      hosts: initColdHosts([...members, id], [], firstListAt),
      rate: null,
      isUp: true,
      // Hosts learn of the cold endpoint at different times.
      startsAt: firstListAt < 0 ? this.#random() * MAX_NEWS_MS : this.#now + RESTART_MS,
      firstListAt,
      contactAt: this.#now,
      sendsAt: null,
    };
  }

  #sideOf(index: number): 0 | 1 {
    return this.#cutBelow !== null && index >= this.#cutBelow ? 1 : 0;
  }

  /** Control processes of a host's side, or of both sides while there is no partition, record a change. */
  #record(index: number, change: (members: Set<string>) => void): void {
    const sides = this.#cutBelow === null ? ([0, 1] as const) : [this.#sideOf(index)];
    sides.forEach((side) => change(this.#members[side]));
    this.#hosts.forEach((host, i) => {
      if (this.#cutBelow === null || this.#sideOf(i) === this.#sideOf(index)) {
        this.#notify(host, this.#random() * MAX_NEWS_MS);
      }
    });
  }

  #notify(host: Host, afterMs: number): void {
    this.#news = [...this.#news, { at: this.#now + afterMs, host }];
  }

  #apply({ kind, host: index }: ColdModelEvent): void {
    const host = this.#hosts[index];
    const handlers: Readonly<Record<ColdModelEvent['kind'], () => void>> = {
      join: () => {
        const joined = this.#host(`new-${this.#hosts.length}`, this.#now + RESTART_MS);
        this.#hosts.push(joined);
        this.#start(joined, this.#hosts.length - 1);
        this.#record(this.#hosts.length - 1, (members) => members.add(joined.id));
      },
      leave: () => {
        if (host !== undefined) {
          host.isUp = false;
          this.#former.add(host.id);
          this.#record(index, (members) => members.delete(host.id));
        }
      },
      restart: () => {
        if (host?.isUp === true) {
          Object.assign(host, this.#host(host.id, this.#now + RESTART_MS));
          this.#start(host, index);
        }
      },
      cut: () => {
        this.#cutBelow = index;
        if (this.#scenario.isSideLost === true) {
          this.#hosts.slice(0, index).forEach(({ id }) => this.#members[1].delete(id));
          this.#hosts.slice(index).forEach((kept) => {
            this.#notify(kept, LEASE_MS);
          });
        }
      },
      heal: () => {
        this.#cutBelow = null;
        const up = this.#hosts.filter(({ isUp }) => isUp).map(({ id }) => id);
        this.#members[0] = new Set(up);
        this.#members[1] = new Set(up);
        this.#hosts.forEach((known) => {
          this.#notify(known, this.#random() * MAX_NEWS_MS);
        });
      },
    };
    handlers[kind]();
  }

  /** A process that has just started gets its first list from the control processes of its side. */
  #start(host: Host, index: number): void {
    const members = [...this.#members[this.#sideOf(index)], host.id];
    const former = [...this.#former].filter((id) => !members.includes(id));
    Object.assign(host, { hosts: initColdHosts(members, former, host.firstListAt) });
  }

  #isLost(index: number): boolean {
    return (
      this.#scenario.isSideLost === true && this.#cutBelow !== null && this.#sideOf(index) === 0
    );
  }

  #learn(host: Host): void {
    const index = this.#hosts.indexOf(host);
    if (host.isUp && !this.#isLost(index)) {
      const members = [...this.#members[this.#sideOf(index)], host.id];
      Object.assign(host, { hosts: updateHosts(host.hosts, members, this.#now) });
      this.#updateRate(host);
    }
  }

  #hashOf(id: string): number {
    const hash = this.#hashes.get(id) ?? hashText(id);
    this.#hashes.set(id, hash);
    return hash;
  }

  #updateRate(host: Host): void {
    const { tolerance, coldMs } = this.#scenario;
    const hashes = new Map([...host.hosts.keys()].map((id) => [id, this.#hashOf(id)]));
    const plan = planColdSenders(tolerance, hashes.size);
    const part = coldPartOf(plan, coldPlaceOf(host.id, KEY, hashes));
    const sendFrom = coldSendFrom(host.firstListAt);
    Object.assign(host, {
      rate:
        host.rate === null
          ? initColdRate(part, sendFrom, coldMs, this.#now)
          : updateColdRate(host.rate, part, sendFrom, coldMs, this.#now),
    });
  }

  #step(host: Host, index: number): void {
    const { demand, lagMs = 0 } = this.#scenario;
    if (!host.isUp || this.#now < host.startsAt) {
      return;
    }
    if (!this.#isLost(index)) {
      Object.assign(host, { contactAt: this.#now });
    }
    if (host.rate === null || (this.#now % TICK_MS === 0 && this.#forget(host))) {
      this.#updateRate(host);
    }
    if (isForgottenSender(host.contactAt, this.#now)) {
      Object.assign(host, { firstListAt: this.#now, rate: null });
    }
    const { rate } = host;
    if (rate === null) {
      return;
    }
    if (host.sendsAt === null && coldWaitMs(rate, this.#now) === 0 && this.#random() < demand) {
      Object.assign(host, {
        rate: reserveColdSlot(rate, this.#now),
        sendsAt: this.#now + Math.floor(this.#random() * lagMs),
      });
    }
    this.#send(host);
  }

  /** Drops hosts that left long ago; returns whether there were any. */
  #forget(host: Host): boolean {
    const count = host.hosts.size;
    if ([...host.hosts.values()].some((at) => at < Infinity)) {
      const members = [...host.hosts].filter(([, at]) => at === Infinity).map(([id]) => id);
      Object.assign(host, { hosts: updateHosts(host.hosts, members, this.#now) });
    }
    return host.hosts.size !== count;
  }

  #send(host: Host): void {
    const { rate, sendsAt } = host;
    if (rate !== null && sendsAt !== null && sendsAt <= this.#now) {
      Object.assign(host, { sendsAt: null });
      if (mayStartCold(rate, this.#now)) {
        Object.assign(host, { rate: startCold(rate, this.#now) });
        this.#arrivals.push(this.#now + this.#random() * MAX_DELAY_MS);
      }
    }
  }
}

/** Times at which requests arrive at the cold endpoint, sorted; ms. */
export function simulateCold(scenario: ColdScenario, seed: number): readonly number[] {
  return new ColdModel(scenario, seed).run();
}

/** Maximum number of arrivals in any window of one second; `times` are sorted. */
export function maxColdArrivals(times: readonly number[]): number {
  let first = 0;
  return times.reduce((most, at, i) => {
    while ((times[first] ?? at) <= at - 1_000) {
      first += 1;
    }
    return Math.max(most, i - first + 1);
  }, 0);
}
