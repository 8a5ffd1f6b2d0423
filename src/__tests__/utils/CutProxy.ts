/** A proxy in front of a server that breaks its answers off after a number of bytes. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** Address of a server. */
interface Target {
  readonly host: string;
  readonly port: number;
}

const END_IN_ORDER = (socket: Socket): void => {
  socket.end();
};

/** Passes on connections; `maxBytes` and `end` may be changed between requests. */
export class CutProxy {
  /** Number of bytes of an answer that are passed on before its connection is ended. */
  maxBytes = Infinity;

  end: (socket: Socket) => void = END_IN_ORDER;

  /** Number of bytes of the longest answer so far. */
  longest = 0;

  readonly #sockets = new Set<Socket>();

  readonly #server;

  constructor(target: Target) {
    this.#server = createServer((socket) => this.#pass(socket, connect(target)));
  }

  async start(): Promise<number> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return (this.#server.address() as AddressInfo).port;
  }

  stop(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #pass(socket: Socket, upstream: Socket): void {
    let passed = 0;
    let isCut = false;
    [socket, upstream].forEach((each) => {
      this.#sockets.add(each);
      each.on('error', () => undefined);
      each.on('close', () => this.#sockets.delete(each));
    });
    socket.on('data', (bytes) => {
      // Begins a request, as callers send none before the one before is answered.
      passed = 0;
      if (!isCut) {
        upstream.write(bytes);
      }
    });
    upstream.on('data', (bytes) => {
      if (isCut) {
        return;
      }
      const part = bytes.subarray(0, this.maxBytes - passed);
      passed += part.length;
      this.longest = Math.max(this.longest, passed);
      socket.write(part);
      if (passed >= this.maxBytes) {
        isCut = true;
        this.end(socket);
        upstream.destroy();
      }
    });
    upstream.on('end', () => socket.end());
    socket.on('close', () => upstream.destroy());
  }
}
