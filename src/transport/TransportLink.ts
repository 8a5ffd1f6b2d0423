/**
 * A link between two of the system's processes: JSON-RPC 2.0 both ways over one TCP connection,
 * framed and coded by msgpackr.
 */
import type { Socket } from 'node:net';
import {
  createJSONRPCErrorResponse,
  JSONRPCClient,
  JSONRPCErrorException,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import { PackrStream, UnpackrStream } from 'msgpackr';
import { LinkTimeoutError } from './TransportLinkTimeoutError.js';

/** Each side sends at least this often. In ms. */
export const HEARTBEAT_INTERVAL_MS = 600;

/**
 * A link on which nothing was heard for this long is closed: three beats, and short against the
 * leases that are renewed over links. In ms.
 */
export const LINK_TIMEOUT_MS = 2_000;

/** Method that only shows that the peer is there. */
export const HEARTBEAT_METHOD = 'link.beat';

/** How long an answer may take unless the caller says otherwise. In ms. */
export const REPLY_TIMEOUT_MS = 3_000;

/** Code of an error that no peer has sent: no answer came in time. */
const TIMEOUT_CODE = -32_000;

/** Handles one method; what it returns is the reply. */
export type LinkHandler = (params: unknown, link: TransportLink) => unknown;

/** Handlers by method. */
export type LinkHandlers = Readonly<Record<string, LinkHandler>>;

/** Test switch of a link: while it says so, messages are dropped silently both ways. */
export type LinkSwitch = (link: TransportLink) => boolean;

/** One open link. Ends with its socket or its signal. */
export class TransportLink {
  /** Name of the peer, as far as it is known; set by who accepts it. */
  peer: string;

  /** Name of the target that it was opened to; empty on the side that accepted it. */
  target = '';

  readonly #socket: Socket;

  readonly #packer = new PackrStream();

  readonly #client: JSONRPCClient;

  readonly #rpc: JSONRPCServerAndClient;

  readonly #isCut: LinkSwitch;

  readonly #closed: Promise<void>;

  readonly #openedAt = performance.now();

  #lastReceivedAt = this.#openedAt;

  #hasDropped = false;

  #hasTimedOut = false;

  constructor(
    socket: Socket,
    peer: string,
    handlers: LinkHandlers,
    isCut: LinkSwitch = () => false,
  ) {
    this.#socket = socket;
    this.peer = peer;
    this.#isCut = isCut;
    socket.setNoDelay(true);
    const server = new JSONRPCServer({ errorListener: () => undefined });
    server.addMethod(HEARTBEAT_METHOD, () => null);
    Object.entries(handlers).forEach(([method, handler]) => {
      server.addMethod(method, (params: unknown) => handler(params, this));
    });
    const client = new JSONRPCClient((payload: unknown) => {
      this.#send(payload);
    });
    this.#client = client;
    this.#rpc = new JSONRPCServerAndClient(server, client, { errorListener: () => undefined });
    this.#packer.pipe(socket);
    this.#read();
    this.#closed = new Promise((resolve) => {
      socket.once('close', () => {
        this.#rpc.rejectAllPendingRequests('the link was closed');
        resolve();
      });
    });
    this.#startHeartbeat();
  }

  /** Resolves once the link has ended. */
  get closed(): Promise<void> {
    return this.#closed;
  }

  /** Whether the link was closed because nothing was heard on it. */
  get hasTimedOut(): boolean {
    return this.#hasTimedOut;
  }

  /** When anything was last heard, ms on the local monotonic clock. */
  get lastReceivedAt(): number {
    return this.#lastReceivedAt;
  }

  /** Whether anything was heard yet: a frozen host's kernel opens connections too. */
  get hasReceived(): boolean {
    return this.#lastReceivedAt > this.#openedAt;
  }

  /** Bytes received and sent, without headers of lower layers. */
  get bytes(): { readonly received: number; readonly sent: number } {
    return { received: this.#socket.bytesRead, sent: this.#socket.bytesWritten };
  }

  /**
   * Calls a method of the peer. Rejects if the link ends.
   *
   * @throws {LinkTimeoutError} if the answer takes too long.
   */
  async request(method: string, params: unknown, timeoutMs = REPLY_TIMEOUT_MS): Promise<unknown> {
    const rpc = this.#client.timeout(timeoutMs, (id) =>
      createJSONRPCErrorResponse(id, TIMEOUT_CODE, 'timeout'),
    );
    try {
      return await rpc.request(method, params, undefined);
    } catch (err) {
      throw err instanceof JSONRPCErrorException && err.code === TIMEOUT_CODE
        ? new LinkTimeoutError(method, timeoutMs)
        : err;
    }
  }

  /** Sends without waiting for an answer; nothing tells whether it arrived. */
  notify(method: string, params: unknown): void {
    this.#rpc.notify(method, params, undefined);
  }

  close(): void {
    this.#socket.destroy();
  }

  #send(payload: unknown): void {
    if (!this.#socket.destroyed && !this.#isDropping()) {
      this.#packer.write(payload);
    }
  }

  /** While cut, drops. A link with a hole in it is closed after that: TCP never leaves one. */
  #isDropping(): boolean {
    if (this.#isCut(this)) {
      this.#hasDropped = true;
    } else if (this.#hasDropped) {
      this.close();
    }
    return this.#hasDropped;
  }

  #read(): void {
    const unpacker = new UnpackrStream();
    unpacker.on('data', (payload: unknown) => {
      if (!this.#isDropping()) {
        this.#lastReceivedAt = performance.now();
        this.#rpc.receiveAndSend(payload, undefined, undefined).catch(() => undefined);
      }
    });
    // What can't be decoded can't be trusted to be in step again: the link starts afresh.
    unpacker.on('error', () => this.close());
    this.#socket.on('error', () => this.close());
    this.#socket.pipe(unpacker);
  }

  /**
   * Failure: something between the two ends forgets the connection. Symptom: it stays open and
   * silent for good while new ones work. Enough: both ends send at an interval and drop a link
   * that was silent for three of them; whoever made it connects afresh. It says nothing about the peer's health.
   */
  #startHeartbeat(): void {
    const timer = setInterval(() => {
      if (performance.now() - this.#lastReceivedAt > LINK_TIMEOUT_MS) {
        this.#hasTimedOut = true;
        this.close();
      } else {
        this.notify(HEARTBEAT_METHOD, {});
      }
    }, HEARTBEAT_INTERVAL_MS);
    this.#socket.once('close', () => clearInterval(timer));
  }
}
