/** Bounds the connections of a server, and the requests on them, so that no crowd of clients takes all of either. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Maximum number of requests on one connection whose answers haven't been sent. */
const MAX_UNANSWERED = 64;

/** Number of unanswered requests of all connections beyond which each may have only one. */
const MAX_SHARED_UNANSWERED = 2_000;

/** Why a connection was closed: too many of them, or too many requests on it. */
export type CloseReason = 'connections' | 'unanswered';

/** Bounds of a server. */
export interface ConnectionBounds {
  /** Maximum number of connections; null where it isn't limited. */
  readonly maxConnections: number | null;
  /** Called for each connection that is closed because of a bound. */
  readonly onClosed: (reason: CloseReason) => void;
}

/** How a connection is used. */
type Use = 'unused' | 'idle' | 'receiving' | 'answering';

/** Order in which connections are closed to make room; one whose request is complete isn't closed. */
const CLOSE_ORDER: readonly Use[] = ['unused', 'idle', 'receiving'];

/** State of one connection. */
interface ConnectionState {
  readonly unanswered: ReadonlySet<IncomingMessage>;
  readonly hasServed: boolean;
}

const NEW_CONNECTION: ConnectionState = { unanswered: new Set(), hasServed: false };

function useOf({ unanswered, hasServed }: ConnectionState): Use {
  if (unanswered.size === 0) {
    return hasServed ? 'idle' : 'unused';
  }
  return [...unanswered].some(({ complete }) => complete) ? 'answering' : 'receiving';
}

/** Connections of one server. */
export class ConnectionGuard {
  readonly #bounds: ConnectionBounds;

  /** In the order in which they were last used. */
  readonly #connections = new Map<Socket, ConnectionState>();

  #unanswered = 0;

  constructor(server: Server, bounds: ConnectionBounds) {
    this.#bounds = bounds;
    server.on('connection', (socket: Socket) => this.#onConnection(socket));
  }

  /** Number of open connections. */
  get count(): number {
    return this.#connections.size;
  }

  /** Counts a request; returns false if it isn't handled, as its connection was closed. */
  admit(req: IncomingMessage, res: ServerResponse): boolean {
    const { socket } = req;
    const state = this.#connections.get(socket);
    if (state === undefined) {
      return false;
    }
    const { size } = state.unanswered;
    if (size >= MAX_UNANSWERED || (size > 0 && this.#unanswered >= MAX_SHARED_UNANSWERED)) {
      this.#close(socket, 'unanswered');
      return false;
    }
    this.#unanswered += 1;
    this.#update(socket, { ...state, unanswered: new Set([...state.unanswered, req]) });
    res.once('close', () => this.#onAnswered(req));
    return true;
  }

  #onConnection(socket: Socket): void {
    const { maxConnections } = this.#bounds;
    if (maxConnections !== null && this.#connections.size >= maxConnections) {
      const expendable = this.#expendable();
      this.#close(expendable ?? socket, 'connections');
      if (expendable === null) {
        return;
      }
    }
    this.#connections.set(socket, NEW_CONNECTION);
    // Each unanswered request adds some.
    socket.setMaxListeners(0);
    socket.once('close', () => this.#forget(socket));
  }

  #onAnswered(req: IncomingMessage): void {
    const { socket } = req;
    const state = this.#connections.get(socket);
    if (state?.unanswered.has(req) === true) {
      this.#unanswered -= 1;
      const unanswered = new Set([...state.unanswered].filter((each) => each !== req));
      this.#update(socket, { unanswered, hasServed: true });
    }
  }

  #update(socket: Socket, state: ConnectionState): void {
    this.#connections.delete(socket);
    this.#connections.set(socket, state);
  }

  #close(socket: Socket, reason: CloseReason): void {
    this.#forget(socket);
    socket.destroy();
    this.#bounds.onClosed(reason);
  }

  #forget(socket: Socket): void {
    this.#unanswered -= this.#connections.get(socket)?.unanswered.size ?? 0;
    this.#connections.delete(socket);
  }

  /** The connection to close so that another can be accepted: of those used least, the one unused for longest. */
  #expendable(): Socket | null {
    const first = new Map<Use, Socket>();
    // eslint-disable-next-line no-restricted-syntax -- ends at the first unused connection
    for (const [socket, state] of this.#connections) {
      const use = useOf(state);
      if (!first.has(use)) {
        first.set(use, socket);
      }
      if (use === 'unused') {
        break;
      }
    }
    const use = CLOSE_ORDER.find((each) => first.has(each));
    return use === undefined ? null : (first.get(use) ?? null);
  }
}
