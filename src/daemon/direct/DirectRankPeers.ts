/** A coordinator's way to each rank of its group: over links, and directly to its own. */
import { diffMap } from '../../coordination/index.js';
import type { EngineOrder, GroupMap } from '../../protocol/index.js';
import { TransportLinkClient, type Address } from '../../transport/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import {
  DirectRank,
  type EngineClient,
  type RankRequest,
  type RankOrderRequest,
  type RankOrderReply,
  type RankReply,
} from './DirectRank.js';

/** An answer later than this is as good as none: a pass takes some 50 ms. In ms. */
const REQUEST_TIMEOUT_MS = 400;

/** A whole map of a large group is this long under way at most, ms. */
const MAP_TIMEOUT_MS = 1_400;

/** A process beside an engine that hasn't answered for this long is passed over, ms. */
const UNRESPONSIVE_MS = 500;

/** One whose link couldn't be made for this long refuses connections: it is gone, not slow. In ms. */
const UNREACHABLE_MS = 120;

type PrepareOrder = Extract<EngineOrder, { kind: 'prepare' }>;

/** Opens the engine of a rank by the address of the process beside it. */
export type OpenEngine = (sidecar: Address) => EngineClient;

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

  /** The map that each rank's process took last. */
  readonly #maps = new Map<number, { readonly version: number; readonly map: GroupMap }>();

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
  resetTimeouts(): void {
    this.#answeredAt.forEach((_at, rank) => this.#answeredAt.set(rank, this.#runtime.now()));
  }

  async ask(rank: number, request: RankRequest): Promise<RankReply> {
    if (rank === this.#own) {
      return this.#rank.ask(request);
    }
    // Counts read from another host slow the group down: those of this rank are done without.
    const direct = this.#engineIfUnresponsive(rank);
    return direct === null
      ? ((await this.#request(rank, 'rank.ask', request)) as RankReply)
      : direct.ask({ ...request, withCounts: false });
  }

  async order(rank: number, request: RankOrderRequest): Promise<RankOrderReply> {
    if (rank === this.#own) {
      return this.#rank.order(request);
    }
    const direct = this.#engineIfUnresponsive(rank);
    if (direct !== null) {
      return direct.order(request);
    }
    return request.order.kind === 'prepare'
      ? this.#sendMap(rank, request, request.order)
      : ((await this.#request(rank, 'rank.order', request)) as RankOrderReply);
  }

  /**
   * Sends a map, as what differs from the last one that the rank's process took.
   *
   * Failure: 72 ranks are sent 4.5 kB each over a link of 0.7 MB/s. Symptom: a change takes half a second
   * more than its copies. Enough: a change moves about a hundred experts, 0.8 kB; a process that has begun
   * anew refuses it, and is sent the whole.
   */
  async #sendMap(
    rank: number,
    request: RankOrderRequest,
    order: PrepareOrder,
  ): Promise<RankOrderReply> {
    const known = this.#maps.get(rank);
    this.#maps.delete(rank);
    const params: RankOrderRequest =
      known === undefined
        ? request
        : {
            token: request.token,
            order: { ...order, map: [] },
            diff: { from: known.version, rows: diffMap(known.map, order.map) },
          };
    const reply = (await this.#request(
      rank,
      'rank.order',
      params,
      MAP_TIMEOUT_MS,
    )) as RankOrderReply;
    this.#maps.set(rank, { version: order.version, map: order.map });
    return reply;
  }

  async #request(
    rank: number,
    method: string,
    params: unknown,
    timeoutMs = REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    const link = this.#links.get(rank);
    if (link === undefined) {
      throw new Error(`no process known for rank ${rank}`);
    }
    const answer = await link.client.request(method, params, timeoutMs);
    this.#answeredAt.set(rank, this.#runtime.now());
    return answer;
  }

  /** The engine of a rank whose process doesn't answer; null where that does. */
  #engineIfUnresponsive(rank: number): DirectRank | null {
    const link = this.#links.get(rank);
    const answeredAt = this.#answeredAt.get(rank);
    if (link === undefined || answeredAt === undefined) {
      return null;
    }
    const patienceMs = link.client.link === null ? UNREACHABLE_MS : UNRESPONSIVE_MS;
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
    this.#maps.delete(rank);
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
