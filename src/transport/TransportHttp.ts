/** HTTP servers with koa, and reading of bodies and headers. */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import type Koa from 'koa';
import getRawBody from 'raw-body';
import { RequestError } from '../protocol/index.js';
import type { Address } from './TransportAddress.js';

/** Maximum size of a request body where nothing else is configured, in bytes. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;

/**
 * Maximum size of an answer that isn't a stream, in bytes. It is held until it is complete, and may come without end.
 */
export const MAX_ANSWER_BYTES = 64 * 1_048_576;

/** How long idle connections are kept, ms: longer than our clients do, so that they close first. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Serves a koa application until the signal aborts; requests in progress are completed. */
export async function serveHttp(app: Koa, address: Address, signal: AbortSignal): Promise<Server> {
  const handler = app.callback();
  const server = createServer((req, res) => {
    handler(req, res).catch(() => res.destroy());
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.requestTimeout = 0;
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

/**
 * Reads a complete body of at most `maxBytes`.
 *
 * @throws {RequestError} if it is too large or incomplete.
 */
export async function readBody(req: IncomingMessage, maxBytes = MAX_BODY_BYTES): Promise<Buffer> {
  try {
    return await getRawBody(req, { limit: maxBytes });
  } catch (err) {
    const isTooLarge = (err as { readonly type?: string }).type === 'entity.too.large';
    const message = `body: ${(err as Error).message}`;
    throw new RequestError(isTooLarge ? 'too_large' : 'bad_request', message);
  }
}

/** Value of a header; the first one if it has several. */
export function headerOf(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
