/** HTTP servers with koa, and reading of bodies and headers. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type Koa from 'koa';
import { RequestError } from '../protocol/index.js';
import type { Address } from './TransportAddress.js';
import { ByteCollector } from './TransportBytes.js';
import { ChunkReader, type ReadDelay } from './TransportChunks.js';
import { ConnectionGuard, type ConnectionBounds } from './TransportConnections.js';
import { CoalescedRequest } from './TransportRequest.js';
import { LingeringResponse } from './TransportResponse.js';

/** Maximum size of a request body where nothing else is configured, in bytes. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;

/**
 * Maximum size of an answer that isn't a stream, in bytes. It is held until it is complete, and may come without end.
 */
export const MAX_ANSWER_BYTES = 64 * 1_048_576;

/** How long idle connections are kept, ms: longer than our clients do, so that they close first. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Handles one request. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Bounds of a server whose descriptors aren't limited. */
const DEFAULT_BOUNDS: ConnectionBounds = { maxConnections: null, onClosed: () => undefined };

/**
 * Creates a server whose clients may send bodies in chunks of any size, and get a response before their end, within
 * bounds on their connections.
 */
export function createHttpServer(
  options: ServerOptions,
  handler: RequestHandler,
  bounds = DEFAULT_BOUNDS,
): Server {
  const server: Server = createServer({
    ...options,
    IncomingMessage: CoalescedRequest,
    // The server passes its own class of requests, which the type of the option can't tell.
    ServerResponse: LingeringResponse as unknown as typeof ServerResponse,
  });
  const guard = new ConnectionGuard(server, bounds);
  server.on('request', (req, res) => {
    if (guard.admit(req, res)) {
      handler(req, res);
    }
  });
  // Readers of bodies have time limits of their own.
  server.requestTimeout = 0;
  return server;
}

/** Serves a koa application until the signal aborts; requests in progress are completed. */
export async function serveHttp(
  app: Koa,
  address: Address,
  signal: AbortSignal,
  bounds = DEFAULT_BOUNDS,
): Promise<Server> {
  const handler = app.callback();
  const onRequest: RequestHandler = (req, res) => {
    handler(req, res).catch(() => res.destroy());
  };
  const server = createHttpServer({}, onRequest, bounds);
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  signal.addEventListener('abort', () => {
    server.close();
    server.closeIdleConnections();
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host: address.host, port: address.port }, resolve);
  });
  return server;
}

/** Options of {@link readBody}. */
export interface BodyOptions {
  /** Maximum size in bytes; {@link MAX_BODY_BYTES} by default. */
  readonly maxBytes?: number | undefined;
  /** Limits the rate of chunks; without a limit, other work still gets its turn. */
  readonly delay?: ReadDelay;
  /** Called with the number of bytes held of the body after each change. */
  readonly onHeld?: (bytes: number) => void;
  /** Ends reading; its reason is thrown. */
  readonly signal?: AbortSignal;
}

/** Size of a body by its head, in bytes; 0 if it isn't declared. */
function declaredBytes(req: IncomingMessage): number {
  return Number(req.headers['content-length'] ?? 0);
}

/**
 * Reads a complete body. What is held of one that is refused is dropped at once.
 *
 * @throws {RequestError} if it is too large or incomplete.
 */
export async function readBody(
  req: IncomingMessage,
  {
    maxBytes = MAX_BODY_BYTES,
    delay = () => 0,
    onHeld = () => undefined,
    signal,
  }: BodyOptions = {},
): Promise<Buffer> {
  const tooLarge = new RequestError('too_large', `body: more than ${maxBytes} bytes`);
  if (declaredBytes(req) > maxBytes) {
    throw tooLarge;
  }
  const body = new ByteCollector();
  const coalesced = req instanceof CoalescedRequest ? req : null;
  const reportHeld = (): void => onHeld(body.capacity + req.readableLength);
  let unregister: () => void = () => undefined;
  try {
    await new Promise<void>((resolve, reject) => {
      const reader = new ChunkReader({
        source: req,
        delay,
        onBytes: (bytes) => {
          body.add(bytes);
          if (body.length > maxBytes) {
            reject(tooLarge);
          }
          reportHeld();
        },
      });
      const onData = (chunk: Buffer): void => reader.add(chunk, coalesced?.takeChunkCount() ?? 1);
      const onAbort = (): void => {
        reject(signal?.reason);
      };
      unregister = () => {
        reader.stop();
        req.off('data', onData);
        signal?.removeEventListener('abort', onAbort);
        coalesced?.setArrivalListener(null);
      };
      coalesced?.setArrivalListener(reportHeld);
      signal?.addEventListener('abort', onAbort);
      req.on('data', onData);
      req.once('end', () => {
        reader.end();
        resolve();
      });
      req.once('error', (err) => reject(new RequestError('bad_request', `body: ${err.message}`)));
      req.once('close', () =>
        reject(new RequestError('bad_request', 'body: the connection was closed')),
      );
    });
  } catch (err) {
    unregister();
    body.clear();
    req.pause();
    throw err;
  }
  unregister();
  return body.take();
}

/** Value of a header; the first one if it has several. */
export function headerOf(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
