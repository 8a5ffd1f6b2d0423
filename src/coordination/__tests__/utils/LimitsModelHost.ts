/** One entry host of the model: what it knows of the endpoint's limit, and its pace. */
import { NO_LIMITS, type LimitsState } from '../../EndpointLimits.js';
import {
  adjustPace,
  intervalOf,
  paceWait,
  takeTurn,
  updateHosts,
  type RecentHosts,
  type SendPace,
} from '../../LimitShare.js';

/** Life of the endpoint. */
export const LIFE = 'i-1@1';

/** Ways to share a limit. */
export type ShareWay =
  /** A few senders, each with its even part. */
  | 'senders'
  /** All hosts are senders, each with its even part. */
  | 'even'
  /** Each host keeps the whole limit by itself. */
  | 'alone';

export class LimitsModelHost {
  /** When an answer first named the limit to it, ms. */
  toldAt = Infinity;

  #state: LimitsState = NO_LIMITS;

  #pace: SendPace | undefined = undefined;

  #hosts: RecentHosts = new Map();

  readonly #id: string;

  readonly #way: ShareWay;

  constructor(id: string, way: ShareWay) {
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
    const perSecond = this.#state.get(LIFE)?.perSecond ?? null;
    this.#pace =
      perSecond === null ? undefined : adjustPace(this.#pace, this.#interval(perSecond), now);
  }

  #interval(perSecond: number): number {
    const hosts = [...this.#hosts.keys()];
    const ways: Readonly<Record<ShareWay, () => number>> = {
      senders: () => intervalOf(this.#id, LIFE, perSecond, hosts),
      even: () => (hosts.length * 1_000) / perSecond,
      alone: () => 1_000 / perSecond,
    };
    return ways[this.#way]();
  }

  /** Sends now if it may. */
  take(now: number): boolean {
    if (this.#pace === undefined) {
      return true;
    }
    const isFree = paceWait(this.#pace, now) === 0;
    this.#pace = isFree ? takeTurn(this.#pace, now) : this.#pace;
    return isFree;
  }
}
