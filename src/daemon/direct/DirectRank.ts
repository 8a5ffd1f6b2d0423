/** What an endpoint process does for the rank on its own host: reports, counts and fenced orders. */
import type { Logger } from 'pino';
import {
  applyMapDiff,
  packIncrements,
  type MapRow,
  type PackedCounts,
  type PackedDemand,
} from '../../coordination/index.js';
import type {
  EngineOrder,
  GroupMap,
  OrderResult,
  RankCounts,
  RankReport,
} from '../../protocol/index.js';
import type { LinkHandlers } from '../../transport/index.js';

/** How the engine on this host is spoken to; its adapter implements this. */
export interface EngineClient {
  report: () => Promise<RankReport>;
  counts: () => Promise<RankCounts>;
  /** Experts of this rank in the map in use, by set. */
  experts: () => Promise<readonly (readonly number[])[]>;
  order: (order: EngineOrder) => Promise<OrderResult>;
}

/** A coordinator's question. */
export interface RankRequest {
  readonly token: number;
  readonly withCounts: boolean;
  readonly withExperts: boolean;
  /** What the coordinator expects, for whoever may succeed it; null where nothing is new. */
  readonly outlook: GroupForecast | null;
}

/** What a coordinator of a group leaves to its successor. */
export interface GroupForecast {
  readonly demand: PackedDemand;
  /** Largest over mean load under a group's first map. */
  readonly firstSkew: number;
}

/** Answer to a {@link RankRequest}; `fenced` where a newer coordinator has been heard. */
export type RankReply =
  | { readonly fenced: true }
  | {
      readonly fenced: false;
      readonly report: RankReport;
      /** What was chosen since the same coordinator asked before. */
      readonly counts: PackedCounts | null;
      readonly experts: readonly (readonly number[])[] | null;
    };

/** A coordinator's order. */
export interface RankOrderRequest {
  readonly token: number;
  readonly order: EngineOrder;
  /** Where the order's map is left empty: the version that it differs from, and the rows that differ. */
  readonly diff?: { readonly from: number; readonly rows: readonly MapRow[] };
}

/** What became of an order, with what the rank reports after it. */
export type RankOrderReply =
  | { readonly fenced: true }
  | { readonly fenced: false; readonly result: OrderResult; readonly report: RankReport | null };

/**
 * The rank on this host.
 *
 * Failure: a coordinator that was replaced wakes up and goes on with its change. Symptom: its orders
 * mix with its successor's. Enough: once a coordinator with a higher token has asked for a report,
 * neither report nor order is given to a lower one, so the old one can't learn what it would need to
 * release the group.
 */
export class DirectRank {
  readonly #engine: EngineClient;

  readonly #log: Logger;

  #highestToken = 0;

  /** Newest map that this rank was told to prepare. */
  #lastMap: { readonly version: number; readonly map: GroupMap } | null = null;

  /** Counts as a coordinator last read them. */
  #lastCounts: { readonly token: number; readonly counts: RankCounts } | null = null;

  /** What the last coordinator expected, with its token. */
  #forecast: { readonly token: number; readonly outlook: GroupForecast } | null = null;

  constructor(engine: EngineClient, log: Logger) {
    this.#engine = engine;
    this.#log = log;
  }

  get handlers(): LinkHandlers {
    return {
      'rank.ask': async (params) => this.ask(params as RankRequest),
      'rank.order': async (params) => this.order(params as RankOrderRequest),
    };
  }

  /** What a coordinator with a higher token than this one expected; null where none was heard. */
  newerForecast(token: number): GroupForecast | null {
    return this.#forecast !== null && this.#forecast.token > token ? this.#forecast.outlook : null;
  }

  async ask({ token, withCounts, withExperts, outlook }: RankRequest): Promise<RankReply> {
    if (this.#isFenced(token)) {
      return { fenced: true };
    }
    if (outlook !== null) {
      this.#forecast = { token, outlook };
    }
    const report = await this.#engine.report();
    const counts = withCounts ? await this.#readNewCounts(token) : null;
    const experts = withExperts ? await this.#engine.experts() : null;
    return this.#isFenced(token) ? { fenced: true } : { fenced: false, report, counts, experts };
  }

  /** What was chosen since the coordinator with this token asked before. */
  async #readNewCounts(token: number): Promise<PackedCounts | null> {
    const counts = await this.#engine.counts();
    const before = this.#lastCounts;
    this.#lastCounts = { token, counts };
    return packIncrements(before?.token === token ? before.counts.counts : null, counts.counts);
  }

  /**
   * The order with its whole map.
   *
   * @throws {Error} where this process doesn't know the map that it differs from: it has begun anew, and the
   * coordinator must send the whole.
   */
  #completeOrder({ order, diff }: RankOrderRequest): EngineOrder {
    if (order.kind !== 'prepare') {
      return order;
    }
    if (diff !== undefined && this.#lastMap?.version !== diff.from) {
      throw new Error(`map ${diff.from} isn't known here`);
    }
    const map = diff === undefined ? order.map : applyMapDiff(this.#lastMap?.map ?? [], diff.rows);
    this.#lastMap = { version: order.version, map };
    return { ...order, map };
  }

  async order(request: RankOrderRequest): Promise<RankOrderReply> {
    const { token } = request;
    if (this.#isFenced(token)) {
      return { fenced: true };
    }
    const order = this.#completeOrder(request);
    const result = await this.#engine.order(order);
    const { kind } = order;
    const version = 'version' in order ? order.version : null;
    const step = 'step' in order ? order.step : null;
    this.#log.info({ event: 'order', token, kind, version, step, result }, 'order to the engine');
    const report = await this.#engine.report().catch(() => null);
    return this.#isFenced(token) ? { fenced: true } : { fenced: false, result, report };
  }

  #isFenced(token: number): boolean {
    this.#highestToken = Math.max(this.#highestToken, token);
    return token < this.#highestToken;
  }
}
