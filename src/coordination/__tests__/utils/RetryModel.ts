/**
 * Simulation of entry hosts and control hosts that share the retry allowance of one service: restarts, partitions,
 * joins, replaced control hosts, suspensions, message delays, and clocks that run at different rates and are set.
 *
 * Endpoints are in three availability zones too. What is sent across a partition is held up until it heals, unless its
 * sender resets the connection before; the bytes of a process that is killed are still delivered. Across a partition
 * nothing can be sent but on connections from before it. Requests to a suspended entry host are read when it resumes.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  ARRIVAL_MS,
  countRequest,
  EMPTY_RETRY_BUDGET,
  EXTEND_AFTER_MS,
  grantRetries,
  mayStillSend,
  moveEarnedRetry,
  NO_RETRY_GRANTS,
  onFounded,
  onHostsProven,
  spendEarnedRetry,
  type RetryBudgetState,
  type RetryGrantsState,
  type RetryPermit,
} from '../../index.js';
import type { RetryAllowance } from '../../../protocol/index.js';
import { ModelClock } from './ModelClock.js';

/** A change in the modelled system. `node` numbers entry hosts, or control hosts where the kind says so. */
export interface RetryModelEvent {
  readonly at: number;
  readonly kind:
    | 'restartEntry'
    | 'restartAllEntries'
    | 'joinEntry'
    | 'restartControl'
    | 'restartAllControls'
    | 'replaceControl'
    | 'freezeEntry'
    | 'freezeControl'
    | 'setClock'
    | 'cut'
    | 'cutFor'
    | 'heal'
    | 'concentrate'
    | 'spread';
  readonly node: number;
  /** Duration of a freeze or of a limited partition, or amount by which a clock is set, ms. */
  readonly ms: number;
}

/** Scenario of a simulation. */
export interface RetryScenario {
  readonly entries: number;
  readonly controls: number;
  /** Requests per second over all entry hosts. */
  readonly perSecond: number;
  /** Share of the requests that ask for a retry. */
  readonly failing: number;
  readonly forMs: number;
  readonly events: readonly RetryModelEvent[];
}

/** The decisions under test; a mutant replaces some of them. */
export interface RetryPolicy {
  readonly spendEarned: typeof spendEarnedRetry;
  readonly grant: typeof grantRetries;
  readonly mayStillSend: typeof mayStillSend;
  readonly moveEarned: typeof moveEarnedRetry;
  /** Whether a retry that hasn't arrived when its allowance expires is aborted. */
  readonly abortsExpired: boolean;
  /** State of a control process that has restarted. */
  readonly restarted: RetryGrantsState;
  /** Control hosts that a control process counts: those that the log names, of which it reaches some. */
  readonly countedHosts: (
    named: readonly string[],
    reached: readonly string[],
  ) => readonly string[];
  /** Whether a control process can prove its list of hosts in the minority of a partition. */
  readonly provesInMinority: boolean;
}

/** The decisions as they are. */
export const RETRY_POLICY: RetryPolicy = {
  spendEarned: spendEarnedRetry,
  grant: grantRetries,
  mayStillSend,
  moveEarned: moveEarnedRetry,
  abortsExpired: true,
  restarted: NO_RETRY_GRANTS,
  countedHosts: (named) => named,
  provesInMinority: false,
};

/** When callers sent requests, and when retries arrived, ms of true time, sorted. */
export interface RetryRecord {
  readonly requests: readonly number[];
  readonly retries: readonly number[];
}

const STEP_MS = 10;
const RESTART_MS = 400;
const PROOF_INTERVAL_MS = 1_000;
const SERVICE = 'llm';
const ZONES = 3;

/** Idle connections are closed after this time, the longest that an endpoint may ask for. */
const KEEP_ALIVE_MS = 16_000;

/** Callers leave after this time without an answer. */
const PATIENCE_MS = 8_000;

interface Node {
  readonly name: string;
  readonly zone: number;
  readonly clock: ModelClock;
  /** Number of the process on this host; messages to an earlier one are lost. */
  life: number;
  startsAt: number;
  frozenUntil: number;
}

interface EntryNode extends Node {
  budget: RetryBudgetState;
  /** Requests that were sent while the host was suspended. */
  unread: number;
}

/** A retry that was sent and isn't known to have arrived. */
interface RetryOnTheWay {
  readonly entry: EntryNode;
  readonly life: number;
  readonly sentAt: number;
  permit: RetryPermit;
  /** Whether the extension of the permit has been asked for. */
  isExtending: boolean;
  /** Whether its sender has reset the connection, which discards what wasn't delivered. */
  isAborted: boolean;
}

interface ControlNode extends Node {
  grants: RetryGrantsState;
  provesAt: number;
  isMember: boolean;
  isRemoved: boolean;
}

interface Message {
  readonly at: number;
  readonly to: Node;
  readonly life: number;
  readonly from: Node;
  readonly run: () => void;
}

class RetryModel {
  readonly #scenario: RetryScenario;

  readonly #policy: RetryPolicy;

  readonly #allowance: RetryAllowance;

  readonly #rng: ReturnType<typeof xoroshiro128plus>;

  readonly #entries: EntryNode[] = [];

  readonly #controls: ControlNode[] = [];

  readonly #requests: number[] = [];

  readonly #retries: number[] = [];

  #messages: Message[] = [];

  /** One endpoint of each zone, always up. */
  readonly #endpoints: readonly Node[];

  #onTheWay: readonly RetryOnTheWay[] = [];

  /** Zones at or above this number are cut off from the others; null without a partition. */
  #cutFrom: number | null = null;

  /** When the last partition began, ms. */
  #cutAt = -Infinity;

  /** When the partition heals by itself, ms. */
  #healsAt = Infinity;

  /** Entry host that gets nearly all requests; null while they are spread evenly. */
  #hot: number | null = null;

  #now = 0;

  constructor(
    scenario: RetryScenario,
    allowance: RetryAllowance,
    policy: RetryPolicy,
    seed: number,
  ) {
    this.#scenario = scenario;
    this.#allowance = allowance;
    this.#policy = policy;
    this.#rng = xoroshiro128plus(seed);
    this.#endpoints = Array.from({ length: ZONES }, (_item, i) => this.#node(`endpoint-${i}`, i));
    for (let i = 0; i < scenario.entries; i += 1) {
      this.#addEntry();
    }
    for (let i = 0; i < scenario.controls; i += 1) {
      this.#addControl(onFounded(NO_RETRY_GRANTS), true);
    }
  }

  run(): RetryRecord {
    const events = [...this.#scenario.events].sort((a, b) => a.at - b.at);
    for (; this.#now < this.#scenario.forMs; this.#now += STEP_MS) {
      while ((events[0]?.at ?? Infinity) <= this.#now) {
        this.#apply(events.shift() as RetryModelEvent);
      }
      if (this.#now >= this.#healsAt) {
        this.#cutFrom = null;
        this.#healsAt = Infinity;
      }
      this.#deliver();
      this.#controls.forEach((control) => this.#prove(control));
      this.#extendOnTheWay();
      this.#abortOverdue();
      this.#entries.forEach((entry) => this.#readUnread(entry));
      this.#sendRequests();
      [...this.#entries, ...this.#controls].forEach(({ clock, frozenUntil }) => {
        clock.advance(frozenUntil > this.#now ? 0 : STEP_MS);
      });
    }
    return { requests: this.#requests, retries: this.#retries.sort((a, b) => a - b) };
  }

  #random(): number {
    return uniformFloat64(this.#rng);
  }

  #node(name: string, count: number): Node {
    return {
      name,
      zone: count % ZONES,
      clock: new ModelClock(() => this.#random()),
      life: 0,
      startsAt: this.#now,
      frozenUntil: 0,
    };
  }

  #addEntry(): void {
    const count = this.#entries.length;
    this.#entries.push({
      ...this.#node(`entry-${count}`, count),
      budget: EMPTY_RETRY_BUDGET,
      unread: 0,
    });
  }

  #addControl(grants: RetryGrantsState, isMember: boolean): void {
    const count = this.#controls.length;
    const node = this.#node(`control-${count}`, count);
    const provesAt = this.#now + this.#random() * PROOF_INTERVAL_MS;
    this.#controls.push({ ...node, grants, provesAt, isMember, isRemoved: false });
  }

  #isUp(node: Node): boolean {
    return this.#now >= node.startsAt && this.#now >= node.frozenUntil;
  }

  #reaches(a: Node, b: Node): boolean {
    const cut = this.#cutFrom;
    return cut === null || a.zone >= cut === b.zone >= cut;
  }

  #restart(node: Node): void {
    // eslint-disable-next-line no-param-reassign
    node.life += 1;
    // eslint-disable-next-line no-param-reassign
    node.startsAt = this.#now + RESTART_MS * (0.5 + this.#random());
    // eslint-disable-next-line no-param-reassign
    node.frozenUntil = 0;
  }

  #restartEntry(entry: EntryNode): void {
    this.#restart(entry);
    Object.assign(entry, { budget: EMPTY_RETRY_BUDGET, unread: 0 });
  }

  #restartControl(control: ControlNode): void {
    this.#restart(control);
    Object.assign(control, { grants: this.#policy.restarted });
  }

  #apply({ kind, node, ms }: RetryModelEvent): void {
    const entry = this.#entries[node % this.#entries.length] as EntryNode;
    const control = this.#controls[node % this.#controls.length] as ControlNode;
    const handlers: Readonly<Record<RetryModelEvent['kind'], () => void>> = {
      restartEntry: () => this.#restartEntry(entry),
      restartAllEntries: () => this.#entries.forEach((each) => this.#restartEntry(each)),
      joinEntry: () => this.#addEntry(),
      restartControl: () => this.#restartControl(control),
      restartAllControls: () => this.#controls.forEach((each) => this.#restartControl(each)),
      replaceControl: () => {
        control.isRemoved = true;
        this.#addControl(NO_RETRY_GRANTS, false);
      },
      freezeEntry: () => Object.assign(entry, { frozenUntil: this.#now + ms }),
      freezeControl: () => Object.assign(control, { frozenUntil: this.#now + ms }),
      setClock: () => [entry, control].forEach(({ clock }) => clock.set(ms)),
      cut: () => this.#cut(node, Infinity),
      cutFor: () => this.#cut(node, ms),
      heal: () => {
        this.#cutFrom = null;
      },
      concentrate: () => {
        this.#hot = node % this.#entries.length;
      },
      spread: () => {
        this.#hot = null;
      },
    };
    handlers[kind]();
  }

  #cut(node: number, forMs: number): void {
    this.#cutFrom = 1 + (node % 2);
    this.#cutAt = this.#now;
    this.#healsAt = this.#now + forMs;
  }

  #send(from: Node, to: Node, run: () => void): void {
    const delayMs = this.#random() < 0.05 ? this.#random() * 300 : 1 + this.#random() * 5;
    this.#sendAfter(delayMs, from, to, run);
  }

  #sendAfter(delayMs: number, from: Node, to: Node, run: () => void): void {
    this.#messages.push({ at: this.#now + delayMs, to, life: to.life, from, run });
  }

  /** Messages to a suspended or unreachable process are kept until it can be reached again. */
  #deliver(): void {
    const due = this.#messages.filter(({ at }) => at <= this.#now);
    if (due.length === 0) {
      return;
    }
    this.#messages = this.#messages.filter(({ at }) => at > this.#now);
    due.forEach((message) => {
      const { to, from, life, run } = message;
      if (life !== to.life) {
        return;
      }
      if (this.#isUp(to) && this.#reaches(from, to)) {
        run();
      } else {
        this.#messages.push({ ...message, at: this.#now + STEP_MS });
      }
    });
  }

  /** A control process reads the log if it reaches a majority of its members; the majority also admits and removes. */
  #prove(control: ControlNode): void {
    if (!this.#isUp(control) || control.provesAt > this.#now || control.isRemoved) {
      return;
    }
    Object.assign(control, { provesAt: this.#now + PROOF_INTERVAL_MS });
    const members = this.#controls.filter(({ isMember }) => isMember);
    const reached = this.#controls.filter(
      (peer) => this.#isUp(peer) && this.#reaches(control, peer),
    );
    const voters = reached.filter(({ isMember, isRemoved }) => isMember && !isRemoved);
    const hasQuorum = voters.length * 2 > members.length;
    if (!hasQuorum && !this.#policy.provesInMinority) {
      return;
    }
    if (hasQuorum) {
      reached.forEach((peer) => Object.assign(peer, { isMember: !peer.isRemoved }));
      const gone = members.find(({ isRemoved }) => isRemoved);
      if (gone !== undefined) {
        gone.isMember = false;
      }
    }
    const named = this.#controls.filter(({ isMember }) => isMember).map(({ name }) => name);
    const hosts = this.#policy.countedHosts(
      named,
      reached.map(({ name }) => name),
    );
    Object.assign(control, {
      grants: onHostsProven(
        control.grants,
        control.name,
        hosts,
        control.clock.read(this.#now),
        this.#allowance,
      ),
    });
  }

  #sendRequests(): void {
    const { perSecond, failing } = this.#scenario;
    const expected = (perSecond * STEP_MS) / 1_000;
    const count = Math.floor(expected) + Number(this.#random() < expected % 1);
    for (let i = 0; i < count; i += 1) {
      const isHot = this.#hot !== null && this.#random() < 0.9;
      const index = isHot ? this.#hot : Math.floor(this.#random() * this.#entries.length);
      const entry = this.#entries[index ?? 0] as EntryNode;
      this.#requests.push(this.#now);
      if (this.#isUp(entry)) {
        this.#readRequest(entry, failing);
      } else if (entry.frozenUntil > this.#now) {
        entry.unread += 1;
      }
    }
  }

  #readRequest(entry: EntryNode, failing: number): void {
    const clocks = entry.clock.read(this.#now);
    Object.assign(entry, { budget: countRequest(entry.budget, clocks, this.#allowance) });
    if (this.#random() < failing) {
      this.#wishRetry(entry);
    }
  }

  /** Reads what has come in while the host was suspended. */
  #readUnread(entry: EntryNode): void {
    if (this.#isUp(entry)) {
      const { unread } = entry;
      Object.assign(entry, { unread: 0 });
      for (let i = 0; i < unread; i += 1) {
        this.#readRequest(entry, this.#scenario.failing);
      }
    }
  }

  #wishRetry(entry: EntryNode): void {
    const clocks = entry.clock.read(this.#now);
    const step = this.#policy.spendEarned(entry.budget, clocks, this.#allowance);
    Object.assign(entry, { budget: step.state });
    if (step.allowed) {
      this.#startRetry(entry, { allowedAt: clocks, isEarned: true });
      return;
    }
    this.#askForGrant(entry, (permit) => this.#startRetry(entry, permit));
  }

  /** Asks a control process for a retry; `onGranted` is called if it grants one. */
  #askForGrant(entry: EntryNode, onGranted: (permit: RetryPermit) => void): void {
    const allowedAt = entry.clock.read(this.#now);
    const control = this.#hubOf(entry);
    if (control === undefined) {
      return;
    }
    this.#send(entry, control, () => {
      const count = this.#grant(control) || this.#grantOfPeer(control);
      this.#send(control, entry, () => {
        if (count > 0) {
          onGranted({ allowedAt, isEarned: false });
        }
      });
    });
  }

  /** The control process that an entry process is attached to: one of its zone, if it reaches one. */
  #hubOf(entry: EntryNode): ControlNode | undefined {
    const usable = this.#controls.filter(
      (control) => this.#now >= control.startsAt && this.#reaches(entry, control),
    );
    return usable.find(({ zone }) => zone === entry.zone) ?? usable[0];
  }

  #grant(control: ControlNode): number {
    const clocks = control.clock.read(this.#now);
    const { state, count } = this.#policy.grant(
      control.grants,
      SERVICE,
      1,
      clocks,
      this.#allowance,
    );
    Object.assign(control, { grants: state });
    return count;
  }

  #grantOfPeer(control: ControlNode): number {
    const peers = this.#controls.filter(
      (peer) => peer !== control && this.#isUp(peer) && this.#reaches(control, peer),
    );
    return peers.some((peer) => this.#grant(peer) > 0) ? 1 : 0;
  }

  /** Sends a retry after a wait for a connection, if it may still be sent then. */
  #startRetry(entry: EntryNode, permit: RetryPermit): void {
    const waitMs = this.#random() < 0.1 ? this.#random() * 600 : 0;
    const start = (): void => {
      if (this.#policy.mayStillSend(permit.allowedAt, entry.clock.read(this.#now))) {
        this.#sendRetry(entry, permit);
      }
    };
    const { life } = entry;
    this.#messages.push({ at: this.#now + waitMs, to: entry, from: entry, life, run: start });
  }

  /** Sends a retry to an endpoint, which answers after some time. */
  #sendRetry(entry: EntryNode, permit: RetryPermit): void {
    const hasConnections = this.#now - this.#cutAt < KEEP_ALIVE_MS;
    const usable = this.#endpoints.filter(
      (candidate) => hasConnections || this.#reaches(entry, candidate),
    );
    const endpoint = usable[Math.floor(this.#random() * usable.length)] as Node;
    const { life } = entry;
    const retry: RetryOnTheWay = {
      entry,
      life,
      sentAt: this.#now,
      permit,
      isExtending: false,
      isAborted: false,
    };
    this.#onTheWay = [...this.#onTheWay, retry];
    const settle = (): void => {
      this.#onTheWay = this.#onTheWay.filter((other) => other !== retry);
    };
    const arrive = (): void => {
      if (!retry.isAborted) {
        this.#retries.push(this.#now);
        const answerMs = this.#random() < 0.2 ? this.#random() * 3_000 : this.#random() * 300;
        this.#sendAfter(answerMs, endpoint, entry, settle);
      }
    };
    const deliveryMs = this.#random() < 0.1 ? this.#random() * 980 : this.#random() * 20;
    this.#sendAfter(deliveryMs, entry, endpoint, arrive);
  }

  /** Extends the permits of retries that haven't arrived. */
  #extendOnTheWay(): void {
    this.#onTheWay
      .filter(({ entry, life }) => entry.life === life && this.#isUp(entry))
      .filter(({ isExtending }) => !isExtending)
      .filter(({ entry, permit }) => this.#elapsedOf(entry, permit) >= EXTEND_AFTER_MS)
      .forEach((retry) => this.#extend(retry));
  }

  #elapsedOf(entry: EntryNode, { allowedAt }: RetryPermit): number {
    return entry.clock.read(this.#now).monotonic - allowedAt.monotonic;
  }

  #extend(retry: RetryOnTheWay): void {
    const { entry, permit } = retry;
    const allowedAt = entry.clock.read(this.#now);
    const moved = permit.isEarned
      ? this.#policy.moveEarned(entry.budget, permit.allowedAt, allowedAt, this.#allowance)
      : { state: entry.budget, allowed: false };
    const step = moved.allowed
      ? moved
      : this.#policy.spendEarned(moved.state, allowedAt, this.#allowance);
    Object.assign(entry, { budget: step.state });
    if (step.allowed) {
      Object.assign(retry, { permit: { allowedAt, isEarned: true } });
      return;
    }
    Object.assign(retry, { isExtending: true });
    this.#askForGrant(entry, (granted) => {
      Object.assign(retry, { permit: granted, isExtending: false });
    });
  }

  /** Aborts what has no answer in time, or no permit any more. */
  #abortOverdue(): void {
    this.#onTheWay = this.#onTheWay.filter(({ entry, life }) => entry.life === life);
    const overdue = this.#onTheWay.filter(({ entry, sentAt, permit }) => {
      const isExpired = this.#policy.abortsExpired && this.#elapsedOf(entry, permit) >= ARRIVAL_MS;
      return this.#isUp(entry) && (isExpired || this.#now - sentAt >= PATIENCE_MS);
    });
    overdue.forEach((retry) => Object.assign(retry, { isAborted: true }));
    this.#onTheWay = this.#onTheWay.filter(({ isAborted }) => !isAborted);
  }
}

/** Runs one simulation. */
export function runRetryModel(
  scenario: RetryScenario,
  allowance: RetryAllowance,
  policy: RetryPolicy,
  seed: number,
): RetryRecord {
  return new RetryModel(scenario, allowance, policy, seed).run();
}
