/** The endpoint's side of a connection, which writes rendered answers and records the bytes. */
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { ConnectionEnd } from './FuzzReader.js';
import type { RenderedAnswer } from './FuzzRender.js';

/** Data that an endpoint has sent on one connection, and how it ended the connection. */
export interface FuzzSentData {
  readonly bytes: Buffer;
  readonly end: ConnectionEnd;
}

/** One connection with a record of the written bytes. */
export class EndpointConnection implements FuzzSentData {
  readonly #socket: Socket;

  readonly #written: Buffer[] = [];

  #end: ConnectionEnd = 'open';

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  get bytes(): Buffer {
    return Buffer.concat(this.#written);
  }

  get end(): ConnectionEnd {
    return this.#end;
  }

  write(bytes: Buffer): void {
    if (this.#isOpen && bytes.length > 0) {
      this.#written.push(bytes);
      this.#socket.write(bytes);
    }
  }

  /** Writes an answer in its pieces, then ends the connection as the answer says. */
  async writeAnswer({ writes, end }: RenderedAnswer): Promise<void> {
    // eslint-disable-next-line no-restricted-syntax -- one write after the other
    for (const { bytes, pauseMs } of writes) {
      if (pauseMs > 0) {
        // eslint-disable-next-line no-await-in-loop
        await delay(pauseMs);
      }
      this.write(bytes);
    }
    this.#finish(end);
  }

  #finish(end: RenderedAnswer['end']): void {
    if (!this.#isOpen || end === 'keep') {
      return;
    }
    this.#end = end;
    if (end === 'fin') {
      this.#socket.end();
    } else {
      this.#socket.resetAndDestroy();
    }
  }

  get #isOpen(): boolean {
    return this.#end === 'open' && !this.#socket.destroyed;
  }
}
