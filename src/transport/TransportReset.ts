/** Closing of a connection by a reset. */
import type { Socket } from 'node:net';

/**
 * Closes a socket by a reset, or in order where its own end is under way.
 *
 * libuv refuses a reset while an end isn't done, and Node takes the socket for closing all the same: it would stay open
 * for good without a `close`. Whoever has ended its side has nothing to take back.
 */
export function resetSocket(socket: Socket): Socket {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  return isEnding ? socket.destroy() : socket.resetAndDestroy();
}
