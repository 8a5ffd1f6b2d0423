/** Closing of a connection by a reset. */
import type { Socket } from 'node:net';

/**
 * Closes a socket by a reset, or in order where its own end is under way.
 *
 * Failure: a reset meets an end that isn't done; libuv refuses it, and Node takes the socket for closing all the same.
 * Symptom: it stays open for good without a `close`, and the process spins where it should end. Enough: whoever has
 * ended its side has nothing to take back.
 */
export function resetSocket(socket: Socket): Socket {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  return isEnding ? socket.destroy() : socket.resetAndDestroy();
}
