/** One attempt of a request at an endpoint: sends it and sorts what comes back. */
import type { IncomingHttpHeaders } from 'node:http';
import { isNotRunStatus, type DirectFailure } from '../../coordination/index.js';
import type { AnswerHead, HttpDialect } from '../../protocol/index.js';
import {
  findEvents,
  startCall,
  type CallListener,
  type EndpointPool,
  type OutgoingCall,
  type RunningCall,
} from '../../transport/index.js';

/** Head of an endpoint's answer; `raw` are its headers as they came, names and values in turn. */
export interface AttemptHead {
  readonly head: AnswerHead;
  readonly raw: readonly string[];
}

/** Answer of an endpoint that is passed on whole. */
export interface WholeAnswer extends AttemptHead {
  readonly body: Buffer;
}

/** Why an attempt came to nothing. */
export interface AttemptFailure {
  readonly failure: DirectFailure;
  readonly reason: string;
  /** The endpoint's own failure, to be passed on if nothing better follows. */
  readonly answer: WholeAnswer | null;
  /** Instance to blame where the endpoint names another. */
  readonly faultyInstance: string | null;
  /** Whether another instance now has the endpoint's address. */
  readonly wrongInstance: boolean;
  /** Whether the connection ended under the request: a lost one, or the end of the endpoint. */
  readonly connectionLost: boolean;
}

/** What a request hears of its attempt. */
export interface AttemptListener {
  /** Asked right before the first byte leaves; false keeps it from leaving. */
  onStart: () => boolean;
  /** The head of the endpoint's answer to this request has come. */
  onHead: (head: AnswerHead) => void;
  /** Whole events of a stream, one or more, and the head of its answer. */
  onEvents: (bytes: Buffer, answer: AttemptHead) => void;
  /** The stream has ended after a whole event, or without any. */
  onStreamEnd: (answer: AttemptHead) => void;
  onWhole: (answer: WholeAnswer) => void;
  onFailure: (failure: AttemptFailure) => void;
}

/** What an attempt needs. */
export interface AttemptOptions {
  readonly pool: EndpointPool;
  readonly call: OutgoingCall;
  readonly dialect: HttpDialect;
  /** Id that the answer must echo. */
  readonly id: string;
  readonly listener: AttemptListener;
}

const FIRST_ERROR_STATUS = 500;

/** A running attempt; it reports once how it ended, and nothing after `abort`. */
export class DirectAttempt implements CallListener {
  readonly #options: AttemptOptions;

  readonly #running: RunningCall;

  #head: AnswerHead | null = null;

  #raw: readonly string[] = [];

  #chunks: Buffer[] = [];

  #isOver = false;

  #wasHeldBack = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.#running = startCall(options.pool, options.call, this);
  }

  /** Gives it up; its connection is closed, so that the endpoint stops work on it. */
  abort(): void {
    this.#isOver = true;
    this.#running.abort();
  }

  onStart(): boolean {
    this.#wasHeldBack = !this.#options.listener.onStart();
    return !this.#wasHeldBack;
  }

  /**
   * Checks that the answer is this request's own.
   *
   * Failure: an endpoint sends a second answer late, or bytes behind an answer. Symptom: they stand
   * where the next answer on the connection is due, and a caller reads another's. Enough: the answer
   * must echo the request's id; one that doesn't ends the connection, and its request is lost.
   */
  onHead(status: number, headers: IncomingHttpHeaders, raw: readonly string[]): void {
    const { dialect, id } = this.#options;
    const head = dialect.readAnswer(status, headers);
    if (head.id !== id && !(head.id === null && head.notRun)) {
      this.#fail('lost', `the answer is for request "${head.id ?? ''}"`);
      return;
    }
    if (status < 400 && !head.sealed) {
      this.#fail('lost', 'the answer bears no seal of the endpoint');
      return;
    }
    this.#head = head;
    this.#raw = raw;
    this.#options.listener.onHead(head);
  }

  onData(chunk: Buffer): void {
    this.#chunks.push(chunk);
    if (this.#isStream) {
      this.#passEvents();
    }
  }

  onEnd(): void {
    const head = this.#head;
    if (this.#isOver || head === null) {
      return;
    }
    const raw = this.#raw;
    if (this.#isStream) {
      this.#endStream({ head, raw });
      return;
    }
    const answer = { head, raw, body: Buffer.concat(this.#chunks) };
    if (head.notRun) {
      this.#fail('notRun', `status ${head.status}`, answer);
    } else if (isNotRunStatus(head.status)) {
      // Passed on, it would promise the caller what the endpoint hasn't said.
      this.#fail('lost', `status ${head.status} without the word that it has not run`);
    } else if (head.status >= FIRST_ERROR_STATUS || !head.sealed) {
      this.#fail('failed', `status ${head.status}`, answer);
    } else {
      this.#isOver = true;
      this.#options.listener.onWhole(answer);
    }
  }

  onError(err: Error, sent: boolean): void {
    const failureAfterSend = this.#head === null ? 'lost' : 'broken';
    const failureBeforeSend = this.#wasHeldBack ? 'heldBack' : 'unsent';
    this.#fail(sent ? failureAfterSend : failureBeforeSend, err.message, null, sent);
  }

  get #isStream(): boolean {
    return this.#head !== null && this.#head.isStream && this.#head.status < 300;
  }

  /** Passes whole events on: one that breaks off in the middle must not reach the caller. */
  #passEvents(): void {
    const data = this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
    const head = this.#head;
    if (data === undefined || head === null || this.#isOver) {
      return;
    }
    const { end } = findEvents(data);
    this.#chunks = end < data.length ? [data.subarray(end)] : [];
    if (end > 0) {
      this.#options.listener.onEvents(data.subarray(0, end), { head, raw: this.#raw });
    }
  }

  #endStream(answer: AttemptHead): void {
    if (this.#chunks.length > 0) {
      this.#fail('broken', 'the stream ended inside an event');
      return;
    }
    this.#isOver = true;
    this.#options.listener.onStreamEnd(answer);
  }

  #fail(
    failure: DirectFailure,
    reason: string,
    answer: WholeAnswer | null = null,
    connectionLost = false,
  ): void {
    if (this.#isOver) {
      return;
    }
    this.abort();
    this.#options.listener.onFailure({
      failure,
      reason,
      answer,
      faultyInstance: answer?.head.faultyInstance ?? null,
      wrongInstance: answer?.head.wrongInstance ?? false,
      connectionLost,
    });
  }
}
