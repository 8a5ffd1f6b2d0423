/** One HTTP call to an endpoint, by undici, with what is needed to tell whether it was sent. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Socket } from 'node:net';
import { Agent, buildConnector, Pool, type Dispatcher } from 'undici';
import { resetSocket } from './TransportReset.js';

/** A call as it goes out. */
export interface OutgoingCall {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | null;
  /** Whether it must not go on a connection that had calls before it, and none may go there after it. */
  readonly usesOwnConnection?: boolean;
}

/** What happens to a call, in order; after `onEnd` or `onError` nothing follows. */
export interface CallListener {
  /** Asked right before the first byte leaves; false keeps it from leaving. */
  onStart: () => boolean;
  onHead: (status: number, headers: IncomingHttpHeaders, raw: readonly string[]) => void;
  onData: (chunk: Buffer) => void;
  /** The answer is whole by its framing. */
  onEnd: () => void;
  /** `sent` is false only where not a byte of the call has left. */
  onError: (err: Error, sent: boolean) => void;
}

/** A call under way. */
export interface RunningCall {
  /** Ends it and its connection; nothing more is heard of it. */
  abort: () => void;
}

/** How long a connection may take to be made, ms: some hundred round trips between AZs. */
const CONNECT_TIMEOUT_MS = 700;

/** An endpoint that doesn't say how long it keeps idle connections closes ours after this, ms. */
const KEEP_ALIVE_MS = 4_000;

/** A 304 names the length of the body that it doesn't have; the client library misses that body. */
const NOT_MODIFIED = 304;
const LENGTH_MISMATCH = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

/** Connections to one endpoint. */
export interface EndpointPool {
  readonly origin: string;
  readonly pool: Pool;
  /** Whether one of its sockets is failing right now. */
  readonly isFailing: () => boolean;
  /** Runs what gives a call up; the socket that it closes is reset. */
  readonly abortWithReset: (abort: () => void) => void;
}

/**
 * Has a socket closed by a reset for as long as a switch says so.
 *
 * Failure: a caller leaves while its request is on the way to a host that stands still. Symptom: closed in order,
 * the connection still delivers what the kernel holds; the host wakes and works for nobody. Enough: a reset drops
 * what wasn't delivered, and ends at once what was.
 *
 * A reset by Node forgets the error, without which the client library takes the end of the socket for the end of the
 * answer that was given up, and throws where nobody catches.
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
    // It calls `destroy` in its turn, without the error.
    isReset = true;
    cause = err;
    return resetSocket(socket);
  };
}

/** Makes connections, and knows when one of them fails. */
interface WatchedConnector {
  readonly connect: buildConnector.connector;
  readonly isFailing: () => boolean;
}

/**
 * Watches the connections that it makes.
 *
 * Failure: an answer without a length ends with its connection, and that is reset half way. Symptom:
 * the client library takes the reset for the end, and a caller gets half an answer as whole. Enough:
 * the socket's error is seen before the library's own handler ends the answer in the same turn, so an
 * end that comes while a socket fails is known to be none.
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
    socket.on('error', fail);
    // The reset may have been reported to another call on the socket; what is read then is an end
    // like any other, but a connection that was reset has no peer any more.
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
        watch(socket);
      }
      callback(...result);
    });
  };
  return { connect, isFailing: () => failing };
}

const RESET_MESSAGE = 'the connection was reset before the end of the answer';

/** Connections to any origin, without time-outs of their own; an answer that is reset half way fails. */
export function openAgent(connectMs: number): Dispatcher {
  const { connect, isFailing } = watchConnections(connectMs, () => undefined);
  const agent = new Agent({ headersTimeout: 0, bodyTimeout: 0, connect });
  return agent.compose(
    (dispatch) => (options, handler) =>
      dispatch(options, {
        onRequestStart: (...args) => handler.onRequestStart?.(...args),
        onResponseStart: (...args) => handler.onResponseStart?.(...args),
        onResponseData: (...args) => handler.onResponseData?.(...args),
        onResponseEnd: (controller, trailers) =>
          isFailing()
            ? handler.onResponseError?.(controller, new Error(RESET_MESSAGE))
            : handler.onResponseEnd?.(controller, trailers),
        onResponseError: (...args) => handler.onResponseError?.(...args),
      }),
  );
}

/** Opens connections to one endpoint as calls need them. */
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
 * Whether the body's end can be told.
 *
 * The client library hands over the bytes of any coding but chunks as they are, up to the end of the connection.
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
  let stop: ((err: Error) => void) | null = null;
  const finish = (): boolean => {
    const first = !isFinished;
    isFinished = true;
    return first;
  };
  pool.dispatch(call, {
    onRequestStart: (controller) => {
      sent = !isFinished && listener.onStart();
      stop = (err) => abortWithReset(() => controller.abort(err));
      if (!sent) {
        controller.abort(
          new Error(isFinished ? 'the call was given up' : 'the call was kept back'),
        );
      }
    },
    onResponseStart: (controller, status, headers) => {
      const informational = status < 200;
      if (!isFinished && !isFramed(headers)) {
        controller.abort(new Error('the answer is in a transfer coding that is not known'));
        return;
      }
      if (!isFinished && !informational) {
        answerStatus = status;
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
      if (isFailing()) {
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
  });
  if (usesOwnConnection) {
    // Waits for the call; that it is aborted is told to its listener.
    pool.close().catch(() => undefined);
  }
  return {
    abort: () => {
      if (finish()) {
        stop?.(new Error('the call was given up'));
      }
    },
  };
}
