/**
 * A link between two of the system's processes: JSON-RPC 2.0 in both directions over one TCP
 * connection, framed and encoded by msgpackr.
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

/** Interval at which each side sends a heartbeat, ms. */
export const HEARTBEAT_INTERVAL_MS = 600;

/**
 * A link on which nothing was received for this long is closed, ms: three heartbeats, and short
 * compared with the leases that are renewed over links.
 */
export const LINK_TIMEOUT_MS = 2_000;

/** Method without effect that only shows that the peer responds. */
export const HEARTBEAT_METHOD = 'link.beat';

/** Default limit on the time to an answer, ms. */
export const REPLY_TIMEOUT_MS = 3_000;

/** Error code for a request without an answer in time; it is set locally and never sent by a peer. */
const TIMEOUT_CODE = -32_000;

/**
 * Maximum size of a message, in bytes, and of the first one on a link that was accepted. Incomplete messages are kept,
 * and until its first message the peer may be any client; the side that opens a link begins with a small one.
 */
const MAX_MESSAGE_BYTES = 64 * 1_048_576;
const MAX_FIRST_MESSAGE_BYTES = 65_536;

/** Handler of a method; its result is the reply. */
export type LinkHandler = (params: unknown, link: TransportLink) => unknown;

/** Handlers by method. */
export type LinkHandlers = Readonly<Record<string, LinkHandler>>;

/** Test switch of a link: while it returns true, messages are dropped in both directions. */
export type LinkSwitch = (link: TransportLink) => boolean;

/** An open link, which ends with its socket. */
export class TransportLink {
  /** Name of the peer; on the accepting side empty until its owner sets it. */
  peer: string;

  /** Name of the target that the link was opened to; empty on the accepting side. */
  target = '';

  readonly #socket: Socket;

  readonly #packer = new PackrStream();

  readonly #client: JSONRPCClient;

  readonly #rpc: JSONRPCServerAndClient;

  readonly #isCut: LinkSwitch;

  readonly #closed: Promise<void>;

  readonly #openedAt = performance.now();

  #lastReceivedAt = this.#openedAt;

  /** Bytes received since the last complete message. */
  #pendingBytes = 0;

  /** Bound on the bytes of the next message. */
  #maxPendingBytes: number;

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
    this.#maxPendingBytes = peer === '' ? MAX_FIRST_MESSAGE_BYTES : MAX_MESSAGE_BYTES;
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

  /** Whether the link was closed because nothing was received on it. */
  get hasTimedOut(): boolean {
    return this.#hasTimedOut;
  }

  /** When something was last received, ms on the local monotonic clock; at first, when the link was opened. */
  get lastReceivedAt(): number {
    return this.#lastReceivedAt;
  }

  /** Whether anything was received yet; a frozen host's kernel accepts connections, but nothing is received. */
  get hasReceived(): boolean {
    return this.#lastReceivedAt > this.#openedAt;
  }

  /** Bytes received and sent, without headers of lower layers. */
  get bytes(): { readonly received: number; readonly sent: number } {
    return { received: this.#socket.bytesRead, sent: this.#socket.bytesWritten };
  }

  /**
   * Calls a method of the peer. Rejects if the link is closed.
   *
   * @throws {LinkTimeoutError} if no answer arrives within `timeoutMs`.
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

  /** Sends a message without waiting for an answer; whether it arrived isn't reported. */
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

  /**
   * Whether to drop a message because of the test switch. A link that has dropped messages is closed afterwards, since
   * a TCP connection never loses only some of its messages.
   */
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
      this.#pendingBytes = 0;
      this.#maxPendingBytes = MAX_MESSAGE_BYTES;
      if (!this.#isDropping()) {
        this.#lastReceivedAt = performance.now();
        this.#rpc.receiveAndSend(payload, undefined, undefined).catch(() => undefined);
      }
    });
    // After a decoding error the message boundaries are unknown, so the link is closed and opened anew.
    unpacker.on('error', () => this.close());
    this.#socket.on('error', () => this.close());
    this.#socket.on('data', (bytes: Buffer) => {
      this.#pendingBytes += bytes.length;
      if (this.#pendingBytes > this.#maxPendingBytes + bytes.length) {
        this.close();
      }
    });
    this.#socket.pipe(unpacker);
  }

  /**
   * Sends heartbeats, and closes the link if nothing was received for {@link LINK_TIMEOUT_MS}; the side that opened it
   * then connects again. Otherwise a connection that a device on the path has dropped would stay open without traffic
   * while new ones work. A timeout doesn't imply that the peer has failed.
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
