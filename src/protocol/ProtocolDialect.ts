/** How a platform's callers and endpoints speak; its adapter implements this and decides nothing. */
import type { IncomingHttpHeaders } from 'node:http';
import type { RoutePlan } from './ProtocolRoutes.js';

/** Header names and values in turn, as they stand on the wire. */
export type RawHeaders = readonly string[];

/** What a caller's request says beside its method, path and body. */
export interface RequestHead {
  /** Id of this request, given by the caller; empty if it gave none. */
  readonly id: string;
  /** Time that the caller waits, ms; null if it doesn't say. */
  readonly deadlineMs: number | null;
  /** Key that names the customer; null for none. */
  readonly key: string | null;
  /** Tokens of the prompt, and of the answer at most; null where it isn't said. */
  readonly tokens: { readonly prompt: number; readonly answer: number } | null;
  /** The caller's own guess at the tokens of the answer; null for none. */
  readonly expectedTokens: number | null;
  /** Last event that the caller has of a stream that it resumes; null for a new one. */
  readonly lastEvent: string | null;
}

/** What the system adds to a request that it passes on. */
export interface ForwardHead {
  /** The only instance that may run it. */
  readonly instance: string;
  /** Time left, ms. */
  readonly deadlineMs: number;
  /** Customer's name; null where the request needs no key. */
  readonly customer: string | null;
  /** Event after which a stream goes on; null for what the caller itself asked. */
  readonly resumeAfter: string | null;
}

/**
 * The requests a second that an endpoint takes from all entry hosts together, as one of its answers names them; `none`
 * where it names no limit, `unreadable` where it names one that is no number.
 */
export type AdvertisedLimit = number | 'none' | 'unreadable';

/** What the head of an endpoint's answer says. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the request that it answers, as the endpoint echoes it; null if it doesn't. */
  readonly id: string | null;
  /** Whether an endpoint vouches for it as its own. */
  readonly sealed: boolean;
  /** Whether it says that the request has not run and never will at this endpoint. */
  readonly notRun: boolean;
  /** Whether another instance than the one expected has answered. */
  readonly wrongInstance: boolean;
  /** Instance that is to blame for the failure, where another than the one that answered. */
  readonly faultyInstance: string | null;
  readonly isStream: boolean;
  readonly limit: AdvertisedLimit;
  /** Time for which an endpoint that refuses wants nothing from this host, ms; `unreadable` for no time. */
  readonly restMs: number | 'none' | 'unreadable';
  /** Whether the endpoint is about to end. */
  readonly isLeaving: boolean;
}

/** How a platform's HTTP messages are read and written. */
export interface HttpDialect {
  readRequest: (headers: IncomingHttpHeaders) => RequestHead;
  /** Headers of the request as it is passed on. */
  writeForward: (raw: RawHeaders, forward: ForwardHead) => string[];
  readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerHead;
  /** Headers of the answer as it is passed back, without those of one connection. */
  writeAnswer: (raw: RawHeaders) => string[];
  /** Id of a stream's event; null if it has none. */
  eventId: (event: Buffer) => string | null;
}

/** How a platform's configuration documents are read. */
export interface DocumentDialect {
  /** @throws {FindingsError} with all that is wrong with the document. */
  readPlan: (text: string) => RoutePlan;
}
