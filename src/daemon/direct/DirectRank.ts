/** Access to the rank on a sidecar's own host: reports, counts and fenced orders. */
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

/** Interface to the engine on this host, implemented by the platform's adapter. */
export interface EngineClient {
  report: () => Promise<RankReport>;
  counts: () => Promise<RankCounts>;
  /** Experts of this rank in the map in use, by set. */
  experts: () => Promise<readonly (readonly number[])[]>;
  order: (order: EngineOrder) => Promise<OrderResult>;
}

/** A coordinator's request for a report. */
export interface RankRequest {
  readonly token: number;
  readonly withCounts: boolean;
  readonly withExperts: boolean;
  /** The coordinator's forecast, for a possible successor; null where there is nothing new. */
  readonly outlook: GroupForecast | null;
}

/** Forecast that a coordinator of a group leaves to its successor. */
export interface GroupForecast {
  readonly demand: PackedDemand;
  /** Ratio of the largest to the mean rank load under a group's first map; null if it is unknown. */
  readonly firstSkew: number | null;
}

/** Reply to a {@link RankRequest}; `fenced` where a newer coordinator is known. */
export type RankReply =
  | { readonly fenced: true }
  | {
      readonly fenced: false;
      readonly report: RankReport;
      /** Expert choices since the same coordinator last read them; null if it has not, or the counts were reset. */
      readonly counts: PackedCounts | null;
      readonly experts: readonly (readonly number[])[] | null;
    };

/** A coordinator's order. */
export interface RankOrderRequest {
  readonly token: number;
  readonly order: EngineOrder;
  /** Where the order's map is left empty: the version that the diff is based on, and the rows that differ. */
  readonly diff?: { readonly from: number; readonly rows: readonly MapRow[] };
}

/** Result of an order, with the rank's report after it. */
export type RankOrderReply =
  | { readonly fenced: true }
  | { readonly fenced: false; readonly result: OrderResult; readonly report: RankReport | null };

/**
 * The rank on this host.
 *
 * A replaced coordinator that was frozen and then continues its change would mix its orders with its successor's. Once
 * a coordinator with a higher token has requested a report, requests and orders with a lower one are refused, so the
 * old coordinator can't obtain the reports that it would need to release the group.
 */
export class DirectRank {
  readonly #engine: EngineClient;

  readonly #log: Logger;

  #highestToken = 0;

  /** Last map that this rank was ordered to prepare. */
  #lastMap: { readonly version: number; readonly map: GroupMap } | null = null;

  /** Counts as last read by a coordinator, with its token. */
  #lastCounts: { readonly token: number; readonly counts: RankCounts } | null = null;

  /** Forecast of the last coordinator that sent one, with its token. */
  #forecast: { readonly token: number; readonly forecast: GroupForecast } | null = null;

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

  /** Forecast of a coordinator with a higher token than this; null if there is none. */
  newerForecast(token: number): GroupForecast | null {
    return this.#forecast !== null && this.#forecast.token > token ? this.#forecast.forecast : null;
  }

  async ask({ token, withCounts, withExperts, outlook }: RankRequest): Promise<RankReply> {
    if (this.#isFenced(token)) {
      return { fenced: true };
    }
    if (outlook !== null) {
      this.#forecast = { token, forecast: outlook };
    }
    const report = await this.#engine.report();
    const counts = withCounts ? await this.#readNewCounts(token) : null;
    const experts = withExperts ? await this.#engine.experts() : null;
    return this.#isFenced(token) ? { fenced: true } : { fenced: false, report, counts, experts };
  }

  /**
   * Expert choices since the coordinator with this token last read them; null if it has not, or the counts were
   * reset.
   */
  async #readNewCounts(token: number): Promise<PackedCounts | null> {
    const counts = await this.#engine.counts();
    const before = this.#lastCounts;
    this.#lastCounts = { token, counts };
    return packIncrements(before?.token === token ? before.counts.counts : null, counts.counts);
  }

  /**
   * The order with its complete map.
   *
   * @throws {Error} where the map that the diff is based on isn't known here, because this process has restarted; the
   * coordinator must send the complete map.
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
