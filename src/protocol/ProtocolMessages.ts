/** Messages between the system's own processes. Each carries the sender's incarnation. */
import type { Manifest } from './ProtocolManifest.js';

/** What a process does. */
export type Role = 'entry' | 'endpoint' | 'control';

/** Load of an engine, as its gate last saw it. */
export interface LoadReport {
  /** Attempts that run now. */
  readonly running: number;
  /** Attempts that wait inside the engine. */
  readonly queued: number;
  /** Attempts that the engine runs side by side. */
  readonly slots: number;
}

/** What an endpoint offers. */
export interface EndpointOffer {
  readonly fleet: string;
  readonly service: string;
  readonly slots: number;
  /** Group and ranks that this endpoint's host holds, if it is part of a group. */
  readonly group?: string;
  readonly ranks?: readonly number[];
}

/** Life of a member: `gone` is said by others once its lease has run out. */
export type MemberStatus = 'serving' | 'leaving' | 'gone';

/** One process in the directory. (incarnation, version) orders the records of one id. */
export interface MemberRecord {
  readonly id: string;
  readonly role: Role;
  readonly zone: string;
  /** `ip:port` of its HTTP server. */
  readonly address: string;
  /** Rises with each start of the process; ids of requests are unique only within it. */
  readonly incarnation: number;
  /** Rises with each change that the member itself announces. */
  readonly version: number;
  readonly status: MemberStatus;
  /** Whether its host has said that the process has ended; one that is merely not heard may live on. */
  readonly ended?: true;
  readonly offer?: EndpointOffer;
  /** Lease of a member without a link, which announces itself by heartbeats, ms. */
  readonly leaseMs?: number;
}

/** Where a control process takes links. */
export interface ControlAddress {
  readonly name: string;
  readonly zone: string;
  readonly address: { readonly host: string; readonly port: number };
}

/** First message on a link from an entry or endpoint process to a control process. */
export interface HelloMessage {
  readonly record: MemberRecord;
  /** Index of the configuration the sender holds, 0 for none; null where it doesn't follow the configuration. */
  readonly configIndex: number | null;
}

/** Answer to {@link HelloMessage}. */
export interface HelloReply {
  readonly accepted: boolean;
  /** Smallest incarnation that would be accepted, where this one was too old. */
  readonly leastIncarnation: number;
  /** Control processes that this one knows, itself included. */
  readonly controls?: readonly ControlAddress[];
}

/** Changes of the directory. `full` replaces all that the receiver knew. */
export interface DirectoryDelta {
  readonly full: boolean;
  readonly records: readonly MemberRecord[];
}

/** A JSON value. */
export type Json =
  string | number | boolean | null | readonly Json[] | { readonly [key: string]: Json };

/** Configuration as flat entries by path, `fleet/kind/name`. */
export type ConfigEntries = Readonly<Record<string, Json>>;

/** Difference of two configurations by log index; `from` 0 is a snapshot of the whole. */
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
  /** Rises with every new holder; a receiver refuses what is older than the highest seen. */
  readonly token: number;
  /** Duration in ms from the holder's request, by the holder's own clock. */
  readonly durationMs: number;
}

/** Submission of a manifest. */
export interface SubmitRequest {
  readonly manifest: Manifest;
}

/** What became of a submission. Accepted means committed by a quorum. */
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
      /** Digest accepted under that version, or under the newest for `older`. */
      readonly acceptedDigest: string;
      readonly acceptedVersion: number;
    }
  | { readonly result: 'unavailable'; readonly reason: string };

/** Head frame of a gate's answer. */
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

/** Data frame: whole events of a stream, or a part of a whole answer. */
export interface DataFrame {
  readonly kind: 'data';
  readonly request: string;
  readonly attempt: number;
  readonly incarnation: number;
  /** Events sent before this frame, plus one: the offset at which a resume would join. */
  readonly seq: number;
  readonly events: number;
  readonly bytes: Uint8Array;
}

/** Last frame. An answer without it, or with `whole` false, is cut. */
export interface EndFrame {
  readonly kind: 'end';
  readonly request: string;
  readonly attempt: number;
  readonly incarnation: number;
  readonly seq: number;
  readonly whole: boolean;
  readonly reason: string;
  /** Which life of the engine, counted by the gate, has ended under the attempt; null where none is known to have. */
  readonly endedLife: number | null;
  readonly load: LoadReport;
}

/** A message of a gate's answer. */
export type AnswerFrame = HeadFrame | DataFrame | EndFrame;

/** What a gate knows of an attempt it was asked to revoke. */
export interface RevokeReply {
  /** `revoked`: it has not been started and never will be. */
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
