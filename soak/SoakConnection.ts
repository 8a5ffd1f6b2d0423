/** A caller's connection to an entry host. Unlike Node's HTTP client it shows stray bytes and half-open states. */
import { connect, type Socket } from 'node:net';
import { SoakAnswerReader } from './SoakAnswerReader.js';
import { eventIdsOf } from './SoakStream.js';
import type { SoakOutcome } from './SoakTypes.js';

/** One request, and how long and how many events of the answer the caller reads. */
export interface SoakCall {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly timeoutMs: number;
  /** Events after which the caller aborts; null for never. */
  readonly abortAfter: number | null;
}

/** The outcome of a call, with as much of the answer as was received. */
export interface SoakCallResult {
  readonly outcome: SoakOutcome;
  /** 0 where no head was received. */
  readonly status: number;
  readonly body: string;
  readonly header: (name: string) => string | null;
  /** Bytes that belong to no answer, as latin1; empty for none. */
  readonly stray: string;
}

interface PendingCall {
  readonly reader: SoakAnswerReader;
  readonly abortAfter: number | null;
  readonly settle: (outcome: SoakOutcome) => void;
}

/** Maximum number of stray bytes that a result shows. */
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
    // Half open: a FIN from the other end doesn't mean that its process has exited.
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

  /** Sends one request and reads the answer until it is complete, broken, aborted or timed out. */
  async call(call: SoakCall): Promise<SoakCallResult> {
    const reader = new SoakAnswerReader();
    const outcome = await new Promise<SoakOutcome>((resolve) => {
      const timer = setTimeout(() => resolve('deadline'), call.timeoutMs);
      const settle = (result: SoakOutcome): void => {
        clearTimeout(timer);
        resolve(result);
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
