/** Thrown when parts of an answer are written in an invalid order, which is a bug of this process. */
export class ReplyError extends Error {
  override readonly name = 'ReplyError';
}
