/** Finds complete events in a stream of server-sent events. */

const NEWLINE = 0x0a;

const COLON = 0x3a;

/** Complete events in a part of a stream. */
export interface EventScan {
  readonly count: number;
  /** Offset behind the last complete event; 0 if there is none. */
  readonly end: number;
  /** Where the last event lies that isn't a comment; `start` is negative if it began in an earlier part. */
  readonly last: { readonly start: number; readonly end: number } | null;
}

/**
 * Finds the ends of server-sent events in the parts of a stream. Each byte is looked at once, whatever the size of the
 * events, as a search for each would take many times longer where most bytes are ends of lines.
 */
export class EventScanner {
  /** Whether the current event has a line that is neither empty nor a comment. */
  #hasContent = false;

  #isLineStart = true;

  #isAfterNewline = false;

  /** Number of bytes of the current event in earlier parts. */
  #pendingBytes = 0;

  scan(part: Buffer): EventScan {
    let count = 0;
    let end = 0;
    let last: EventScan['last'] = null;
    let start = -this.#pendingBytes;
    for (let i = 0; i < part.length; i += 1) {
      if (part[i] !== NEWLINE) {
        this.#hasContent ||= this.#isLineStart && part[i] !== COLON;
        this.#isLineStart = false;
        this.#isAfterNewline = false;
      } else if (!this.#isAfterNewline) {
        this.#isLineStart = true;
        this.#isAfterNewline = true;
      } else {
        count += 1;
        end = i + 1;
        last = this.#hasContent ? { start, end } : last;
        start = end;
        this.#hasContent = false;
        this.#isAfterNewline = false;
      }
    }
    this.#pendingBytes = part.length - start;
    return { count, end, last };
  }
}
