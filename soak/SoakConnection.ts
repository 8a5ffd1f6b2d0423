/** A caller's connection to an entry host. It shows what Node's client hides: stray bytes, and what is still open. */
import { connect, type Socket } from 'node:net';
import { SoakAnswerReader } from './SoakAnswerReader.js';
import { eventsOf } from './SoakStream.js';
import type { SoakEnd } from './SoakTypes.js';

/** What is sent, and how long and how far the caller reads. */
export interface SoakCall {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly patienceMs: number;
  /** Events after which the caller breaks off; null for never. */
  readonly leaveAfter: number | null;
}

/** What came of it. */
export interface SoakExchange {
  readonly end: SoakEnd;
  /** 0 where no head came. */
  readonly status: number;
  readonly body: string;
  readonly header: (name: string) => string | null;
  /** Bytes that belong to no answer. */
  readonly stray: string;
}

interface Pending {
  readonly reader: SoakAnswerReader;
  readonly leaveAfter: number | null;
  readonly settle: (end: SoakEnd) => void;
}

/** Most of stray bytes that is kept. */
const MOST_STRAY = 200;

function textOf({ path, headers, body }: SoakCall): string {
  const lines = Object.entries({ ...headers, 'content-length': String(body.length) });
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return `POST ${path} HTTP/1.1\r\n${head}\r\n${body}`;
}

/** One connection, with one request at a time. */
export class SoakConnection {
  readonly #socket: Socket;

  #pending: Pending | null = null;

  #stray = '';

  #isClosed = false;

  constructor({ host, port }: { readonly host: string; readonly port: number }) {
    // Half open: that the other end says no more doesn't tell that its process is gone.
    this.#socket = connect({ host, port, allowHalfOpen: true, noDelay: true });
    this.#socket.on('data', (data: Buffer) => this.#onData(data.toString('latin1')));
    this.#socket.on('end', () => this.#onEnd());
    this.#socket.on('error', () => this.#onClose());
    this.#socket.on('close', () => this.#onClose());
  }

  /** Whether a request can still be written to it. */
  get isOpen(): boolean {
    return !this.#isClosed && this.#socket.writable;
  }

  close(): void {
    this.#isClosed = true;
    this.#socket.destroy();
  }

  /** Sends one request and reads what comes, until its end, a break, enough events or the end of patience. */
  async call(call: SoakCall): Promise<SoakExchange> {
    const reader = new SoakAnswerReader();
    const end = await new Promise<SoakEnd>((resolve) => {
      const timer = setTimeout(() => resolve('deadline'), call.patienceMs);
      const settle = (how: SoakEnd): void => {
        clearTimeout(timer);
        resolve(how);
      };
      this.#pending = { reader, leaveAfter: call.leaveAfter, settle };
      if (this.isOpen) {
        this.#socket.write(textOf(call));
      } else {
        settle('broken');
      }
    });
    this.#pending = null;
    this.#stray += reader.isGarbled ? 'garbled answer' : reader.rest;
    const stray = this.#stray.slice(0, MOST_STRAY);
    this.#stray = '';
    if (end === 'left' || end === 'deadline' || reader.header('connection') === 'close') {
      this.close();
    }
    const { status, body } = reader;
    return { end, status, body, header: (name) => reader.header(name), stray };
  }

  #onData(text: string): void {
    if (this.#pending === null) {
      this.#stray += text;
      return;
    }
    const { reader, leaveAfter, settle } = this.#pending;
    reader.feed(text);
    if (leaveAfter !== null && eventsOf(reader.body).length >= leaveAfter) {
      settle('left');
    } else if (reader.isWhole) {
      settle('whole');
    } else if (reader.isGarbled) {
      settle('broken');
    }
  }

  #onEnd(): void {
    if (this.#pending === null) {
      this.close();
      return;
    }
    const { reader, settle } = this.#pending;
    reader.end();
    if (reader.isWhole) {
      this.close();
      settle('whole');
    } else if (reader.status > 0) {
      settle('broken');
    } else {
      this.#socket.end();
    }
  }

  #onClose(): void {
    this.#isClosed = true;
    this.#pending?.settle('broken');
  }
}
