/** Data of a case, which can be printed as JSON, shrunk, and kept as a regression. */

/**
 * Routes of the entry under test: `ask` is idempotent and `hold` isn't; `stream` is a resumable stream and `fixed` one
 * that can't be resumed.
 */
export type FuzzRoute = 'ask' | 'hold' | 'stream' | 'fixed';

/** Routes whose requests must not run more than once. */
export const NON_REPEATABLE_ROUTES: ReadonlySet<FuzzRoute> = new Set(['hold', 'fixed']);

/** Routes whose answers are streams of events. */
export const STREAM_ROUTES: ReadonlySet<FuzzRoute> = new Set(['stream', 'fixed']);

/** Kind of an endpoint's answer before any change; a `drop` ends the connection without running the request. */
export type FuzzAnswerKind = 'plain' | 'stream' | 'failure' | 'refusal' | 'drop';

/** How an answer's body is framed; `close` ends it with its connection. */
export type FuzzFraming = 'length' | 'chunked' | 'close';

/** Part of an answer's bytes that an edit applies to; `size` is that of a chunk. */
export type FuzzRegion = 'status' | 'name' | 'value' | 'size' | 'event' | 'body';

/** An edit of bytes; `at` is the position as a fraction of all bytes of its region, from 0 to 1. */
export interface FuzzEdit {
  readonly kind: 'flip' | 'insert' | 'double' | 'drop';
  readonly region: FuzzRegion;
  readonly at: number;
  /** Mask of a flip, byte to insert, or number of bytes that are doubled or dropped. */
  readonly value: number;
}

/** Names of changes to the head; FuzzHead.ts defines what each does. */
export type FuzzHeadChange =
  | 'noSeal'
  | 'emptySeal'
  | 'twoSeals'
  | 'otherId'
  | 'noId'
  | 'emptyId'
  | 'ownIdThenOther'
  | 'otherIdThenOwn'
  | 'doubledLine'
  | 'foldedLine'
  | 'emptyLine'
  | 'bareLf'
  | 'nul'
  | 'hopSeal'
  | 'hopSealTwice'
  | 'hopId'
  | 'shortLength'
  | 'longLength'
  | 'twoLengths'
  | 'lengthAndChunks'
  | 'otherCoding'
  | 'codedChunks'
  | 'signedLength'
  | 'notRun'
  | 'statusNoContent'
  | 'statusUnmodified'
  | 'statusMoved'
  | 'statusMisdirected'
  | 'statusUnavailable'
  | 'statusError'
  | 'statusHigh'
  | 'interim'
  | 'interimTwice'
  | 'switching'
  | 'olderProtocol'
  | 'plainType'
  | 'eventType';

/** A cut of an answer at a fraction of its bytes, from 0 to 1; after a `stall` the connection stays open. */
export interface FuzzCut {
  readonly at: number;
  readonly by: 'fin' | 'reset' | 'stall';
}

/** Unsolicited answer after the proper one. */
export interface FuzzExtra {
  /** Together with the proper one, shortly after it, or once the next request is received on the connection. */
  readonly when: 'same' | 'soon' | 'next';
  /** Its id: that of the answered request, that of the previous request on the connection, or none. */
  readonly id: 'same' | 'earlier' | 'none';
  readonly kind: Exclude<FuzzAnswerKind, 'drop'>;
}

/** Script of an endpoint's answer to one arrival of a request. */
export interface FuzzAnswer {
  readonly kind: FuzzAnswerKind;
  readonly framing: FuzzFraming;
  /** Bytes of a body, or events of a complete stream. */
  readonly size: number;
  readonly head: readonly FuzzHeadChange[];
  readonly edits: readonly FuzzEdit[];
  readonly cut: FuzzCut | null;
  readonly extras: readonly FuzzExtra[];
  /** Fractions from 0 to 1 at which the bytes are split into several writes, with `pauseMs` between them. */
  readonly splits: readonly number[];
  readonly pauseMs: number;
  /** How the endpoint ends its connection after an answer without a cut. */
  readonly end: 'keep' | 'fin' | 'reset';
}

/** A caller's request and the answers of endpoints to its arrivals, in order. */
export interface FuzzRequest {
  readonly route: FuzzRoute;
  /** Size of its body in bytes; 0 for none. */
  readonly size: number;
  readonly isChunked: boolean;
  readonly splits: readonly number[];
  readonly pauseMs: number;
  /** Last-Event-Id that the request sends; null for none. */
  readonly lastEvent: number | null;
  /** Whether it is sent without waiting for the answer to the previous request. */
  readonly isPipelined: boolean;
  readonly answers: readonly FuzzAnswer[];
}

/** Requests of one caller through one entry to a number of endpoints. */
export interface FuzzCase {
  readonly endpoints: number;
  readonly requests: readonly FuzzRequest[];
}

/** One write to a connection, after a pause. */
export interface FuzzWrite {
  readonly bytes: Buffer;
  readonly pauseMs: number;
}
