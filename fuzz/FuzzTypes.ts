/** What a case is made of: plain data, so that it can be printed, shrunk and kept. */

/** Routes of the entry under test; the name tells what its requests may do. */
export type FuzzRoute = 'ask' | 'hold' | 'stream' | 'fixed';

/** Routes whose requests may run once only. */
export const NON_REPEATABLE_ROUTES: ReadonlySet<FuzzRoute> = new Set(['hold', 'fixed']);

/** Routes that are answered by events. */
export const STREAM_ROUTES: ReadonlySet<FuzzRoute> = new Set(['stream', 'fixed']);

/** What an endpoint makes of a request, before anything is changed; a `drop` ends the connection without a run. */
export type FuzzAnswerKind = 'plain' | 'stream' | 'failure' | 'refusal' | 'drop';

/** How an answer's body is framed. */
export type FuzzFraming = 'length' | 'chunked' | 'close';

/** Part of an answer's bytes that a change is aimed at. */
export type FuzzRegion = 'status' | 'name' | 'value' | 'size' | 'event' | 'body';

/** A change of bytes; `at` is the place in all bytes of its region, from 0 to 1. */
export interface FuzzEdit {
  readonly kind: 'flip' | 'insert' | 'double' | 'drop';
  readonly region: FuzzRegion;
  readonly at: number;
  /** Mask of a flip, byte to insert, or how many bytes are doubled or dropped. */
  readonly value: number;
}

/** A change of the head's lines, by name. */
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

/** How an answer breaks off: at a place of all its bytes, from 0 to 1. */
export interface FuzzCut {
  readonly at: number;
  readonly by: 'fin' | 'reset' | 'stall';
}

/** Answer that nobody has asked for, behind the proper one. */
export interface FuzzExtra {
  /** With the proper one, shortly after it, or once the next request has come on its connection. */
  readonly when: 'same' | 'soon' | 'next';
  /** Whose id it bears: that of the request before it, of the one before that, or none. */
  readonly id: 'same' | 'earlier' | 'none';
  readonly kind: Exclude<FuzzAnswerKind, 'drop'>;
}

/** An endpoint's answer to one arrival of a request. */
export interface FuzzAnswer {
  readonly kind: FuzzAnswerKind;
  readonly framing: FuzzFraming;
  /** Bytes of a plain body, or events of a whole stream. */
  readonly size: number;
  readonly head: readonly FuzzHeadChange[];
  readonly edits: readonly FuzzEdit[];
  readonly cut: FuzzCut | null;
  readonly extras: readonly FuzzExtra[];
  /** Places at which the bytes are written apart, from 0 to 1, and the pause there. */
  readonly splits: readonly number[];
  readonly pauseMs: number;
  /** How the endpoint ends its connection behind a whole answer. */
  readonly end: 'keep' | 'fin' | 'reset';
}

/** A caller's request, and what endpoints answer to its arrivals in turn. */
export interface FuzzRequest {
  readonly route: FuzzRoute;
  /** Bytes of its body; 0 for none. */
  readonly size: number;
  readonly isChunked: boolean;
  readonly splits: readonly number[];
  readonly pauseMs: number;
  /** Event after which a stream is to go on; null for its begin. */
  readonly lastEvent: number | null;
  /** Whether it is sent before the answer to the one before it has come. */
  readonly isPipelined: boolean;
  readonly answers: readonly FuzzAnswer[];
}

/** What is played between one caller and the endpoints of one entry. */
export interface FuzzCase {
  readonly endpoints: number;
  readonly requests: readonly FuzzRequest[];
}

/** One write to a connection, after a pause. */
export interface FuzzWrite {
  readonly bytes: Buffer;
  readonly pauseMs: number;
}
