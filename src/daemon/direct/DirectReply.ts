/** Writing of the one answer of a request to its caller. */
import type { ServerResponse } from 'node:http';
import { RequestError } from '../../protocol/index.js';
import type { WholeAnswer } from './DirectAttempt.js';

/** The answer to a request that endpoints have ended under: until it is forgotten no try makes sense. */
export function quarantined(): RequestError {
  return new RequestError('quarantined', 'endpoints have ended while they ran this request');
}

/** Whose head an answer bears. */
export type ReplyHead = 'endpoint' | 'own';

/** What a caller was sent. */
export interface ReplyAccount {
  /** Null where no head was written. */
  readonly status: number | null;
  /** Null where neither an endpoint nor this process gave one. */
  readonly head: ReplyHead | null;
  /** Bytes of the body. */
  readonly bytes: number;
}

/** Status and headers of an answer, as its caller gets them. */
export interface ReplyStart {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
}

/** The answer of one request: every byte that its caller gets is written here. */
export class DirectReply {
  readonly #res: ServerResponse;

  #head: ReplyHead | null = null;

  #bytes = 0;

  constructor(res: ServerResponse) {
    this.#res = res;
  }

  /** Whether the caller has been sent the head of a stream. */
  get begun(): boolean {
    return this.#head === 'endpoint';
  }

  /** Whether nothing can be written to the caller any more. */
  get isClosed(): boolean {
    return this.#res.destroyed;
  }

  get account(): ReplyAccount {
    const { headersSent, statusCode } = this.#res;
    return { status: headersSent ? statusCode : null, head: this.#head, bytes: this.#bytes };
  }

  /** Registers what is called once the caller's connection, or the answer, has ended; returns its undo. */
  registerClose(onClose: () => void): () => void {
    this.#res.once('close', onClose);
    return () => this.#res.off('close', onClose);
  }

  /** Passes events of an endpoint's stream on; the first ones bring its head along. */
  passEvents(start: ReplyStart, bytes: Buffer): void {
    if (!this.begun) {
      this.#writeHead('endpoint', start);
    }
    this.#bytes += bytes.length;
    this.#res.write(bytes);
  }

  /** Ends a stream that is whole. One without an event, as after its last one, has its head only now. */
  endStream(start: ReplyStart): void {
    if (!this.begun) {
      this.#writeHead('endpoint', start);
    }
    this.#res.end();
  }

  /** Passes an endpoint's whole answer on, byte for byte. */
  passWhole({ body }: WholeAnswer, { status, headers }: ReplyStart): void {
    const framed = [...headers, 'Content-Length', String(body.length)];
    this.#writeHead('endpoint', { status, headers: framed });
    this.#end(body);
  }

  /**
   * Answers with an error of our own, unless an answer has begun.
   *
   * @param retryAfterMs when the caller may come back.
   */
  refuse(error: RequestError, retryAfterMs: number | null, isLeaving: boolean): void {
    if (this.#res.destroyed || this.#res.headersSent) {
      return;
    }
    const body = Buffer.from(JSON.stringify(error.toBody()));
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (retryAfterMs !== null) {
      headers.push('Retry-After', (retryAfterMs / 1_000).toFixed(2));
    }
    if (isLeaving) {
      headers.push('Connection', 'close');
    }
    this.#writeHead('own', { status: error.status, headers });
    this.#end(body);
  }

  /** Ends a stream without its last chunk, which tells the caller that it isn't whole. */
  cut(): void {
    this.#res.destroy();
  }

  #writeHead(head: ReplyHead, { status, headers }: ReplyStart): void {
    this.#res.writeHead(status, [...headers]);
    this.#head = head;
  }

  #end(body: Buffer): void {
    this.#bytes += body.length;
    this.#res.end(body);
  }
}
