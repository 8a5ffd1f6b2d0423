/** A coordinator's way to each rank of its group: over links, and directly to its own. */
import { TransportLinkClient, type Address } from '../../transport/index.js';
import type { DirectRank, RankAsk, RankOrderAsk, RankOrderReply, RankReply } from './DirectRank.js';

/** An answer later than this is as good as none: a pass takes some 50 ms. In ms. */
const ASK_MS = 400;

/** Links to the ranks of a group; they end with the signal. */
export class DirectRankPeers {
  readonly #own: number;

  readonly #rank: DirectRank;

  readonly #signal: AbortSignal;

  readonly #random: () => number;

  readonly #links = new Map<
    number,
    { readonly key: string; readonly client: TransportLinkClient }
  >();

  readonly #stops = new Map<number, AbortController>();

  constructor(own: number, rank: DirectRank, signal: AbortSignal, random: () => number) {
    this.#own = own;
    this.#rank = rank;
    this.#signal = signal;
    this.#random = random;
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

  async ask(rank: number, ask: RankAsk): Promise<RankReply> {
    return rank === this.#own
      ? this.#rank.ask(ask)
      : ((await this.#request(rank, 'rank.ask', ask)) as RankReply);
  }

  async order(rank: number, ask: RankOrderAsk): Promise<RankOrderReply> {
    return rank === this.#own
      ? this.#rank.order(ask)
      : ((await this.#request(rank, 'rank.order', ask)) as RankOrderReply);
  }

  async #request(rank: number, method: string, params: unknown): Promise<unknown> {
    const link = this.#links.get(rank);
    if (link === undefined) {
      throw new Error(`no process known for rank ${rank}`);
    }
    return link.client.request(method, params, ASK_MS);
  }

  #connect(rank: number, key: string, address: Address): void {
    this.#stops.get(rank)?.abort();
    const stop = new AbortController();
    const client = new TransportLinkClient({
      targets: () => [{ name: key, address }],
      handlers: {},
      signal: AbortSignal.any([this.#signal, stop.signal]),
      jitter: this.#random,
      onUp: async () => undefined,
    });
    this.#stops.set(rank, stop);
    this.#links.set(rank, { key, client });
  }
}
