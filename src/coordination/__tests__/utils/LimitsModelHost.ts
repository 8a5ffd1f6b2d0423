/** One entry host of the simulation: what it knows of the endpoint's limit, and its send rate. */
import { NO_LIMITS, type LimitsState } from '../../EndpointLimits.js';
import {
  updateInterval,
  sendIntervalOf,
  sendWaitMs,
  reserveSendSlot,
  updateHosts,
  type RecentHosts,
  type SendRate,
} from '../../LimitShare.js';

/** Incarnation of the endpoint. */
export const INCARNATION_KEY = 'i-1@1';

/** Strategies to share a limit. */
export type ShareStrategy =
  /** A few senders, each with an even part. */
  | 'senders'
  /** All hosts are senders, each with an even part. */
  | 'even'
  /** Each host uses the whole limit by itself. */
  | 'alone';

export class LimitsModelHost {
  /** When an answer to this host first advertised the limit, ms; Infinity before. */
  notifiedAt = Infinity;

  #state: LimitsState = NO_LIMITS;

  #sendRate: SendRate | undefined = undefined;

  #hosts: RecentHosts = new Map();

  readonly #id: string;

  readonly #strategy: ShareStrategy;

  constructor(id: string, strategy: ShareStrategy) {
    this.#id = id;
    this.#strategy = strategy;
  }

  get state(): LimitsState {
    return this.#state;
  }

  setState(state: LimitsState, now: number): void {
    this.#state = state;
    this.#adjust(now);
  }

  setHosts(ids: readonly string[], now: number): void {
    this.#hosts = updateHosts(this.#hosts, [...ids, this.#id], now);
    this.#adjust(now);
  }

  #adjust(now: number): void {
    const perSecond = this.#state.get(INCARNATION_KEY)?.perSecond ?? null;
    this.#sendRate =
      perSecond === null
        ? undefined
        : updateInterval(this.#sendRate, this.#interval(perSecond), now);
  }

  #interval(perSecond: number): number {
    const hosts = [...this.#hosts.keys()];
    const intervals: Readonly<Record<ShareStrategy, () => number>> = {
      senders: () => sendIntervalOf(this.#id, INCARNATION_KEY, perSecond, hosts),
      even: () => (hosts.length * 1_000) / perSecond,
      alone: () => 1_000 / perSecond,
    };
    return intervals[this.#strategy]();
  }

  /** Sends a request if the rate allows it; returns whether it did. */
  sendIfAllowed(now: number): boolean {
    if (this.#sendRate === undefined) {
      return true;
    }
    const isAllowed = sendWaitMs(this.#sendRate, now) === 0;
    this.#sendRate = isAllowed ? reserveSendSlot(this.#sendRate, now) : this.#sendRate;
    return isAllowed;
  }
}
