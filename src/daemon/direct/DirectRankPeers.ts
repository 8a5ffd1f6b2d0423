/**
 * Connections of a coordinator to the ranks of its group: over links to their sidecars, directly for its own rank.
 */
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

/** Timeout of a request to a sidecar, ms: a pass takes some 50 ms, so a later reply would be of no use. */
const REQUEST_TIMEOUT_MS = 400;

/** Timeout of sending a map, ms: the longest transfer time of a complete map of a large group. */
const MAP_TIMEOUT_MS = 1_400;

/** A sidecar that hasn't answered for this long is bypassed, ms. */
const UNRESPONSIVE_MS = 500;

/**
 * A sidecar without a link for this long is bypassed: it refuses connections, so it has stopped and isn't just slow.
 * In ms.
 */
const UNREACHABLE_MS = 120;

type PrepareOrder = Extract<EngineOrder, { kind: 'prepare' }>;

/** Opens a client of a rank's engine, by the address of the rank's sidecar. */
export type OpenEngine = (sidecar: Address) => EngineClient;

/** Link to a rank's sidecar, and access to its engine for when the sidecar doesn't answer. */
interface RankLink {
  readonly key: string;
  readonly client: TransportLinkClient;
  readonly engine: DirectRank;
}

/**
 * Links to the ranks of a group, which are closed with the signal.
 *
 * If a sidecar is frozen or dead while the group is held, nobody can tell whether its rank is armed, and the group
 * would stay held until the sidecar is back. So after half a second, and sooner where there is no link to it,
 * requests and orders go to the engine itself. When the bypassed sidecar resumes, it may still forward an order late,
 * which a map change tolerates anyway.
 */
export class DirectRankPeers {
  readonly #own: number;

  readonly #rank: DirectRank;

  readonly #signal: AbortSignal;

  readonly #runtime: Runtime;

  readonly #openEngine: OpenEngine;

  /** When each rank's sidecar last answered. */
  readonly #answeredAt = new Map<number, number>();

  /** The map that each rank's sidecar last accepted. */
  readonly #maps = new Map<number, { readonly version: number; readonly map: GroupMap }>();

  readonly #links = new Map<number, RankLink>();

  readonly #stopControllers = new Map<number, AbortController>();

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

  /** Updates the links to the group's members: one to each rank but the own one. */
  updateLinks(addresses: ReadonlyMap<number, Address>): void {
    addresses.forEach((address, rank) => {
      const key = `${address.host}:${address.port}`;
      if (rank !== this.#own && this.#links.get(rank)?.key !== key) {
        this.#connect(rank, key, address);
      }
    });
  }

  /** Restarts the timeouts. To be called after a time without requests, in which missing answers mean nothing. */
  resetTimeouts(): void {
    this.#answeredAt.forEach((_at, rank) => this.#answeredAt.set(rank, this.#runtime.now()));
  }

  async ask(rank: number, request: RankRequest): Promise<RankReply> {
    if (rank === this.#own) {
      return this.#rank.ask(request);
    }
    // Without counts: reading them from another host would slow the group down.
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
   * Sends a map, as a diff to the last one that the rank's sidecar accepted.
   *
   * 72 complete maps of 4.5 kB each over a link of 0.7 MB/s would add half a second to a change. A change moves about
   * a hundred experts, which takes 0.8 kB. A sidecar that has restarted refuses the diff, and the next attempt sends
   * the complete map.
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
    const reply = await link.client.request(method, params, timeoutMs);
    this.#answeredAt.set(rank, this.#runtime.now());
    return reply;
  }

  /** The engine of a rank whose sidecar doesn't answer; null where it does. */
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
    // A request is still sent to the sidecar, to detect when it answers again.
    this.#request(rank, 'rank.ask', {
      token: 0,
      withCounts: false,
      withExperts: false,
      outlook: null,
    }).catch(() => undefined);
    return link.engine;
  }

  #connect(rank: number, key: string, address: Address): void {
    this.#stopControllers.get(rank)?.abort();
    this.#maps.delete(rank);
    const stop = new AbortController();
    const client = new TransportLinkClient({
      targets: () => [{ name: key, address }],
      handlers: {},
      signal: AbortSignal.any([this.#signal, stop.signal]),
      jitter: this.#runtime.random,
      onUp: async () => undefined,
    });
    this.#stopControllers.set(rank, stop);
    const engine = new DirectRank(this.#openEngine(address), this.#runtime.log);
    this.#links.set(rank, { key, client, engine });
    // The timeout of a sidecar that never answers starts here.
    this.#answeredAt.set(rank, this.#runtime.now());
  }
}
