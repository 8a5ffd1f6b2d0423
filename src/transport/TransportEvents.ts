/** Joins the chunks of a stream of server-sent events to complete events. */
import { scanWholeEvents } from './TransportFrames.js';

/** Maximum size of one event, in bytes. A stream may also hold bytes without end that are no event. */
export const MAX_EVENT_BYTES = 1_048_576;

const NEWLINE = 0x0a;

/** Complete events, as received. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Collects the bytes of one stream. Each byte is searched once, however long an event is and in how many chunks. */
export class EventAssembler {
  #pending: Buffer = Buffer.alloc(0);

  #length = 0;

  /** Number of bytes received after the last complete event. */
  get pendingBytes(): number {
    return this.#length;
  }

  /** Whether more has been received after the last complete event than an event may have. */
  get isOverlong(): boolean {
    return this.#length > MAX_EVENT_BYTES;
  }

  /** Adds a chunk; returns the events that are complete with it, null if there is none. */
  add(chunk: Buffer): WholeEvents | null {
    const endsPending =
      this.#length > 0 && this.#pending[this.#length - 1] === NEWLINE && chunk[0] === NEWLINE;
    const start = endsPending ? 1 : 0;
    const { end, events } = scanWholeEvents(chunk.subarray(start));
    const wholeEnd = start + end;
    if (wholeEnd === 0) {
      this.#append(chunk);
      return null;
    }
    const last = chunk.subarray(0, wholeEnd);
    const bytes =
      this.#length === 0 ? last : Buffer.concat([this.#pending.subarray(0, this.#length), last]);
    this.#pending = Buffer.alloc(0);
    this.#length = 0;
    this.#append(chunk.subarray(wholeEnd));
    return { bytes, count: start + events };
  }

  #append(bytes: Buffer): void {
    const length = this.#length + bytes.length;
    if (length > this.#pending.length) {
      // Doubled, as a long event may come in thousands of chunks.
      const larger = Buffer.alloc(Math.max(length, 2 * this.#pending.length));
      this.#pending.copy(larger, 0, 0, this.#length);
      this.#pending = larger;
    }
    bytes.copy(this.#pending, this.#length);
    this.#length = length;
  }
}
