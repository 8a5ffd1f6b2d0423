/** A raw TCP caller that keeps its connection, and reads what comes with the strict reader. */
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { WIRE_NAMES } from '../platform/__tests__/utils/StandInWire.js';
import {
  isInformational,
  readConnection,
  valuesOf,
  type ConnectionEnd,
  type ReadConnection,
} from './FuzzReader.js';
import { splitText } from './FuzzRender.js';
import type { FuzzRequest, FuzzWrite } from './FuzzTypes.js';

/** A request with its id, as its caller sends it. */
export interface FuzzAsked {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly plan: FuzzRequest;
}

/** One connection of the caller, once it is over. */
export interface FuzzHeard {
  readonly asked: readonly FuzzAsked[];
  readonly bytes: Buffer;
  readonly end: ConnectionEnd;
  /** Whether the caller gave up waiting on an open connection. */
  readonly isStuck: boolean;
}

export const FUZZ_HOST = 'fuzz.example';

/** Time that a caller gives its request, ms. */
const DEADLINE_MS = 250;

/** An answer that is this late never comes, ms: far over any deadline, also on a busy machine. */
const STUCK_MS = 6_000;

/** What comes after the last answer comes within this time, ms. */
const LINGER_MS = 4;

/** The request of a plan; `id` names it. */
export function askOf(plan: FuzzRequest, id: string): FuzzAsked {
  const body = `body of ${id} `.repeat(plan.size).slice(0, plan.size);
  return { id, method: plan.size === 0 ? 'GET' : 'POST', path: `/${plan.route}/${id}`, body, plan };
}

function bodyText(body: string, isChunked: boolean): string {
  if (!isChunked) {
    return body;
  }
  const half = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half), ''].filter(
    (part, i) => part !== '' || i === 2,
  );
  return chunks.map((part) => `${part.length.toString(16)}\r\n${part}\r\n`).join('');
}

function writesOf({ id, method, path, body, plan }: FuzzAsked): readonly FuzzWrite[] {
  const { lastEvent, isChunked, splits, pauseMs } = plan;
  const hasBody = body !== '';
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${FUZZ_HOST}`,
    `${WIRE_NAMES.id}: ${id}`,
    `${WIRE_NAMES.deadline}: ${DEADLINE_MS}`,
    ...(lastEvent === null ? [] : [`Last-Event-Id: ${lastEvent}`]),
    ...(hasBody && isChunked ? ['Transfer-Encoding: chunked'] : []),
    ...(hasBody && !isChunked ? [`Content-Length: ${body.length}`] : []),
    '',
    hasBody ? bodyText(body, isChunked) : '',
  ];
  return splitText(lines.join('\r\n'), splits, pauseMs);
}

/** One connection under way. */
class CallerConnection {
  readonly asked: FuzzAsked[] = [];

  readonly #socket: Socket;

  readonly #chunks: Buffer[] = [];

  #end: ConnectionEnd = 'open';

  #isStuck = false;

  /** Called with each change. */
  #onNews: (() => void) | null = null;

  constructor(port: number) {
    this.#socket = connect({ host: '127.0.0.1', port, noDelay: true });
    this.#socket.on('data', (chunk) => {
      this.#chunks.push(chunk);
      this.#onNews?.();
    });
    this.#socket.once('end', () => this.#close('fin'));
    this.#socket.once('error', () => this.#close('reset'));
    this.#socket.once('close', () => this.#close('reset'));
  }

  get heard(): FuzzHeard {
    const { asked } = this;
    return { asked, bytes: Buffer.concat(this.#chunks), end: this.#end, isStuck: this.#isStuck };
  }

  /** Whether another request may be sent on it. */
  get isOpen(): boolean {
    const { answers, fault } = this.#read();
    const saysClose = answers.some((answer) =>
      valuesOf(answer, 'connection').some((value) => value.toLowerCase() === 'close'),
    );
    return this.#end === 'open' && !this.#isStuck && fault === null && !saysClose;
  }

  async send(asked: FuzzAsked): Promise<void> {
    this.asked.push(asked);
    // eslint-disable-next-line no-restricted-syntax -- one write after the other
    for (const { bytes, pauseMs } of writesOf(asked)) {
      if (pauseMs > 0) {
        // eslint-disable-next-line no-await-in-loop
        await delay(pauseMs);
      }
      if (this.#socket.writable) {
        this.#socket.write(bytes);
      }
    }
  }

  /** Resolves once all that was asked is answered, or no more can come. */
  async answered(): Promise<void> {
    const isOver = (): boolean => {
      const { answers, fault } = this.#read();
      const whole = answers.filter((answer) => answer.isWhole && !isInformational(answer));
      return this.#end !== 'open' || fault !== null || whole.length >= this.asked.length;
    };
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        this.#isStuck = true;
        resolve();
      }, STUCK_MS);
      this.#onNews = () => {
        if (isOver()) {
          clearTimeout(timer);
          resolve();
        }
      };
      this.#onNews?.();
    });
  }

  close(): void {
    this.#socket.destroy();
  }

  #read(): ReadConnection {
    return readConnection(Buffer.concat(this.#chunks), this.#end);
  }

  #close(end: ConnectionEnd): void {
    if (this.#end === 'open') {
      this.#end = end;
    }
    this.#onNews?.();
  }
}

/** Sends requests one after the other, pipelined ones at once, and gives what came on each connection. */
export async function playCaller(
  port: number,
  requests: readonly FuzzAsked[],
): Promise<readonly FuzzHeard[]> {
  const connections: CallerConnection[] = [];
  const open = (): CallerConnection => {
    const connection = new CallerConnection(port);
    connections.push(connection);
    return connection;
  };
  let current = open();
  // eslint-disable-next-line no-restricted-syntax -- one request after the other
  for (const [i, asked] of requests.entries()) {
    if (!asked.plan.isPipelined && !current.isOpen) {
      current.close();
      current = open();
    }
    // eslint-disable-next-line no-await-in-loop
    await current.send(asked);
    if (requests[i + 1]?.plan.isPipelined !== true) {
      // eslint-disable-next-line no-await-in-loop
      await current.answered();
    }
  }
  await delay(LINGER_MS);
  const heard = connections.map((connection) => connection.heard);
  connections.forEach((connection) => connection.close());
  return heard;
}
