/** An answer was to be written in an order that no answer has: a fault of this process. */
export class ReplyError extends Error {
  override readonly name = 'ReplyError';
}
