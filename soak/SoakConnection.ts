/** A caller's connection to an entry host. It shows what Node's client hides: stray bytes, and what is still open. */
import { connect, type Socket } from 'node:net';
import { SoakAnswerReader } from './SoakAnswerReader.js';
import { eventIdsOf } from './SoakStream.js';
import type { SoakOutcome } from './SoakTypes.js';

/** What is sent, and how long and how far the caller reads. */
export interface SoakCall {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly timeoutMs: number;
  /** Events after which the caller breaks off; null for never. */
  readonly abortAfter: number | null;
}

/** What came of it. */
export interface SoakCallResult {
  readonly outcome: SoakOutcome;
  /** 0 where no head came. */
  readonly status: number;
  readonly body: string;
  readonly header: (name: string) => string | null;
  /** Bytes that belong to no answer. */
  readonly stray: string;
}

interface PendingCall {
  readonly reader: SoakAnswerReader;
  readonly abortAfter: number | null;
  readonly settle: (outcome: SoakOutcome) => void;
}

/** Most of stray bytes that is kept. */
const MAX_STRAY_BYTES = 200;

function requestTextOf({ path, headers, body }: SoakCall): string {
  const lines = Object.entries({ ...headers, 'content-length': String(body.length) });
  const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return `POST ${path} HTTP/1.1\r\n${head}\r\n${body}`;
}

/** One connection, with one request at a time. */
export class SoakConnection {
  readonly #socket: Socket;

  #pending: PendingCall | null = null;

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
  async call(call: SoakCall): Promise<SoakCallResult> {
    const reader = new SoakAnswerReader();
    const outcome = await new Promise<SoakOutcome>((resolve) => {
      const timer = setTimeout(() => resolve('deadline'), call.timeoutMs);
      const settle = (how: SoakOutcome): void => {
        clearTimeout(timer);
        resolve(how);
      };
      this.#pending = { reader, abortAfter: call.abortAfter, settle };
      if (this.isOpen) {
        this.#socket.write(requestTextOf(call));
      } else {
        settle('broken');
      }
    });
    this.#pending = null;
    this.#stray += reader.isMalformed ? 'garbled answer' : reader.trailingText;
    const stray = this.#stray.slice(0, MAX_STRAY_BYTES);
    this.#stray = '';
    if (outcome === 'left' || outcome === 'deadline' || reader.header('connection') === 'close') {
      this.close();
    }
    const { status, body } = reader;
    return { outcome, status, body, header: (name) => reader.header(name), stray };
  }

  #onData(text: string): void {
    if (this.#pending === null) {
      this.#stray += text;
      return;
    }
    const { reader, abortAfter, settle } = this.#pending;
    reader.feed(text);
    if (abortAfter !== null && eventIdsOf(reader.body).length >= abortAfter) {
      settle('left');
    } else if (reader.isComplete) {
      settle('whole');
    } else if (reader.isMalformed) {
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
    if (reader.isComplete) {
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
