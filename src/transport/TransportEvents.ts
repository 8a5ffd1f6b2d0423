/** Joins the chunks of a stream of server-sent events to complete events. */
import { ByteCollector } from './TransportBytes.js';
import { EventScanner } from './TransportEventScanner.js';

/**
 * Maximum number of bytes up to the end of an event, comments before it included. A stream may also hold bytes without
 * end that are no event.
 */
export const MAX_EVENT_BYTES = 1_048_576;

/** Complete events, as received. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Collects the bytes of one stream. */
export class EventAssembler {
  readonly #scanner = new EventScanner();

  readonly #pending = new ByteCollector();

  /** Number of bytes received after the last event that isn't a comment. */
  #bytesWithoutEvent = 0;

  /** Number of bytes received after the last complete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Whether more has been received without the end of an event than an event may have. */
  get isOverlong(): boolean {
    return this.#bytesWithoutEvent > MAX_EVENT_BYTES;
  }

  /** Adds a chunk; returns the events that are complete with it, null if there is none. */
  add(chunk: Buffer): WholeEvents | null {
    const { count, end, last } = this.#scanner.scan(chunk);
    this.#bytesWithoutEvent =
      last === null ? this.#bytesWithoutEvent + chunk.length : chunk.length - last.end;
    if (count === 0) {
      this.#pending.add(chunk);
      return null;
    }
    const whole = chunk.subarray(0, end);
    const bytes = this.#pending.length === 0 ? whole : Buffer.concat([this.#pending.take(), whole]);
    this.#pending.add(chunk.subarray(end));
    return { bytes, count };
  }
}
