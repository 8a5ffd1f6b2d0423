/** Incremental parser of one HTTP/1.1 answer. Pure; bodies are ASCII in a soak run. */

type State = 'head' | 'length' | 'size' | 'chunk' | 'trailer' | 'untilClose' | 'whole' | 'garbled';

const STATUS_LINE = /^HTTP\/1\.1 (\d{3})( .*)?$/;
const HEADER_LINE = /^([!-9;-~]+):[ \t]*(.*)$/;
const CHUNK_SIZE_LINE = /^([0-9a-f]+)$/i;

const LINE_END = '\r\n';

/** Parses one answer; bytes behind it stay unparsed. */
export class SoakAnswerReader {
  #state: State = 'head';

  #text = '';

  #body = '';

  #remaining = 0;

  #status = 0;

  #headers: ReadonlyMap<string, string> = new Map();

  /** 0 until the head is complete. */
  get status(): number {
    return this.#status;
  }

  get body(): string {
    return this.#body;
  }

  get isComplete(): boolean {
    return this.#state === 'whole';
  }

  /** Whether something was received that isn't valid HTTP/1.1. */
  get isMalformed(): boolean {
    return this.#state === 'garbled';
  }

  /** Text received behind the answer; empty until the answer is complete. */
  get trailingText(): string {
    return this.isComplete ? this.#text : '';
  }

  header(name: string): string | null {
    return this.#headers.get(name) ?? null;
  }

  feed(text: string): void {
    this.#text += text;
    let advanced = true;
    while (advanced) {
      advanced = this.#advance();
    }
  }

  /** The other end has closed its side, which completes an answer without a length. */
  end(): void {
    if (this.#state === 'untilClose') {
      this.#state = 'whole';
    }
  }

  /** Parses the next part, if it has arrived; false if more text is needed or nothing is left to parse. */
  #advance(): boolean {
    const steps: Readonly<Record<State, () => boolean>> = {
      head: () => this.#onHead(),
      length: () => this.#readBody('whole'),
      size: () => this.#onSize(),
      chunk: () => this.#onChunk(),
      trailer: () => this.#onTrailer(),
      untilClose: () => this.#onBodyUntilClose(),
      whole: () => false,
      garbled: () => false,
    };
    return steps[this.#state]();
  }

  #readLine(): string | null {
    const end = this.#text.indexOf(LINE_END);
    if (end < 0) {
      return null;
    }
    const line = this.#text.slice(0, end);
    this.#text = this.#text.slice(end + LINE_END.length);
    return line;
  }

  #onHead(): boolean {
    const end = this.#text.indexOf(LINE_END + LINE_END);
    if (end < 0) {
      return false;
    }
    const [first = '', ...lines] = this.#text.slice(0, end).split(LINE_END);
    this.#text = this.#text.slice(end + 2 * LINE_END.length);
    const status = STATUS_LINE.exec(first);
    const headers = lines.map((line) => HEADER_LINE.exec(line));
    if (status === null || headers.includes(null)) {
      this.#state = 'garbled';
      return false;
    }
    this.#status = Number(status[1]);
    this.#headers = new Map(
      headers.map((item) => [(item?.[1] ?? '').toLowerCase(), item?.[2] ?? '']),
    );
    this.#state = this.#framing();
    return true;
  }

  #framing(): State {
    if (this.header('transfer-encoding') === 'chunked') {
      return 'size';
    }
    const length = this.header('content-length');
    this.#remaining = Number(length ?? 0);
    return length === null ? 'untilClose' : 'length';
  }

  /** Moves received text to the body; true, and in state `next`, once all of the current part is there. */
  #readBody(next: State): boolean {
    const part = this.#text.slice(0, this.#remaining);
    this.#body += part;
    this.#text = this.#text.slice(part.length);
    this.#remaining -= part.length;
    if (this.#remaining > 0) {
      return false;
    }
    this.#state = next;
    return true;
  }

  #onSize(): boolean {
    const line = this.#readLine();
    if (line === null) {
      return false;
    }
    const size = CHUNK_SIZE_LINE.exec(line)?.[1];
    this.#remaining = Number.parseInt(size ?? '0', 16);
    const next: State = this.#remaining === 0 ? 'trailer' : 'chunk';
    this.#state = size === undefined ? 'garbled' : next;
    return true;
  }

  #onChunk(): boolean {
    if (this.#remaining > 0 && !this.#readBody('chunk')) {
      return false;
    }
    if (this.#text.length < LINE_END.length) {
      return false;
    }
    this.#state = this.#text.startsWith(LINE_END) ? 'size' : 'garbled';
    this.#text = this.#text.slice(LINE_END.length);
    return true;
  }

  #onTrailer(): boolean {
    const line = this.#readLine();
    if (line === '') {
      this.#state = 'whole';
    }
    return line !== null;
  }

  #onBodyUntilClose(): boolean {
    this.#body += this.#text;
    this.#text = '';
    return false;
  }
}
