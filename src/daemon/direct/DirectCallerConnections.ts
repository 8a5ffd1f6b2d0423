/** Handling of invalid input on callers' connections. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Status lines for input that can't be parsed as a request, by the code of the parser's error. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

const BAD_REQUEST = '400 Bad Request';

/** Code of the parser's error where the caller has closed its side in the middle of a request. */
const UNEXPECTED_EOF = 'HPE_INVALID_EOF_STATE';

/** State of one connection. */
interface Connection {
  /** Requests that aren't answered yet. */
  readonly open: Set<IncomingMessage>;
  /** Whether its input can't be parsed any further. */
  isUnreadable: boolean;
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
 * Prevents the HTTP server's own error answers from replacing those of requests in progress: its 400 or 408 for
 * invalid input after a request would be sent in place of that request's answer. Instead, a connection with invalid
 * input accepts nothing more, and is closed once all completely received requests are answered.
 */
export class DirectCallerConnections {
  readonly #connections = new WeakMap<Duplex, Connection>();

  constructor(server: Server) {
    server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.#onBadInput(err.code ?? '', socket),
    );
  }

  onRequest(req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req;
    const connection = this.#connections.get(socket) ?? { open: new Set(), isUnreadable: false };
    this.#connections.set(socket, connection);
    connection.open.add(req);
    res.once('close', () => {
      connection.open.delete(req);
      if (connection.isUnreadable && !hasCompleteRequest(connection)) {
        socket.destroySoon();
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
