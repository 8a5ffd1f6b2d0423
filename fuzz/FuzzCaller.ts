/** Caller on raw TCP with persistent connections; it parses answers with the strict reader. */
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { WIRE_NAMES } from '../platform/__tests__/utils/StandInWire.js';
import {
  isInformational,
  readConnection,
  headerValues,
  type ConnectionEnd,
  type ReadConnection,
} from './FuzzReader.js';
import { splitText } from './FuzzRender.js';
import type { FuzzRequest, FuzzWrite } from './FuzzTypes.js';

/** A request with its id, as the caller sends it. */
export interface FuzzCallerRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly plan: FuzzRequest;
}

/** Requests and received bytes of one connection of the caller. */
export interface FuzzTranscript {
  readonly requests: readonly FuzzCallerRequest[];
  readonly bytes: Buffer;
  readonly end: ConnectionEnd;
  /** Whether the caller stopped waiting for answers while the connection was open. */
  readonly hasTimedOut: boolean;
}

export const FUZZ_HOST = 'fuzz.example';

/** Deadline that the caller sends with its request, ms. */
const DEADLINE_MS = 250;

/** Time after which an answer counts as missing, ms; far longer than any deadline, even on a busy machine. */
const ANSWER_TIMEOUT_MS = 6_000;

/** Time for which bytes after the last answer are still read, ms. */
const LINGER_MS = 4;

/** Makes the request of a plan; it is a GET if it has no body, otherwise a POST. */
export function callerRequestOf(plan: FuzzRequest, id: string): FuzzCallerRequest {
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

function writesOf({ id, method, path, body, plan }: FuzzCallerRequest): readonly FuzzWrite[] {
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

/** An open connection of the caller. */
class CallerConnection {
  readonly requests: FuzzCallerRequest[] = [];

  readonly #socket: Socket;

  readonly #chunks: Buffer[] = [];

  #end: ConnectionEnd = 'open';

  #hasTimedOut = false;

  /** Called after each received chunk and at the end of the connection. */
  #onUpdate: (() => void) | null = null;

  constructor(port: number) {
    this.#socket = connect({ host: '127.0.0.1', port, noDelay: true });
    this.#socket.on('data', (chunk) => {
      this.#chunks.push(chunk);
      this.#onUpdate?.();
    });
    this.#socket.once('end', () => this.#close('fin'));
    this.#socket.once('error', () => this.#close('reset'));
    this.#socket.once('close', () => this.#close('reset'));
  }

  get transcript(): FuzzTranscript {
    const { requests } = this;
    return {
      requests,
      bytes: Buffer.concat(this.#chunks),
      end: this.#end,
      hasTimedOut: this.#hasTimedOut,
    };
  }

  /** Whether another request may be sent on the connection. */
  get isOpen(): boolean {
    const { answers, fault } = this.#parse();
    const hasConnectionClose = answers.some((answer) =>
      headerValues(answer, 'connection').some((value) => value.toLowerCase() === 'close'),
    );
    return this.#end === 'open' && !this.#hasTimedOut && fault === null && !hasConnectionClose;
  }

  async send(request: FuzzCallerRequest): Promise<void> {
    this.requests.push(request);
    // eslint-disable-next-line no-restricted-syntax -- one write after the other
    for (const { bytes, pauseMs } of writesOf(request)) {
      if (pauseMs > 0) {
        // eslint-disable-next-line no-await-in-loop
        await delay(pauseMs);
      }
      if (this.#socket.writable) {
        this.#socket.write(bytes);
      }
    }
  }

  /** Resolves once all requests are answered, no more answers can come, or the time is over. */
  async waitForAnswers(): Promise<void> {
    const isOver = (): boolean => {
      const { answers, fault } = this.#parse();
      const complete = answers.filter((answer) => answer.isComplete && !isInformational(answer));
      return this.#end !== 'open' || fault !== null || complete.length >= this.requests.length;
    };
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        this.#hasTimedOut = true;
        resolve();
      }, ANSWER_TIMEOUT_MS);
      this.#onUpdate = () => {
        if (isOver()) {
          clearTimeout(timer);
          resolve();
        }
      };
      this.#onUpdate?.();
    });
  }

  close(): void {
    this.#socket.destroy();
  }

  #parse(): ReadConnection {
    return readConnection(Buffer.concat(this.#chunks), this.#end);
  }

  #close(end: ConnectionEnd): void {
    if (this.#end === 'open') {
      this.#end = end;
    }
    this.#onUpdate?.();
  }
}

/** Sends requests in order, pipelined ones without waiting for answers; returns one transcript a connection. */
export async function runCaller(
  port: number,
  requests: readonly FuzzCallerRequest[],
): Promise<readonly FuzzTranscript[]> {
  const connections: CallerConnection[] = [];
  const open = (): CallerConnection => {
    const connection = new CallerConnection(port);
    connections.push(connection);
    return connection;
  };
  let current = open();
  // eslint-disable-next-line no-restricted-syntax -- one request after the other
  for (const [i, request] of requests.entries()) {
    if (!request.plan.isPipelined && !current.isOpen) {
      current.close();
      current = open();
    }
    // eslint-disable-next-line no-await-in-loop
    await current.send(request);
    if (requests[i + 1]?.plan.isPipelined !== true) {
      // eslint-disable-next-line no-await-in-loop
      await current.waitForAnswers();
    }
  }
  await delay(LINGER_MS);
  const transcripts = connections.map((connection) => connection.transcript);
  connections.forEach((connection) => connection.close());
  return transcripts;
}
