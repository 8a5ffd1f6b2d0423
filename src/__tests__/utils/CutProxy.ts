/** A proxy in front of a server that breaks its answers off after a number of bytes. */
import { connect, type Socket } from 'node:net';
import { LoopbackServer } from './LoopbackServer.js';

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

  readonly #server: LoopbackServer;

  constructor(target: Target) {
    this.#server = new LoopbackServer((socket) => this.#pass(socket, connect(target)));
  }

  async start(): Promise<number> {
    return this.#server.start();
  }

  stop(): void {
    this.#server.stop();
  }

  #pass(socket: Socket, upstream: Socket): void {
    let passed = 0;
    let isCut = false;
    this.#server.track(upstream);
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
