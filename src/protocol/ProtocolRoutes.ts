/**
 * Routing of HTTP paths to services, as declared in an operator's document, and the reports of engines. The adapter of
 * a platform decodes its own documents into these types.
 */

/**
 * Kind of the requests of a route: `idempotent` ones may be repeated, `once` requests run at most once, and `stream`
 * requests are answered with a stream of events.
 */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A service of a route, with the weight of its share of the requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Settings of the requests of one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly resumable: boolean;
  /** Longest time that a caller waits, ms. */
  readonly timeoutMs: number;
  /** Target time to the answer, or to the first event of a stream, ms. */
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that still counts as on time, ms; null for no target. */
  readonly pauseMs: number | null;
  /** Callers of a stream disconnect after this time without an event, also before the first one, ms. */
  readonly patienceMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of endpoints that one request is sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly anonymous: boolean;
}

/** Cost model of an engine's passes, and the shape of its expert maps. */
export interface EngineCosts {
  /** Requests that generate tokens concurrently. */
  readonly slots: number;
  /** Token steps per pass while requests generate tokens. */
  readonly stepsPerPass: number;
  /** Duration of a token step without generating requests, ms. */
  readonly stepMs: number;
  /** Time that each generating request adds to a step, ms. */
  readonly writerMs: number;
  /** Time that 1,000 tokens of context add to a step, ms. */
  readonly contextMsPerK: number;
  /** Prompt tokens processed per ms. */
  readonly readTokensPerMs: number;
  /** Fraction of a token's work that is done by experts, 0 to 1. */
  readonly expertShare: number;
  /** Number of sets; the layers of a set share one expert map. */
  readonly sets: number;
  /** Number of experts per set. */
  readonly experts: number;
  /** Experts that a rank holds per set. */
  readonly slotsPerRank: number;
  /** Maximum number of experts that one map change may add to a rank, per set. */
  readonly mostNew: number;
  /** Time in which a rank copies one expert, ms. */
  readonly copyMs: number;
  /** Mean number of tokens of a prompt and of an answer. */
  readonly usualPrompt: number;
  readonly usualAnswer: number;
}

/** How an endpoint behaves for a time after it has started, or has become cold for another reason. */
export interface ColdSpec {
  /** How long an endpoint is cold after a start during traffic, ms. */
  readonly startMs: number;
  /** Requests per second that it tolerates while cold; above 0. */
  readonly perSecond: number;
}

/** Requests that all entry hosts together may send to a cold endpoint beyond the rate that it tolerates. */
export interface ColdBounds {
  /** In each second: this factor times the tolerated rate, and a fixed number in addition. */
  readonly overshoot: number;
  readonly slack: number;
}

/** A service that is the target of routes. */
export interface ServiceSpec {
  readonly name: string;
  /** Connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number;
  /** Cost model of a model engine; null for a plain service. */
  readonly engine: EngineCosts | null;
  /** Absent if the service declares no limit for cold endpoints. */
  readonly cold?: ColdSpec;
}

/** A customer with the keys that identify it. */
export interface KeyedCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority; null for none. */
  readonly priority: number | null;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** How long an idle connection is kept open, ms. */
  readonly idleTimeoutMs: number;
}

/** The whole configuration that an operator declares. */
export interface RoutePlan {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  /** Null if the configuration has no list of customers: no request needs a key. With an empty list, no key is valid. */
  readonly customers: readonly KeyedCustomer[] | null;
  readonly limits: CallerLimits;
}

/** State of an engine, as read by its rank's process. */
export interface RankReport {
  /** Name of the group; null for an engine in no group. */
  readonly group: string | null;
  /** Increases each time the group is formed again, which discards all maps and orders. */
  readonly epoch: number;
  readonly rank: number;
  readonly ranks: number;
  readonly open: boolean;
  /** Number of the last pass that was started; unlike in {@link EngineCosts}, not a token step. */
  readonly step: number;
  /** Version of the map in use. */
  readonly mapVersion: number;
  /** Version whose weights are loaded and that can be armed; null for none. */
  readonly prepared: number | null;
  /** Armed version and the pass from which it is used; null for none. */
  readonly armed: { readonly version: number; readonly step: number } | null;
  /** Whether weights are being copied for a version that isn't prepared yet. */
  readonly copying: boolean;
  /** Pass before which the group waits until this rank is released; null for none. */
  readonly heldStep: number | null;
  /** Numbers of running and of waiting requests. */
  readonly active: number;
  readonly queued: number;
  /** Slowdown factor: actual over expected duration of a pass; above 1 the engine is slow. */
  readonly pace: number;
}

/** How often a rank's requests chose each expert, by set, since the rank started. */
export interface RankCounts {
  readonly epoch: number;
  readonly step: number;
  readonly counts: readonly (readonly number[])[];
}

/** Requests of one priority that may start in an interval: `granted` of the `demand` summed over all hosts. */
export interface GrantRow {
  readonly priority: number;
  readonly demand: number;
  readonly granted: number;
}

/** The same for a customer above the fair level of its priority. */
export interface CappedGrantRow extends GrantRow {
  readonly customer: string;
}

/** Number of requests that may start at a group in the next interval, while the demand exceeds it. */
export interface SlotGrants {
  readonly intervalMs: number;
  readonly rows: readonly GrantRow[];
  readonly capped: readonly CappedGrantRow[];
}

/**
 * Load of a group, as last seen by its coordinator. Processes of an earlier version send none of the optional fields.
 */
export interface GroupLoad {
  readonly group: string;
  /** Whether all ranks take part; otherwise the group runs nothing. */
  readonly open: boolean;
  /** Numbers of running and of waiting requests by rank. */
  readonly active: readonly number[];
  readonly queued: readonly number[];
  /** Ranks that are much slower than the others. */
  readonly slow?: readonly number[];
  /** Recent duration of a pass, ms; null if it is unknown, for example since the group was idle. */
  readonly passMs: number | null;
  /** Maximum over mean rank load, averaged over sets. */
  readonly skew: number;
  /** Fencing token of the coordinator's lease. */
  readonly token?: number;
  /** Epoch of the group; increases each time the group is formed again. */
  readonly epoch?: number;
  /** Number of ranks whose recent report was received under this token. */
  readonly reported?: number;
  /** Skew of the group's first map, under the demand known before. */
  readonly firstSkew?: number;
  /** When the load was sent, ms on the coordinator's monotonic clock; it increases under one token. */
  readonly sentAt?: number;
  /** Requests that may start in the next interval; absent while there are slots for all. */
  readonly grants?: SlotGrants;
}

/** Experts of each rank, `map[set][rank]`. */
export type GroupMap = readonly (readonly (readonly number[])[])[];

/**
 * Orders to a rank; `step` is the number of a pass. A `hold` keeps the group from starting that pass until the
 * `release`.
 */
export type EngineOrder =
  | {
      readonly kind: 'prepare';
      readonly epoch: number;
      readonly version: number;
      readonly map: GroupMap;
    }
  | {
      readonly kind: 'arm';
      readonly epoch: number;
      readonly version: number;
      readonly step: number;
    }
  | { readonly kind: 'disarm'; readonly epoch: number; readonly version: number }
  | { readonly kind: 'hold'; readonly epoch: number; readonly step: number }
  | { readonly kind: 'release'; readonly epoch: number; readonly step: number };

/** Result of an order; with `unknown` it may have been carried out, or may be later. */
export type OrderResult = 'accepted' | 'refused' | 'unknown';
