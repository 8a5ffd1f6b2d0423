/** A TCP server of a test, and endless input for what reads from it. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type { Writable } from 'node:stream';

/** Writes a piece again and again, as fast as it is taken, until the other side closes. */
export function writeEndlessly(out: Writable, piece: Buffer): void {
  const write = (): void => {
    while (out.writable && out.write(piece)) {
      // Until the buffer is full.
    }
  };
  out.on('drain', write);
  write();
}

/** A server on loopback whose connections end with it. */
export class LoopbackServer {
  readonly #sockets = new Set<Socket>();

  readonly #server: Server;

  constructor(onConnection: (socket: Socket) => void) {
    this.#server = createServer((socket) => {
      this.track(socket);
      onConnection(socket);
    });
  }

  /** Connections that are open. */
  get sockets(): readonly Socket[] {
    return [...this.#sockets];
  }

  /** Starts to listen; returns the port. */
  async start(): Promise<number> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return (this.#server.address() as AddressInfo).port;
  }

  /** Ignores the errors of a connection, and destroys it when the server stops. */
  track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.#sockets.delete(socket));
  }

  stop(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }
}
