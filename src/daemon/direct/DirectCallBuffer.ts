/** Passes one request's answer on, and counts the bytes held of it: it is incomplete, or its caller reads slowly. */
import type { WholeAnswer } from './DirectAttempt.js';
import type { ByteHolder, DirectReadLimits } from './DirectReadLimits.js';
import type { DirectReply, ReplyStart } from './DirectReply.js';

/** Number of bytes of a stream that its caller may leave unread before the endpoint's answer isn't read further. */
const MAX_UNREAD_BYTES = 262_144;

/** An answer that is being read. */
export interface AnswerReading {
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Options of a {@link DirectCallBuffer}. */
export interface CallBufferOptions {
  /** Id of the request. */
  readonly id: string;
  readonly reply: DirectReply;
  readonly limits: DirectReadLimits;
  /** Ends the attempt that receives the answer. Not called once the answer has been received. */
  readonly endAttempt: (reason: string) => void;
}

/** Bytes of one request. */
export class DirectCallBuffer {
  readonly #options: CallBufferOptions;

  readonly #holder: ByteHolder;

  #isReceived = false;

  #unregisterDrain: (() => void) | null = null;

  constructor(options: CallBufferOptions) {
    this.#options = options;
    this.#holder = { id: options.id, end: (reason) => this.#end(reason) };
  }

  /** Sets the number of bytes received of an answer that is held until it is complete. */
  setReceived(bytes: number): void {
    this.#options.limits.hold(this.#holder, bytes);
  }

  /** Passes on events of a stream. Pauses `reading` while the caller has too many bytes left to read. */
  passEvents(bytes: Buffer, reading: AnswerReading): void {
    const { reply } = this.#options;
    reply.passEvents(bytes);
    const { unreadBytes } = reply;
    this.setReceived(unreadBytes);
    if (unreadBytes > MAX_UNREAD_BYTES && this.#unregisterDrain === null) {
      reading.pause();
      this.#unregisterDrain = reply.registerDrain(() => {
        this.release();
        reading.resume();
      });
    }
  }

  /** Ends a complete stream. */
  endStream(): void {
    const { reply } = this.#options;
    reply.endStream();
    this.#holdUntilRead(reply.unreadBytes);
  }

  /** Passes on a complete answer. */
  passWhole(start: ReplyStart, answer: WholeAnswer): void {
    this.#options.reply.passWhole(start, answer);
    this.#holdUntilRead(answer.body.length);
  }

  /** Forgets what an attempt has received. */
  release(): void {
    this.#unregisterDrain?.();
    this.#unregisterDrain = null;
    this.setReceived(0);
  }

  /** Counts a complete answer until its caller has read all of it. */
  #holdUntilRead(bytes: number): void {
    const { reply } = this.#options;
    this.#isReceived = true;
    if (reply.isClosed || reply.unreadBytes === 0) {
      this.setReceived(0);
      return;
    }
    reply.registerClose(() => this.setReceived(0));
    this.setReceived(bytes);
  }

  #end(reason: string): void {
    if (this.#isReceived) {
      this.#options.reply.cut();
    } else {
      this.#options.endAttempt(reason);
    }
  }
}
