/** A coordinator's way to each rank of its group: over links, and directly to its own. */
import { TransportLinkClient, type Address } from '../../transport/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import {
  DirectRank,
  type EnginePort,
  type RankAsk,
  type RankOrderAsk,
  type RankOrderReply,
  type RankReply,
} from './DirectRank.js';

/** An answer later than this is as good as none: a pass takes some 50 ms. In ms. */
const ASK_MS = 400;

/** A process beside an engine that hasn't answered for this long is passed over, ms. */
const PASSED_OVER_MS = 500;

/** One whose link couldn't be made for this long refuses connections: it is gone, not slow. In ms. */
const GONE_MS = 120;

/** Opens the engine of a rank by the address of the process beside it. */
export type OpenEngine = (beside: Address) => EnginePort;

/** A rank's process, and its engine for when that doesn't answer. */
interface RankLink {
  readonly key: string;
  readonly client: TransportLinkClient;
  readonly engine: DirectRank;
}

/**
 * Links to the ranks of a group; they end with the signal.
 *
 * Failure: the process beside an engine is frozen or dead while the group is held. Symptom: the group
 * stands still until it is back, for nobody can tell whether its rank is armed. Enough: after half a
 * second, and sooner where there is no link to it, the engine itself is asked and ordered. What the passed over process may still hand on when it
 * wakes is an order that is carried out late, which a change of map bears anyway.
 */
export class DirectRankPeers {
  readonly #own: number;

  readonly #rank: DirectRank;

  readonly #signal: AbortSignal;

  readonly #runtime: Runtime;

  readonly #openEngine: OpenEngine;

  /** When each rank's process last answered. */
  readonly #answeredAt = new Map<number, number>();

  readonly #links = new Map<number, RankLink>();

  readonly #stops = new Map<number, AbortController>();

  constructor(
    own: number,
    rank: DirectRank,
    signal: AbortSignal,
    runtime: Runtime,
    openEngine: OpenEngine,
  ) {
    this.#own = own;
    this.#rank = rank;
    this.#signal = signal;
    this.#runtime = runtime;
    this.#openEngine = openEngine;
  }

  /** Follows the group's members: a link to each but the own rank. */
  follow(addresses: ReadonlyMap<number, Address>): void {
    addresses.forEach((address, rank) => {
      const key = `${address.host}:${address.port}`;
      if (rank !== this.#own && this.#links.get(rank)?.key !== key) {
        this.#connect(rank, key, address);
      }
    });
  }

  /** Begins to be asked again after a time without: silence until now tells nothing. */
  begin(): void {
    this.#answeredAt.forEach((_at, rank) => this.#answeredAt.set(rank, this.#runtime.now()));
  }

  async ask(rank: number, ask: RankAsk): Promise<RankReply> {
    if (rank === this.#own) {
      return this.#rank.ask(ask);
    }
    // Counts read from another host slow the group down: those of this rank are done without.
    const direct = this.#passedOver(rank);
    return direct === null
      ? ((await this.#request(rank, 'rank.ask', ask)) as RankReply)
      : direct.ask({ ...ask, withCounts: false });
  }

  async order(rank: number, ask: RankOrderAsk): Promise<RankOrderReply> {
    if (rank === this.#own) {
      return this.#rank.order(ask);
    }
    const direct = this.#passedOver(rank);
    return direct === null
      ? ((await this.#request(rank, 'rank.order', ask)) as RankOrderReply)
      : direct.order(ask);
  }

  async #request(rank: number, method: string, params: unknown): Promise<unknown> {
    const link = this.#links.get(rank);
    if (link === undefined) {
      throw new Error(`no process known for rank ${rank}`);
    }
    const answer = await link.client.request(method, params, ASK_MS);
    this.#answeredAt.set(rank, this.#runtime.now());
    return answer;
  }

  /** The engine of a rank whose process doesn't answer; null where that does. */
  #passedOver(rank: number): DirectRank | null {
    const link = this.#links.get(rank);
    const answeredAt = this.#answeredAt.get(rank);
    if (link === undefined || answeredAt === undefined) {
      return null;
    }
    const patienceMs = link.client.link === null ? GONE_MS : PASSED_OVER_MS;
    if (this.#runtime.now() - answeredAt < patienceMs) {
      return null;
    }
    // Asked all the same, so that it is seen when it is back.
    this.#request(rank, 'rank.ask', {
      token: 0,
      withCounts: false,
      withExperts: false,
      outlook: null,
    }).catch(() => undefined);
    return link.engine;
  }

  #connect(rank: number, key: string, address: Address): void {
    this.#stops.get(rank)?.abort();
    const stop = new AbortController();
    const client = new TransportLinkClient({
      targets: () => [{ name: key, address }],
      handlers: {},
      signal: AbortSignal.any([this.#signal, stop.signal]),
      jitter: this.#runtime.random,
      onUp: async () => undefined,
    });
    this.#stops.set(rank, stop);
    const engine = new DirectRank(this.#openEngine(address), this.#runtime.log);
    this.#links.set(rank, { key, client, engine });
    // A process that is gone from the start has this long to be heard.
    this.#answeredAt.set(rank, this.#runtime.now());
  }
}
