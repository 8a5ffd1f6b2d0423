/** HTTP calls to endpoints with undici, which report whether any byte of a call was sent. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Socket } from 'node:net';
import { Agent, buildConnector, Pool, type Dispatcher } from 'undici';
import { readInTurns, withReadingInTurns, type ReadDelay } from './TransportChunks.js';
import { resetSocket } from './TransportReset.js';

/** A call to send. */
export interface OutgoingCall {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | null;
  /** Whether the call needs a new connection that is used for no other call. */
  readonly usesOwnConnection?: boolean;
  /** Limits the rate of chunks of the answer; absent for no limit. */
  readonly readDelay?: ReadDelay;
}

/** Callbacks of a call, in order; `onEnd` or `onError` is the last one. */
export interface CallListener {
  /** Called right before the first byte is sent; if it returns false, nothing is sent. */
  onStart: () => boolean;
  onHead: (status: number, headers: IncomingHttpHeaders, raw: readonly string[]) => void;
  /** Bytes of the body that were received together, in any number of chunks. */
  onData: (bytes: Buffer) => void;
  /** The answer is complete according to its framing. */
  onEnd: () => void;
  /** `sent` is false only if no byte of the call was sent. */
  onError: (err: Error, sent: boolean) => void;
}

/** A call in progress. */
export interface RunningCall {
  /** Aborts the call and resets its connection; no callback follows. */
  abort: () => void;
  /** Stops reading the body of the answer until `resume`; what was received before is still passed on. */
  pause: () => void;
  resume: () => void;
}

/** Limit on connecting, ms: about a hundred round trips between availability zones. */
const CONNECT_TIMEOUT_MS = 700;

/** How long idle connections are kept to an endpoint that doesn't state its own keep-alive time, ms. */
const KEEP_ALIVE_MS = 4_000;

/** A 304 may state the length of a body that it doesn't have, which the client library reports as a length mismatch. */
const NOT_MODIFIED = 304;
const LENGTH_MISMATCH = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

/** Connection pool of one endpoint. */
export interface EndpointPool {
  readonly origin: string;
  readonly pool: Pool;
  /** Whether one of its sockets failed in the current turn of the event loop. */
  readonly isFailing: () => boolean;
  /** Runs a function that aborts a call; a socket that it closes is reset. */
  readonly abortWithReset: (abort: () => void) => void;
}

/**
 * Makes `destroy` of a socket reset the connection while `isResetting` returns true.
 *
 * If a caller disconnects while its request is being sent to a frozen host, an orderly close would still deliver what
 * the kernel has buffered, and the host would run the request for nobody once it resumes. A reset discards what wasn't
 * delivered, and shows a host that has read the request that its caller is gone.
 *
 * Node's reset drops the error. Without it, the client library takes the end of the socket for the end of the aborted
 * answer and throws an uncaught exception; therefore the error is passed on here.
 */
function resetOnDestroyWhile(socket: Socket, isResetting: () => boolean): void {
  const destroy = socket.destroy.bind(socket);
  let isReset = false;
  let cause: Error | undefined;
  // eslint-disable-next-line no-param-reassign
  socket.destroy = (err) => {
    if (isReset || !isResetting()) {
      return destroy(err ?? cause);
    }
    // `resetSocket` calls `destroy` again, without the error.
    isReset = true;
    cause = err;
    return resetSocket(socket);
  };
}

/** Maximum number of bytes that the client library takes from a socket at once. */
const MAX_READ_BYTES = 16_384;

/**
 * Makes `read` of a socket return a limited number of bytes.
 *
 * The client library takes everything that a socket has buffered and puts back what it hasn't parsed when its reader
 * pauses. The socket then counts as empty and reads more, so that with each pause its buffer grows, and is copied as a
 * whole.
 */
function limitReads(socket: Socket): void {
  const read = socket.read.bind(socket);
  // eslint-disable-next-line no-param-reassign
  socket.read = (size?: number) =>
    read(size ?? (socket.readableLength > MAX_READ_BYTES ? MAX_READ_BYTES : undefined)) as unknown;
}

/** Opens connections and detects when one of them fails. */
interface WatchedConnector {
  readonly connect: buildConnector.connector;
  readonly isFailing: () => boolean;
}

/**
 * Opens connections and watches them for failures.
 *
 * An answer without a length ends with its connection. If that is reset, the client library takes the reset for the
 * end, and a caller would get a truncated answer as complete. The socket's error is seen here before the library's own
 * handler ends the answer in the same turn of the event loop, so such an end reported while a socket fails is an error.
 * A connection that is closed here, as when it has been idle for long, hasn't failed.
 */
function watchConnections(timeout: number, onSocket: (socket: Socket) => void): WatchedConnector {
  let failing = false;
  const connector = buildConnector({ timeout });
  const fail = (): void => {
    failing = true;
    setImmediate(() => {
      failing = false;
    });
  };
  const watch = (socket: Socket): void => {
    onSocket(socket);
    socket.on('error', ({ syscall }: NodeJS.ErrnoException) => {
      if (syscall !== undefined) {
        fail();
      }
    });
    // The reset may have been reported to another call on the socket. Reading then yields an ordinary
    // end, but a connection that was reset has no remote address any more.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) {
        fail();
      }
    });
  };
  const connect: buildConnector.connector = (options, callback) => {
    connector(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        limitReads(socket);
        watch(socket);
      }
      callback(...result);
    });
  };
  return { connect, isFailing: () => failing };
}

/** Statuses of answers that have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, NOT_MODIFIED]);

/** Whether an answer has neither a length nor chunks, so that only the end of its connection shows its end. */
function endsWithConnection(status: number, headers: IncomingHttpHeaders): boolean {
  const { 'content-length': length, 'transfer-encoding': coding } = headers;
  return length === undefined && coding === undefined && !BODILESS_STATUSES.has(status);
}

/** Maximum number of interim answers to one call, which an endpoint may send without end. */
const MAX_INTERIM_ANSWERS = 100;

const RESET_MESSAGE = 'the connection was reset before the end of the answer';

/** Opens an agent for any origin, without header and body timeouts; an answer cut off by a reset fails. */
export function openAgent(connectMs: number): Dispatcher {
  const { connect, isFailing } = watchConnections(connectMs, () => undefined);
  const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0, connect });
  return withReadingInTurns(agent).compose((dispatch) => (options, handler) => {
    let isUnframed = false;
    return dispatch(options, {
      onRequestStart: (...args) => handler.onRequestStart?.(...args),
      onResponseStart: (controller, status, headers, ...rest) => {
        isUnframed = endsWithConnection(status, headers);
        handler.onResponseStart?.(controller, status, headers, ...rest);
      },
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseEnd: (controller, trailers) =>
        isUnframed && isFailing()
          ? handler.onResponseError?.(controller, new Error(RESET_MESSAGE))
          : handler.onResponseEnd?.(controller, trailers),
      onResponseError: (...args) => handler.onResponseError?.(...args),
    });
  });
}

/** Opens the connection pool of one endpoint; connections are opened when calls need them. */
export function openPool(origin: string, connections: number): EndpointPool {
  let isAborting = false;
  const { connect, isFailing } = watchConnections(CONNECT_TIMEOUT_MS, (socket) =>
    resetOnDestroyWhile(socket, () => isAborting),
  );
  const pool = new Pool(origin, {
    connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_MS * 4,
    connect,
  });
  const abortWithReset = (abort: () => void): void => {
    isAborting = true;
    try {
      abort();
    } finally {
      isAborting = false;
    }
  };
  return { origin, pool, isFailing, abortWithReset };
}

function toText(raw: unknown): readonly string[] {
  return (raw as readonly (Buffer | string)[]).map((part) =>
    typeof part === 'string' ? part : part.toString('latin1'),
  );
}

/**
 * Whether the end of the body can be detected.
 *
 * The client library decodes only `chunked`; with any other coding it passes on the raw bytes up to the end of the
 * connection.
 */
function isFramed({ 'transfer-encoding': coding }: IncomingHttpHeaders): boolean {
  return coding === undefined || coding.toLowerCase() === 'chunked';
}

/** Sends a call. */
export function startCall(
  endpoint: EndpointPool,
  call: OutgoingCall,
  listener: CallListener,
): RunningCall {
  const usesOwnConnection = call.usesOwnConnection === true;
  const { pool, isFailing, abortWithReset } = usesOwnConnection
    ? openPool(endpoint.origin, 1)
    : endpoint;
  let sent = false;
  let isFinished = false;
  let answerStatus = 0;
  let isUnframed = false;
  let interimCount = 0;
  let ownController: Dispatcher.DispatchController | null = null;
  const finish = (): boolean => {
    const first = !isFinished;
    isFinished = true;
    return first;
  };
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => {
      // The client library may start a call again whose connection it has closed, though bytes of it were sent.
      const mayStart = !isFinished && !sent && listener.onStart();
      sent ||= mayStart;
      ownController = controller;
      if (!mayStart) {
        controller.abort(
          new Error(isFinished ? 'the call was given up' : 'the call was kept back'),
        );
      }
    },
    onResponseStart: (controller, status, headers) => {
      const informational = status < 200;
      interimCount += Number(informational);
      if (interimCount > MAX_INTERIM_ANSWERS) {
        controller.abort(new Error(`more than ${MAX_INTERIM_ANSWERS} interim answers`));
        return;
      }
      if (!isFinished && !isFramed(headers)) {
        controller.abort(new Error('the answer is in a transfer coding that is not known'));
        return;
      }
      if (!isFinished && !informational) {
        answerStatus = status;
        isUnframed = endsWithConnection(status, headers);
        const { rawHeaders } = controller as unknown as { readonly rawHeaders: unknown };
        listener.onHead(status, headers, toText(rawHeaders));
      }
    },
    onResponseData: (_controller, chunk) => {
      if (!isFinished) {
        listener.onData(chunk);
      }
    },
    onResponseEnd: () => {
      if (!finish()) {
        return;
      }
      if (isUnframed && isFailing()) {
        listener.onError(new Error(RESET_MESSAGE), true);
      } else {
        listener.onEnd();
      }
    },
    onResponseError: (_controller, err) => {
      if (!finish()) {
        return;
      }
      const { code } = err as NodeJS.ErrnoException;
      if (answerStatus === NOT_MODIFIED && code === LENGTH_MISMATCH) {
        listener.onEnd();
      } else {
        listener.onError(err, sent);
      }
    },
  };
  pool.dispatch(call, readInTurns(handler, call.readDelay));
  if (usesOwnConnection) {
    // Closes the pool once the call has ended; a failure of the call is reported to its listener.
    pool.close().catch(() => undefined);
  }
  return {
    abort: () => {
      if (finish()) {
        const controller = ownController;
        abortWithReset(() => controller?.abort(new Error('the call was given up')));
      }
    },
    pause: () => ownController?.pause(),
    resume: () => ownController?.resume(),
  };
}
