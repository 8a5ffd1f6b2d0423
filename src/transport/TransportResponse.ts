/** Responses that may be sent before the body of their request has been read. */
import { ServerResponse, type IncomingMessage } from 'node:http';
import { ChunkReader } from './TransportChunks.js';
import type { CoalescedRequest } from './TransportRequest.js';

/** How long, and how much of it, the rest of a body is read and dropped after an early response; chunks count in all. */
const LINGER_MS = 1_000;
const LINGER_BYTES = 16 * 1_048_576;
const LINGER_CHUNKS = 2_000;

/** Whether a request has a body that hasn't been received completely. */
function hasUnreadBody(req: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = req.headers;
  const hasBody = encoding !== undefined || (length !== undefined && length !== '0');
  return hasBody && !req.complete && !req.destroyed;
}

/**
 * A response that, ended while the body of its request is still being sent, is sent at once but keeps the connection
 * open until the rest of the body has been read and dropped, up to a limit.
 *
 * The operating system resets a connection that is closed with input left unread, and the response may then be lost.
 */
export class LingeringResponse extends ServerResponse<CoalescedRequest> {
  #isLingering = false;

  override end(...args: unknown[]): this {
    if (this.#isLingering || this.writableEnded || !hasUnreadBody(this.req)) {
      return super.end(...(args as []));
    }
    if (this.req.chunkCount > LINGER_CHUNKS) {
      this.#closeAfterwards();
      return super.end(...(args as []));
    }
    this.#isLingering = true;
    const [chunk] = args;
    if (typeof chunk === 'string' || chunk instanceof Uint8Array) {
      this.write(chunk);
    } else {
      this.flushHeaders();
    }
    this.#dropRest(() => super.end());
    return this;
  }

  #dropRest(end: () => void): void {
    const { req } = this;
    const over = new AbortController();
    const finish = (): void => over.abort();
    let bytes = 0;
    const reader = new ChunkReader({
      source: req,
      delay: () => 0,
      onBytes: (rest) => {
        bytes += rest.length;
        if (bytes > LINGER_BYTES || req.chunkCount > LINGER_CHUNKS) {
          finish();
        }
      },
    });
    const onData = (chunk: Buffer): void => reader.add(chunk, req.takeChunkCount());
    const timer = setTimeout(finish, LINGER_MS);
    req.on('data', onData).once('end', finish).once('close', finish);
    req.resume();
    over.signal.addEventListener('abort', () => {
      reader.stop();
      clearTimeout(timer);
      req.off('data', onData).off('end', finish).off('close', finish);
      if (!req.complete) {
        this.#closeAfterwards();
      }
      end();
    });
  }

  /** Closes the connection once the response is sent, as the rest of the body can't be told from a further request. */
  #closeAfterwards(): void {
    this.once('finish', () => this.req.socket.destroySoon());
  }
}
