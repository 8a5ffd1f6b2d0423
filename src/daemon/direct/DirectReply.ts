/** Writing of the one answer of a request to its caller. */
import type { ServerResponse } from 'node:http';
import { RequestError } from '../../protocol/index.js';
import type { WholeAnswer } from './DirectAttempt.js';
import { ReplyError } from './DirectReplyError.js';

/** The answer to a request that endpoints have ended under: until it is forgotten no try makes sense. */
export function quarantineError(): RequestError {
  return new RequestError('quarantined', 'endpoints have ended while they ran this request');
}

/** Whose head an answer bears: the endpoint's, an error's of this process, one that the HTTP library made up. */
export type HeadSource = 'endpoint' | 'own' | 'library';

/** What a caller was sent. */
export interface ReplySummary {
  /** Null where no head was sent, as to a caller that has left. */
  readonly status: number | null;
  readonly head: HeadSource | null;
  /** Bytes of the body. */
  readonly bytes: number;
}

/** Status and headers of an answer, as its caller gets them. */
export interface ReplyStart {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
}

/** Statuses of answers that have no body (RFC 9110, section 6.4.1). */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Length that an endpoint has put on an answer without a body; null where there is none, as ever with 204. */
function declaredLength(status: number, raw: readonly string[]): string | null {
  const at = raw.findIndex((name, i) => i % 2 === 0 && name.toLowerCase() === 'content-length');
  return status === 204 || at < 0 ? null : (raw[at + 1] ?? null);
}

/** The answer of one request: every byte that its caller gets is written here. */
export class DirectReply {
  readonly #res: ServerResponse;

  #head: HeadSource | null = null;

  #bytes = 0;

  constructor(res: ServerResponse) {
    this.#res = res;
  }

  /** Whether the caller has been sent the head of a stream. */
  get streamStarted(): boolean {
    return this.#head === 'endpoint';
  }

  /** Whether nothing can be written to the caller any more. */
  get isClosed(): boolean {
    return this.#res.destroyed;
  }

  get summary(): ReplySummary {
    const { headersSent, statusCode } = this.#res;
    return headersSent
      ? { status: statusCode, head: this.#head ?? 'library', bytes: this.#bytes }
      : { status: null, head: null, bytes: 0 };
  }

  /**
   * Registers what is called once the caller's connection, or the answer, has ended; returns its undo. An answer
   * that waits behind others on its connection hears nothing of the end of that itself.
   */
  registerClose(onClose: () => void): () => void {
    const { socket } = this.#res.req;
    this.#res.once('close', onClose);
    socket.once('close', onClose);
    return () => {
      this.#res.off('close', onClose);
      socket.off('close', onClose);
    };
  }

  /** Begins a stream: its endpoint's head goes to the caller. */
  begin(start: ReplyStart): void {
    this.#writeHead('endpoint', start);
    this.#watchHalfClose();
  }

  /** Passes events of a stream that has begun on. */
  passEvents(bytes: Buffer): void {
    this.#assertBegun();
    this.#bytes += bytes.length;
    this.#res.write(bytes);
  }

  /** Ends a stream that is whole. */
  endStream(): void {
    this.#assertBegun();
    this.#res.end();
  }

  /** Passes an endpoint's whole answer on, byte for byte. */
  passWhole(
    { status, headers }: ReplyStart,
    { raw, body }: Pick<WholeAnswer, 'raw' | 'body'>,
  ): void {
    const isBodyless = this.#res.req.method === 'HEAD' || BODYLESS_STATUSES.has(status);
    // Without a body the length is that of another answer, and the endpoint alone knows it.
    const length = isBodyless ? declaredLength(status, raw) : String(body.length);
    const framed = length === null ? headers : [...headers, 'Content-Length', length];
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

  /**
   * Ends a stream so that it can't look whole: without its last chunk, or by a reset for a caller of HTTP/1.0, whose
   * streams end with the connection.
   */
  cut(): void {
    if (this.#isCloseDelimited) {
      this.#res.socket?.resetAndDestroy();
    }
    this.#res.destroy();
  }

  /** Without a head of ours the HTTP library sends one of its own, which tells of a success. */
  #assertBegun(): void {
    if (!this.streamStarted) {
      throw new ReplyError('a stream goes on that has no head');
    }
  }

  /** Whether the end of the connection is the end of the answer. */
  get #isCloseDelimited(): boolean {
    return this.#res.headersSent && !this.#res.chunkedEncoding && this.#head === 'endpoint';
  }

  /** The HTTP server ends the connection of a caller that has ended its side, answered or not; this comes first. */
  #watchHalfClose(): void {
    if (this.#isCloseDelimited) {
      this.#res.socket?.prependOnceListener('end', () => {
        if (!this.#res.writableEnded) {
          this.cut();
        }
      });
    }
  }

  #writeHead(head: HeadSource, { status, headers }: ReplyStart): void {
    this.#res.writeHead(status, [...headers]);
    this.#head = head;
  }

  #end(body: Buffer): void {
    this.#bytes += body.length;
    this.#res.end(body);
  }
}
