/** Closes connections by a reset. */
import type { Socket } from 'node:net';

/**
 * Closes a socket by a reset, or by an ordinary close if its own end is in progress.
 *
 * libuv refuses a reset while an end is in progress, but Node still considers the socket as closing, so that it would
 * stay open without a `close` event. A side that has ended its output has nothing left to discard.
 */
export function resetSocket(socket: Socket): Socket {
  const isEnding = socket.writableEnded && !socket.writableFinished;
  return isEnding ? socket.destroy() : socket.resetAndDestroy();
}
