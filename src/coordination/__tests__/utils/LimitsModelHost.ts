/** One entry host of the model: what it knows of the endpoint's limit, and its pace. */
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

/** Life of the endpoint. */
export const INCARNATION_KEY = 'i-1@1';

/** Ways to share a limit. */
export type ShareStrategy =
  /** A few senders, each with its even part. */
  | 'senders'
  /** All hosts are senders, each with its even part. */
  | 'even'
  /** Each host keeps the whole limit by itself. */
  | 'alone';

export class LimitsModelHost {
  /** When an answer first named the limit to it, ms. */
  notifiedAt = Infinity;

  #state: LimitsState = NO_LIMITS;

  #sendRate: SendRate | undefined = undefined;

  #hosts: RecentHosts = new Map();

  readonly #id: string;

  readonly #way: ShareStrategy;

  constructor(id: string, way: ShareStrategy) {
    this.#id = id;
    this.#way = way;
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
    const ways: Readonly<Record<ShareStrategy, () => number>> = {
      senders: () => sendIntervalOf(this.#id, INCARNATION_KEY, perSecond, hosts),
      even: () => (hosts.length * 1_000) / perSecond,
      alone: () => 1_000 / perSecond,
    };
    return ways[this.#way]();
  }

  /** Sends now if it may. */
  sendIfAllowed(now: number): boolean {
    if (this.#sendRate === undefined) {
      return true;
    }
    const isFree = sendWaitMs(this.#sendRate, now) === 0;
    this.#sendRate = isFree ? reserveSendSlot(this.#sendRate, now) : this.#sendRate;
    return isFree;
  }
}
