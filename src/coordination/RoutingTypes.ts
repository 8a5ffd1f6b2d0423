/** Types of routing. */
import type { LoadReport, MemberRecord } from '../protocol/index.js';

/** What an entry process knows of an endpoint that it may use. */
export interface RoutingEndpoint {
  readonly record: MemberRecord;
  /** Hash of its id, which orders the endpoints for a prefix. */
  readonly hash: number;
  readonly slots: number;
  /** Attempts that this process sent and that haven't ended; unlike a report this is always current. */
  readonly inFlight: number;
  /** Last load report of the gate, on the work of all entry processes. */
  readonly load: LoadReport | null;
  /** Own attempts in flight when the report arrived, so that they aren't counted twice. */
  readonly inFlightAtReport: number;
  /** When the report arrived, ms. */
  readonly reportedAt: number;
  /** When this incarnation was first seen serving, ms. */
  readonly firstSeenAt: number;
  /** Consecutive failed attempts. */
  readonly failures: number;
  /** Ejected until this time, ms; until then used only if too many are ejected or no other is left. */
  readonly ejectedUntil: number;
}

/** State of routing. */
export interface RoutingState {
  /** Own availability zone. */
  readonly zone: string;
  /** Endpoints by service, `fleet/service`. */
  readonly services: ReadonlyMap<string, readonly RoutingEndpoint[]>;
  /** Position of each endpoint in `services`, by its id. */
  readonly positions: ReadonlyMap<string, { readonly service: string; readonly index: number }>;
}

/** A request as routing sees it. */
export interface RoutingRequest {
  /** `fleet/service`. */
  readonly service: string;
  /** Hash of the prompt's prefix, which an endpoint may have cached; null for none. */
  readonly prefix: number | null;
  /** Ids of endpoints that must not be chosen, such as those of earlier attempts. */
  readonly exclude: readonly string[];
}

/** An endpoint and its score, for the log. */
export interface RoutingCandidate {
  readonly id: string;
  /** Expected wait in units of one call on an idle endpoint; lower is better. */
  readonly score: number;
}

/** Why an endpoint was chosen. */
export type RoutingReason = 'affinity' | 'least_load' | 'last_resort';

/** A routing decision. */
export interface RoutingDecision {
  readonly endpoint: MemberRecord | null;
  readonly reason: RoutingReason | 'no_endpoint';
  /** Number of endpoints that were compared; `candidates` are the best of them. */
  readonly of: number;
  readonly candidates: readonly RoutingCandidate[];
}

/** Inputs that change the state. */
export type RoutingInput =
  | { readonly type: 'members'; readonly records: readonly MemberRecord[] }
  | { readonly type: 'sent'; readonly id: string }
  | {
      readonly type: 'done';
      readonly id: string;
      readonly result: 'whole' | 'refused' | 'failed' | 'cancelled';
    }
  | { readonly type: 'report'; readonly id: string; readonly load: LoadReport };
