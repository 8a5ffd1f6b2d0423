/** Callers' connections on which something comes that is no request. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Answers to what can't be read as a request, by the code of the parser's error. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

const BAD_REQUEST = '400 Bad Request';

/** Code of the parser's error where the caller has ended its side in the middle of a request. */
const UNEXPECTED_EOF = 'HPE_INVALID_EOF_STATE';

/** One connection. */
interface Connection {
  /** Requests that aren't answered yet. */
  readonly open: Set<IncomingMessage>;
  /** Whether nothing more can be read on it. */
  isUnreadable: boolean;
}

/** Answers as the HTTP server itself does. */
function refuse(code: string, socket: Duplex): void {
  if (socket.writable) {
    socket.write(`HTTP/1.1 ${STATUS_LINES[code] ?? BAD_REQUEST}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy();
}

/** Whether a request of it was read whole: the next answer on it is that request's own. */
function hasCompleteRequest({ open }: Connection): boolean {
  return [...open].some(({ complete }) => complete);
}

/**
 * Keeps answers of the HTTP server's own away from requests that run: its 400 or 408 to what can't be read behind one
 * would stand where the answer to that is due. Such a connection takes nothing more, and ends once all that was read
 * whole is answered.
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
