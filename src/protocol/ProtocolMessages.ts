/**
 * Messages between the system's own processes. A gate is the part of an endpoint process that accepts attempts
 * from entry processes and passes them on to its engine.
 */
import type { Manifest } from './ProtocolManifest.js';

/** Role of a process. */
export type Role = 'entry' | 'endpoint' | 'control';

/** Load of an engine, as last seen by its gate. */
export interface LoadReport {
  /** Number of running attempts. */
  readonly running: number;
  /** Number of attempts queued inside the engine. */
  readonly queued: number;
  /** Maximum number of attempts that the engine runs concurrently. */
  readonly slots: number;
}

/** Service and capacity that an endpoint offers. */
export interface EndpointOffer {
  readonly fleet: string;
  readonly service: string;
  readonly slots: number;
  /** Group that this endpoint belongs to, and the ranks on its host; absent if it is in no group. */
  readonly group?: string;
  readonly ranks?: readonly number[];
}

/** Status of a member; others set `gone` once its lease has expired. */
export type MemberStatus = 'serving' | 'leaving' | 'gone';

/** A process in the directory. Records of one id are ordered by (incarnation, version). */
export interface MemberRecord {
  readonly id: string;
  readonly role: Role;
  readonly zone: string;
  /** `ip:port` of its HTTP server. */
  readonly address: string;
  /** Increases with each start of the process; request ids are unique only within an incarnation. */
  readonly incarnation: number;
  /** Increases with each change that the member itself announces. */
  readonly version: number;
  readonly status: MemberStatus;
  /** Whether its host reported that the process has ended; one that is only unreachable may still run. */
  readonly ended?: true;
  readonly offer?: EndpointOffer;
  /** Lease of a member without a link, which announces itself by heartbeats, ms. */
  readonly leaseMs?: number;
  /**
   * Remaining cold time that the endpoint stated in its heartbeat, ms, 0 for a warm one; absent if it stated none. No
   * hop subtracts anything.
   */
  readonly statedColdMs?: number;
}

/** Address at which a control process accepts links. */
export interface ControlAddress {
  readonly name: string;
  readonly zone: string;
  readonly address: { readonly host: string; readonly port: number };
}

/** First message on a link from an entry or endpoint process to a control process. */
export interface HelloMessage {
  readonly record: MemberRecord;
  /** Index of the configuration that the sender holds, 0 for none; null if it doesn't follow the configuration. */
  readonly configIndex: number | null;
}

/** Answer to {@link HelloMessage}. */
export interface HelloReply {
  readonly accepted: boolean;
  /** Smallest incarnation that would be accepted; only relevant if the hello was refused. */
  readonly leastIncarnation: number;
  /** Control processes known to the one that answers, including itself. */
  readonly controls?: readonly ControlAddress[];
}

/** Changes of the directory; with `full`, the records replace all that the receiver has. */
export interface DirectoryDelta {
  readonly full: boolean;
  readonly records: readonly MemberRecord[];
}

/** A JSON value. */
export type Json =
  string | number | boolean | null | readonly Json[] | { readonly [key: string]: Json };

/** Configuration as flat entries by path, `fleet/kind/name`. */
export type ConfigEntries = Readonly<Record<string, Json>>;

/** Difference between the configurations at two log indexes; with `from` 0 a complete snapshot. */
export interface ConfigDelta {
  readonly from: number;
  readonly to: number;
  readonly set: ConfigEntries;
  readonly del: readonly string[];
}

/** A lease on the right to coordinate one group. */
export interface LeaseGrant {
  readonly group: string;
  readonly holder: string;
  /** Fencing token, which increases with every grant; receivers refuse tokens below the highest one seen. */
  readonly token: number;
  /** Duration from the holder's request, measured by the holder's own clock, ms. */
  readonly durationMs: number;
}

/** Submission of a manifest. */
export interface SubmitRequest {
  readonly manifest: Manifest;
}

/** Result of a submission. Accepted means committed by a quorum. */
export type SubmitReply =
  | {
      readonly result: 'accepted';
      readonly fleet: string;
      readonly version: number;
      readonly digest: string;
      readonly index: number;
    }
  | {
      readonly result: 'conflict' | 'older';
      readonly fleet: string;
      readonly version: number;
      /** Digest accepted for that version; for `older`, the digest of the newest version. */
      readonly acceptedDigest: string;
      readonly acceptedVersion: number;
    }
  | { readonly result: 'unavailable'; readonly reason: string };

/** First frame of a gate's answer, with status and content type. */
export interface HeadFrame {
  readonly kind: 'head';
  readonly request: string;
  readonly attempt: number;
  readonly incarnation: number;
  readonly seq: 0;
  readonly status: number;
  readonly contentType: string;
  readonly streamed: boolean;
}

/** Data frame: complete events of a stream, or a part of an answer that isn't streamed. */
export interface DataFrame {
  readonly kind: 'data';
  readonly request: string;
  readonly attempt: number;
  readonly incarnation: number;
  /** Number of events sent before this frame plus one: the offset at which a stream would be resumed. */
  readonly seq: number;
  readonly events: number;
  readonly bytes: Uint8Array;
}

/** Last frame. An answer without this frame, or with `whole` false, is incomplete. */
export interface EndFrame {
  readonly kind: 'end';
  readonly request: string;
  readonly attempt: number;
  readonly incarnation: number;
  readonly seq: number;
  readonly whole: boolean;
  readonly reason: string;
  /** Ordinal, counted by the gate, of the engine incarnation that crashed during the attempt; null if none is known. */
  readonly endedLife: number | null;
  readonly load: LoadReport;
}

/** A message of a gate's answer. */
export type AnswerFrame = HeadFrame | DataFrame | EndFrame;

/** A gate's reply to the revocation of an attempt. */
export interface RevokeReply {
  /** `revoked`: the attempt hasn't been started and never will be. */
  readonly state: 'revoked' | 'started';
  readonly incarnation: number;
}

/** Headers between an entry process and a gate. */
export const GATE_HEADERS = {
  request: 'x-lg-request',
  attempt: 'x-lg-attempt',
  sender: 'x-lg-sender',
  target: 'x-lg-target',
  path: 'x-lg-path',
  method: 'x-lg-method',
  deadline: 'x-lg-deadline-ms',
  customer: 'x-lg-customer',
} as const;

/** Headers that callers may set. */
export const CALLER_HEADERS = {
  customer: 'x-customer',
  deadline: 'x-deadline-ms',
  priority: 'x-priority',
  repeatable: 'x-repeatable',
  key: 'idempotency-key',
} as const;
