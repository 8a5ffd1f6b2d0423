/** Callers' connections: which answers are still being sent, which connections are idle, and what invalid input causes. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { CallerLimits } from '../../protocol/index.js';

/** Status lines for input that can't be parsed as a request, by the code of the parser's error. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

const BAD_REQUEST = '400 Bad Request';

/** Code of the parser's error where the caller has closed its side in the middle of a request. */
const UNEXPECTED_EOF = 'HPE_INVALID_EOF_STATE';

/** A server with the size limit of a head that Node.js reads for each new connection. */
type LimitedServer = Server & { maxHeaderSize?: number };

/** Minimum time that a caller has for the head of a request, ms. */
const MIN_HEAD_TIMEOUT_MS = 1_000;

/** State of one connection. */
interface Connection {
  /** Requests whose answers haven't been handed to the operating system as a whole. */
  readonly open: Set<IncomingMessage>;
  /** Whether its input can't be parsed any further. */
  isUnreadable: boolean;
  /** Bytes received until the last answer was sent; more belong to another request. */
  readBytes: number;
}

/** Sends the answer that the HTTP server itself would send. */
function refuse(code: string, socket: Duplex): void {
  if (socket.writable) {
    socket.write(`HTTP/1.1 ${STATUS_LINES[code] ?? BAD_REQUEST}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy();
}

/** Whether a completely received request is unanswered: the next answer on the connection must be that request's. */
function hasCompleteRequest({ open }: Connection): boolean {
  return [...open].some(({ complete }) => complete);
}

/**
 * Tracks the connections of callers.
 *
 * Prevents the HTTP server's own error answers from replacing those of requests in progress: its 400 or 408 for
 * invalid input after a request would be sent in place of that request's answer. Instead, a connection with invalid
 * input accepts nothing more, and is closed once all completely received requests are answered.
 */
export class DirectCallerConnections {
  readonly #server: LimitedServer;

  readonly #connections = new Map<Duplex, Connection>();

  constructor(server: Server) {
    this.#server = server;
    server.on('connection', (socket: Socket) => {
      this.#connections.set(socket, { open: new Set(), isUnreadable: false, readBytes: 0 });
      socket.once('close', () => this.#connections.delete(socket));
    });
    server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.#onBadInput(err.code ?? '', socket),
    );
  }

  /** Number of requests whose answers haven't been sent as a whole, as their callers read slowly or wait for them. */
  get unsent(): number {
    return [...this.#connections.values()].reduce((sum, { open }) => sum + open.size, 0);
  }

  /** Applies the limits of the configuration; a changed size limit counts for new connections. */
  applyLimits({ maxHeaderBytes, idleTimeoutMs, headerTimeoutMs }: CallerLimits): void {
    this.#server.maxHeaderSize = maxHeaderBytes;
    this.#server.keepAliveTimeout = idleTimeoutMs;
    this.#server.headersTimeout = Math.max(MIN_HEAD_TIMEOUT_MS, headerTimeoutMs * 2);
  }

  onRequest(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      // The connection has closed meanwhile.
      return;
    }
    connection.open.add(req);
    res.once('close', () => {
      connection.open.delete(req);
      connection.readBytes = socket.bytesRead;
      if (connection.isUnreadable && !hasCompleteRequest(connection)) {
        socket.destroySoon();
      }
    });
  }

  /**
   * Closes idle connections. To the HTTP server those are idle too whose answer it holds as a whole and hasn't sent yet;
   * while there are any, the others are told by the bytes received since the last answer.
   */
  closeIdle(): void {
    if (this.unsent === 0) {
      this.#server.closeIdleConnections();
      return;
    }
    this.#connections.forEach(({ open, readBytes }, socket) => {
      if (open.size === 0 && (socket as Socket).bytesRead === readBytes) {
        socket.destroy();
      }
    });
  }

  #onBadInput(code: string, socket: Duplex): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || !hasCompleteRequest(connection)) {
      refuse(code, socket);
    } else if (code === UNEXPECTED_EOF || !socket.writable) {
      socket.destroy();
    } else {
      connection.isUnreadable = true;
    }
  }
}
