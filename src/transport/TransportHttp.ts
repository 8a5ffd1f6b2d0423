/** HTTP servers and bodies, by koa. */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import type Koa from 'koa';
import getRawBody from 'raw-body';
import { RequestError } from '../protocol/index.js';
import type { Address } from './TransportAddress.js';

/** Largest body of a caller's request, in bytes. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Idle time of a kept-alive connection: longer than our clients', so that they close first. ms. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Serves a koa application until the signal; requests in progress are not cut by it. */
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
 * Reads a whole body.
 *
 * @throws {RequestError} if it is too large or breaks off.
 */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  try {
    return await getRawBody(req, { limit: MAX_BODY_BYTES });
  } catch (err) {
    throw new RequestError('bad_request', `body: ${(err as Error).message}`);
  }
}

/** A header's single value. */
export function headerOf(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
