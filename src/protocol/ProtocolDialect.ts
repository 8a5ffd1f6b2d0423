/** Interfaces that a platform's adapter implements to read and write its messages; adapters make no decisions. */
import type { IncomingHttpHeaders } from 'node:http';
import type { RoutePlan } from './ProtocolRoutes.js';

/** Alternating header names and values, as received or sent. */
export type RawHeaders = readonly string[];

/** Metadata of a caller's request, without its method, path and body. */
export interface RequestHead {
  /** Request id set by the caller; empty if it set none. */
  readonly id: string;
  /** How long the caller waits, ms; null if not given. */
  readonly deadlineMs: number | null;
  /** Key that identifies the customer; null if there is none. */
  readonly key: string | null;
  /** Number of prompt tokens and maximum number of answer tokens; null if not given. */
  readonly tokens: { readonly prompt: number; readonly answer: number } | null;
  /** The caller's estimate of the number of answer tokens; null if not given. */
  readonly expectedTokens: number | null;
  /** Id of the last event received of the stream that the caller resumes; null for a new stream. */
  readonly lastEvent: string | null;
  /** Ids of the parts of its prompt that other requests may share, in order. */
  readonly sharedParts: readonly string[];
}

/** Metadata that is added to a forwarded request. */
export interface ForwardHead {
  /** The only instance that may run the request. */
  readonly instance: string;
  /** Remaining time, ms. */
  readonly deadlineMs: number;
  /** Customer's name; null if the request needs no key. */
  readonly customer: string | null;
  /** From 0, the most urgent, to 9; null where requests aren't admitted by urgency. */
  readonly urgency: number | null;
  /** Id of the event after which a stream is resumed; null to forward the caller's own value. */
  readonly resumeAfter: string | null;
}

/**
 * Rate limit advertised in an endpoint's answer, in requests per second from all entry hosts together; `none` if the
 * answer has no limit, `unreadable` if the limit isn't a number.
 */
export type AdvertisedLimit = number | 'none' | 'unreadable';

/** Content of the status line and headers of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the answered request, as echoed by the endpoint; null if it echoes none. */
  readonly id: string | null;
  /** Whether the answer carries the endpoint's seal, which shows that the endpoint itself wrote it. */
  readonly sealed: boolean;
  /** Whether the endpoint states that it hasn't run the request and never will. */
  readonly notRun: boolean;
  /** Whether an instance other than the expected one answered. */
  readonly wrongInstance: boolean;
  /** Instance that caused the failure, if it isn't the one that answered. */
  readonly faultyInstance: string | null;
  readonly isStream: boolean;
  readonly limit: AdvertisedLimit;
  /** Backoff that a refusing endpoint asks of this host, ms; `unreadable` if the value isn't a time. */
  readonly restMs: number | 'none' | 'unreadable';
  /** Whether the endpoint is about to shut down. */
  readonly isLeaving: boolean;
}

/** Reads and writes a platform's HTTP messages. */
export interface HttpDialect {
  readRequest: (headers: IncomingHttpHeaders) => RequestHead;
  /** Headers of the forwarded request. */
  writeForward: (raw: RawHeaders, forward: ForwardHead) => string[];
  readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerHead;
  /** Headers of the answer for the caller, without hop-by-hop headers. */
  writeAnswer: (raw: RawHeaders) => string[];
  /** Id of a stream event; null if it has none. */
  eventId: (event: Buffer) => string | null;
}

/** Reads a platform's configuration documents. */
export interface DocumentDialect {
  /** @throws {FindingsError} with all problems of the document. */
  readPlan: (text: string) => RoutePlan;
}
