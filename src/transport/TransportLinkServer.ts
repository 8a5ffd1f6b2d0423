/** Server that accepts links. */
import { createServer, type Server } from 'node:net';
import type { Address } from './TransportAddress.js';
import { TransportLink, type LinkHandlers, type LinkSwitch } from './TransportLink.js';

/** Options of a link server. */
export interface LinkServerOptions {
  readonly address: Address;
  readonly handlers: LinkHandlers;
  readonly signal: AbortSignal;
  readonly isCut?: LinkSwitch;
  /** Called with each link that ended. */
  readonly onClosed?: (link: TransportLink) => void;
}

/** Accepts links until the signal aborts, then closes them all. */
export async function serveLinks(options: LinkServerOptions): Promise<Server> {
  const { address, handlers, signal, isCut, onClosed } = options;
  const links = new Set<TransportLink>();
  const server = createServer((socket) => {
    const link = new TransportLink(socket, '', handlers, isCut);
    links.add(link);
    link.closed
      .then(() => {
        links.delete(link);
        onClosed?.(link);
      })
      .catch(() => undefined);
  });
  signal.addEventListener('abort', () => {
    server.close();
    links.forEach((link) => link.close());
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host: address.host, port: address.port }, resolve);
  });
  return server;
}
