/** Bytes that an entry process holds of one request's answer, as it is incomplete or its caller reads slowly. */
import type { DirectReadLimits, ByteHolder } from './DirectReadLimits.js';
import type { DirectReply } from './DirectReply.js';

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

  /** The complete answer was written; its bytes are held until the caller has read them. */
  onWritten(bytes: number): void {
    const { reply } = this.#options;
    this.#isReceived = true;
    if (reply.isClosed || reply.unreadBytes === 0) {
      this.setReceived(0);
      return;
    }
    reply.registerClose(() => this.setReceived(0));
    this.setReceived(bytes);
  }

  /** Events of a stream were written. Pauses `reading` while the caller has too many bytes left to read. */
  onEvents(reading: AnswerReading): void {
    const { reply } = this.#options;
    const { unreadBytes } = reply;
    this.setReceived(unreadBytes);
    if (unreadBytes > MAX_UNREAD_BYTES && this.#unregisterDrain === null) {
      reading.pause();
      const unregister = reply.registerDrain(() => {
        this.release();
        reading.resume();
      });
      this.#unregisterDrain = unregister;
    }
  }

  /** Forgets what an attempt has received. */
  release(): void {
    this.#unregisterDrain?.();
    this.#unregisterDrain = null;
    this.setReceived(0);
  }

  #end(reason: string): void {
    if (this.#isReceived) {
      this.#options.reply.cut();
    } else {
      this.#options.endAttempt(reason);
    }
  }
}
