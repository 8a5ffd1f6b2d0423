/** Types of the routing decision. */
import type { LoadReport, MemberRecord } from '../protocol/index.js';

/** What an entry process knows of one endpoint it may use. */
export interface RoutingEndpoint {
  readonly record: MemberRecord;
  /** Hash of its id, for the order that a prefix gives the endpoints. */
  readonly hash: number;
  readonly slots: number;
  /** Attempts that this process sent and that haven't ended: counted at once, never lagging. */
  readonly inFlight: number;
  /** Last report of the gate, of all entry processes' work. */
  readonly load: LoadReport | null;
  /** Own attempts in flight when the report came, so that they aren't counted twice. */
  readonly inFlightAtReport: number;
  /** When the report came, ms. */
  readonly reportedAt: number;
  /** When it was first seen serving in this incarnation, ms. */
  readonly firstSeenAt: number;
  /** Failed attempts in a row. */
  readonly failures: number;
  /** Not used before this time, ms, unless nothing else is left. */
  readonly ejectedUntil: number;
}

/** All that routing knows. */
export interface RoutingState {
  /** Own availability zone. */
  readonly zone: string;
  /** Endpoints by service, `fleet/service`. */
  readonly services: ReadonlyMap<string, readonly RoutingEndpoint[]>;
  /** Where an endpoint stands in `services`. */
  readonly positions: ReadonlyMap<string, { readonly service: string; readonly index: number }>;
}

/** A request as routing sees it. */
export interface RoutingRequest {
  /** `fleet/service`. */
  readonly service: string;
  /** Hash of the prompt's prefix, for which an endpoint may hold the cache; null for none. */
  readonly prefix: number | null;
  /** Endpoints that an earlier attempt used. */
  readonly exclude: readonly string[];
}

/** One candidate as it was weighed; written to the log. */
export interface RoutingCandidate {
  readonly id: string;
  /** Expected wait in units of one call on an idle endpoint: less is better. */
  readonly score: number;
}

/** Why an endpoint was chosen. */
export type RoutingReason = 'affinity' | 'least_load' | 'last_resort';

/** A routing decision. */
export interface RoutingDecision {
  readonly endpoint: MemberRecord | null;
  readonly reason: RoutingReason | 'no_endpoint';
  /** Endpoints that were weighed; `candidates` are the best of them. */
  readonly of: number;
  readonly candidates: readonly RoutingCandidate[];
}

/** What changes the state. */
export type RoutingInput =
  | { readonly type: 'members'; readonly records: readonly MemberRecord[] }
  | { readonly type: 'sent'; readonly id: string }
  | {
      readonly type: 'done';
      readonly id: string;
      readonly result: 'whole' | 'refused' | 'failed' | 'cancelled';
    }
  | { readonly type: 'report'; readonly id: string; readonly load: LoadReport };
