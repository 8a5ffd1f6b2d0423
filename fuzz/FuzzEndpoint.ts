/** Endpoints on raw TCP that give scripted answers and record what they receive and send. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { WIRE_NAMES } from '../platform/__tests__/utils/StandInWire.js';
import { EndpointConnection, type FuzzSentData } from './FuzzConnection.js';
import { renderAnswer, type RenderedAnswer } from './FuzzRender.js';
import type { FuzzAnswer } from './FuzzTypes.js';

/** A request as an endpoint received it. */
export interface FuzzArrival {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly lastEvent: string | null;
  /** Whether the endpoint runs it; not so for a refusal and a drop. */
  readonly runs: boolean;
  readonly connection: FuzzSentData;
}

/** Selects the answer to an arrival; `nth` counts the arrivals of one id from 0. */
export type ChooseAnswer = (id: string, nth: number) => FuzzAnswer;

interface ParsedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Size of head and body in bytes. */
  readonly byteLength: number;
}

const HEAD_END = '\r\n\r\n';

/** Parses the request at the start of some bytes; null if it isn't complete. */
function parseRequest(text: string): ParsedRequest | null {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return null;
  }
  const [start = '', ...lines] = text.slice(0, headEnd).split('\r\n');
  const [method = '', path = ''] = start.split(' ');
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const from = headEnd + HEAD_END.length;
  const length = from + Number(headers.get('content-length') ?? 0);
  return text.length < length
    ? null
    : { method, path, headers, body: text.slice(from, length), byteLength: length };
}

/** The endpoints of one case; `arrivals` lists the requests to all of them in order. */
export class FuzzEndpoints {
  readonly arrivals: FuzzArrival[] = [];

  readonly #chooseAnswer: ChooseAnswer;

  readonly #servers: Server[] = [];

  readonly #sockets = new Set<Socket>();

  constructor(choose: ChooseAnswer) {
    this.#chooseAnswer = choose;
  }

  /** Starts another endpoint; returns its port. */
  async listen(): Promise<number> {
    const server = createServer({ noDelay: true }, (socket) => this.#onConnection(socket));
    this.#servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  close(): void {
    this.#servers.forEach((server) => server.close());
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #onConnection(socket: Socket): void {
    const connection = new EndpointConnection(socket);
    let unparsed = '';
    let deferredBytes = Buffer.alloc(0);
    let previousId = '';
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
    // A case may end its connections with an error; the oracle judges the result.
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      unparsed += chunk.toString('latin1');
      const req = parseRequest(unparsed);
      if (req === null) {
        return;
      }
      unparsed = unparsed.slice(req.byteLength);
      connection.write(deferredBytes);
      const { rendered, id } = this.#recordArrival(req, connection, previousId);
      deferredBytes = Buffer.from(rendered.onNext);
      previousId = id;
      connection.writeAnswer(rendered).catch(() => socket.destroy());
    });
  }

  /** Records an arrival and renders its answer. */
  #recordArrival(
    req: ParsedRequest,
    connection: FuzzSentData,
    previousId: string,
  ): { readonly rendered: RenderedAnswer; readonly id: string } {
    const id = req.headers.get(WIRE_NAMES.id.toLowerCase()) ?? '';
    const lastEvent = req.headers.get('last-event-id') ?? null;
    const answer = this.#chooseAnswer(id, this.arrivals.filter((known) => known.id === id).length);
    const { method, path, body } = req;
    const runs = answer.kind !== 'refusal' && answer.kind !== 'drop';
    this.arrivals.push({ id, method, path, body, lastEvent, runs, connection });
    const ctx = {
      id,
      previousId,
      seal: `seal.${this.arrivals.length}`,
      lastEvent: Number(lastEvent ?? 0) || 0,
    };
    return { rendered: renderAnswer(answer, ctx), id };
  }
}
