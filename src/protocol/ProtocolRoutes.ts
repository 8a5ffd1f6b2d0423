/**
 * Routing of plain HTTP paths to services, as an operator's document declares it, and what an engine
 * tells of itself. The adapter of a platform decodes its own documents into these types.
 */

/** What may be repeated on a route: `once` requests run at most once. */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** One service of a route, with its part of the requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a broken stream may go on at another endpoint. */
  readonly resumable: boolean;
  /** Longest time a caller is kept waiting, ms. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that the operator aims at, ms. */
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that is still on time, ms; null for no aim. */
  readonly pauseMs: number | null;
  /** Callers of a stream leave when no event has come for this long, also before the first, ms. */
  readonly patienceMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Endpoints that one request may be sent to, at most. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly anonymous: boolean;
}

/** How long an engine's passes take, and the shape of its expert maps. */
export interface EngineCosts {
  /** Requests that write at once. */
  readonly slots: number;
  /** Token steps of one pass while requests write. */
  readonly stepsPerPass: number;
  /** ms of a token step without writers. */
  readonly stepMs: number;
  /** ms that each writer adds to a step. */
  readonly writerMs: number;
  /** ms that 1,000 tokens of context add to a step. */
  readonly contextMsPerK: number;
  /** Prompt tokens read in a ms. */
  readonly readTokensPerMs: number;
  /** Part of a token's work that is done by experts, 0 to 1. */
  readonly expertShare: number;
  /** Sets of layers that share one expert map. */
  readonly sets: number;
  /** Experts of a set. */
  readonly experts: number;
  /** Experts that a rank holds, a set. */
  readonly slotsPerRank: number;
  /** Experts new to a rank that one change of map may bring, a set. */
  readonly mostNew: number;
  /** Time that a rank takes to copy one expert, ms. */
  readonly copyMs: number;
  /** Mean tokens of a prompt and of an answer. */
  readonly usualPrompt: number;
  readonly usualAnswer: number;
}

/** A service that routes lead to. */
export interface ServiceSpec {
  readonly name: string;
  /** Connections that one endpoint takes from all callers together. */
  readonly maxConnections: number;
  /** Costs of a model engine; null for a plain service. */
  readonly engine: EngineCosts | null;
}

/** A customer with the keys that name it. */
export interface KeyedCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority; null for none. */
  readonly priority: number | null;
}

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** How long an idle connection is kept, ms. */
  readonly idleTimeoutMs: number;
}

/** The whole configuration that an operator declares. */
export interface RoutePlan {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  /** Empty where no request needs a key. */
  readonly customers: readonly KeyedCustomer[];
  readonly limits: CallerLimits;
}

/** What a rank's process reads from its engine. */
export interface RankReport {
  /** Name of the group; null for an engine that is in none. */
  readonly group: string | null;
  /** Rises each time the group forms anew; all maps and orders are forgotten then. */
  readonly epoch: number;
  readonly rank: number;
  readonly ranks: number;
  readonly open: boolean;
  /** Last pass that was begun. */
  readonly step: number;
  /** Version of the map in use. */
  readonly mapVersion: number;
  /** Version whose weights are in place, ready to be armed; null for none. */
  readonly prepared: number | null;
  /** Version armed, and the pass from which it is used; null for none. */
  readonly armed: { readonly version: number; readonly step: number } | null;
  /** Whether weights are being copied for a version that isn't prepared yet. */
  readonly copying: boolean;
  /** Pass before which the group waits for this rank's release; null for none. */
  readonly heldStep: number | null;
  /** Requests that run, and that wait. */
  readonly active: number;
  readonly queued: number;
  /** Time of a pass over what it should be; above 1 the engine is slow. */
  readonly pace: number;
}

/** How often a rank's requests chose each expert, by set, since the rank started. */
export interface RankCounts {
  readonly epoch: number;
  readonly step: number;
  readonly counts: readonly (readonly number[])[];
}

/** Load of a group, as its coordinator saw it a moment ago. */
export interface GroupLoad {
  readonly group: string;
  /** Whether all ranks take part; a broken group runs nothing. */
  readonly open: boolean;
  /** Requests that run, and that wait, by rank. */
  readonly active: readonly number[];
  readonly queued: readonly number[];
  /** Ranks that work far more slowly than the others; processes of an earlier version don't tell. */
  readonly slow?: readonly number[];
  /** Time of a pass lately, ms; null where the group was idle. */
  readonly passMs: number | null;
  /** Largest over mean rank load, averaged over sets. */
  readonly skew: number;
}

/** `map[set][rank]` lists the experts of a rank. */
export type GroupMap = readonly (readonly (readonly number[])[])[];

/** Orders to a rank. A hold keeps the group from beginning a pass until it is released. */
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

/** What became of an order: `unknown` may have been carried out, or may be later. */
export type OrderResult = 'accepted' | 'refused' | 'unknown';
