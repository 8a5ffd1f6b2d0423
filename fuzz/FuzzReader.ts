/** Strict parser of HTTP/1.1 answers (RFC 9112) for the oracle; it shares no code with the libraries under test. */

/** How the end of a body is determined. */
export type AnswerFraming = 'none' | 'length' | 'chunked' | 'close';

/** An answer parsed from a connection. */
export interface ReadAnswer {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Buffer;
  readonly framing: AnswerFraming;
  /** Whether it has been received up to the end that its framing gives. */
  readonly isComplete: boolean;
}

/** How the sender ended its side of a connection; `open` if it has not. */
export type ConnectionEnd = 'open' | 'fin' | 'reset';

/** Answers parsed from a connection. */
export interface ReadConnection {
  /** In order, including informational ones; only the last may be incomplete. */
  readonly answers: readonly ReadAnswer[];
  /** Syntax error in the last answer's body or in the bytes after it; null if there is none. */
  readonly fault: string | null;
}

/** Parsed part of a message and the offset after it; `next` is null if the part is incomplete. */
interface Parsed<T> {
  readonly value: T;
  readonly next: number | null;
}

interface Head {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
}

/** Sender of the bytes. For an endpoint, empty lines before an answer and any reason phrase are accepted. */
export type AnswerSender = 'entry' | 'endpoint';

/** Bytes that aren't a valid answer. */
class AnswerSyntaxError extends Error {
  override name = 'AnswerSyntaxError';
}

const CRLF = '\r\n';

const PROTOCOL = 'HTTP/1.';

const STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d\d) [\t\x20-\x7e\x80-\xff]*$/;

/** Status line with any reason phrase; an endpoint's is accepted, as the entry doesn't forward it. */
const LENIENT_STATUS_LINE = /^HTTP\/1\.[01] ([1-9]\d\d)(?: [^\r\n]*)?$/;

const EMPTY_LINES = /[\r\n]*/y;

const HEADER_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*?)[ \t]*$/;

const CHUNK_LINE = /^([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?$/;

const CONTENT_LENGTH = /^\d{1,15}$/;

/** Final statuses whose answers never have a body, whatever their headers say. */
const BODYLESS_STATUSES = new Set([204, 304]);

/** Values of a header in order; the name's case doesn't matter. */
export function headerValues(
  { headers }: Pick<ReadAnswer, 'headers'>,
  name: string,
): readonly string[] {
  const wanted = name.toLowerCase();
  return headers.filter(([headerName]) => headerName === wanted).map(([, value]) => value);
}

/** Whether an answer is informational (1xx), so that a final one follows. */
export function isInformational({ status }: Pick<ReadAnswer, 'status'>): boolean {
  return status < 200;
}

function readLine(text: string, at: number): Parsed<string> {
  const end = text.indexOf(CRLF, at);
  const line = text.slice(at, end < 0 ? undefined : end);
  if (end < 0 && line.includes('\n')) {
    throw new AnswerSyntaxError('a line ends without CR');
  }
  return { value: line, next: end < 0 ? null : end + CRLF.length };
}

function readHeaderLine(line: string): readonly [string, string] {
  const match = HEADER_LINE.exec(line);
  if (match === null) {
    throw new AnswerSyntaxError(`no header: ${JSON.stringify(line)}`);
  }
  return [(match[1] ?? '').toLowerCase(), match[2] ?? ''];
}

/** Reads header lines up to the empty line. */
function readHeaders(text: string, from: number): Parsed<Head['headers']> {
  const headers: (readonly [string, string])[] = [];
  let at = from;
  for (;;) {
    const { value, next } = readLine(text, at);
    if (next === null || value === '') {
      return { value: headers, next };
    }
    headers.push(readHeaderLine(value));
    at = next;
  }
}

function readHead(text: string, at: number, statusLine: RegExp): Parsed<Head> {
  const start = text.slice(at, at + PROTOCOL.length);
  if (!PROTOCOL.startsWith(start)) {
    throw new AnswerSyntaxError(`no answer: ${JSON.stringify(start)}`);
  }
  const first = readLine(text, at);
  if (first.next === null) {
    return { value: { status: 0, headers: [] }, next: null };
  }
  const status = statusLine.exec(first.value)?.[1];
  if (status === undefined) {
    throw new AnswerSyntaxError(`no status line: ${JSON.stringify(first.value)}`);
  }
  const { value, next } = readHeaders(text, first.next);
  return { value: { status: Number(status), headers: value }, next };
}

/** Framing that a head declares, with `length` in bytes for framing by length and 0 otherwise. Throws if invalid. */
function framingOf(head: Head): { readonly framing: AnswerFraming; readonly length: number } {
  const codings = headerValues(head, 'transfer-encoding');
  const lengths = headerValues(head, 'content-length');
  const [length = ''] = lengths;
  if (codings.length > 0 && lengths.length > 0) {
    throw new AnswerSyntaxError('a length and a transfer coding');
  }
  if (codings.length > 0 && codings.join().toLowerCase() !== 'chunked') {
    throw new AnswerSyntaxError(`transfer coding ${JSON.stringify(codings.join())}`);
  }
  if (lengths.length > 1 || (lengths.length === 1 && !CONTENT_LENGTH.test(length))) {
    throw new AnswerSyntaxError(`length ${JSON.stringify(lengths.join())}`);
  }
  if (isInformational(head) || BODYLESS_STATUSES.has(head.status)) {
    return { framing: 'none', length: 0 };
  }
  if (codings.length > 0) {
    return { framing: 'chunked', length: 0 };
  }
  return lengths.length > 0
    ? { framing: 'length', length: Number(length) }
    : { framing: 'close', length: 0 };
}

/**
 * Reads chunks and trailers and appends the data to `parts`, which keeps what was read if an error is thrown. Returns
 * the offset after them, or null if they are incomplete.
 */
function readChunks(text: string, from: number, parts: string[]): number | null {
  let at = from;
  for (;;) {
    const { value, next } = readLine(text, at);
    if (next === null) {
      return null;
    }
    const size = CHUNK_LINE.exec(value)?.[1];
    if (size === undefined) {
      throw new AnswerSyntaxError(`no chunk size: ${JSON.stringify(value)}`);
    }
    const length = Number.parseInt(size, 16);
    if (length === 0) {
      return readHeaders(text, next).next;
    }
    const data = text.slice(next, next + length);
    parts.push(data);
    const tail = text.slice(next + length, next + length + CRLF.length);
    if (!CRLF.startsWith(tail)) {
      throw new AnswerSyntaxError('bytes behind a chunk');
    }
    if (data.length < length || tail.length < CRLF.length) {
      return null;
    }
    at = next + length + CRLF.length;
  }
}

/** Reads a body; `next` is null if it is incomplete. */
type ReadBody = (text: string, at: number, length: number, end: ConnectionEnd) => Parsed<string>;

const BODY_READERS: Readonly<Record<Exclude<AnswerFraming, 'chunked'>, ReadBody>> = {
  none: (_text, at) => ({ value: '', next: at }),
  length: (text, at, length) => {
    const value = text.slice(at, at + length);
    return { value, next: value.length < length ? null : at + length };
  },
  close: (text, at, _length, end) => ({
    value: text.slice(at),
    next: end === 'fin' ? text.length : null,
  }),
};

/** Offset of the next byte that isn't a CR or LF. */
function skipEmptyLines(text: string, at: number): number {
  EMPTY_LINES.lastIndex = at;
  return at + (EMPTY_LINES.exec(text)?.[0].length ?? 0);
}

/** Parses all answers that were sent on a connection, up to the first syntax error. */
export function readConnection(
  bytes: Buffer,
  end: ConnectionEnd,
  sender: AnswerSender = 'entry',
): ReadConnection {
  const isStrict = sender === 'entry';
  const text = bytes.toString('latin1');
  const answers: ReadAnswer[] = [];
  let at: number | null = 0;
  try {
    while (at !== null && at < text.length) {
      const start: number = isStrict ? at : skipEmptyLines(text, at);
      const head: Parsed<Head> = readHead(
        text,
        start,
        isStrict ? STATUS_LINE : LENIENT_STATUS_LINE,
      );
      if (head.next === null) {
        break;
      }
      const { framing, length } = framingOf(head.value);
      const parts: string[] = [];
      const push = (isComplete: boolean): void => {
        const body = Buffer.from(parts.join(''), 'latin1');
        answers.push({ ...head.value, body, framing, isComplete });
      };
      try {
        if (framing === 'chunked') {
          at = readChunks(text, head.next, parts);
        } else {
          const body: Parsed<string> = BODY_READERS[framing](text, head.next, length, end);
          parts.push(body.value);
          at = body.next;
        }
      } catch (err) {
        push(false);
        throw err;
      }
      push(at !== null);
    }
  } catch (err) {
    if (!(err instanceof AnswerSyntaxError)) {
      throw err;
    }
    return { answers, fault: err.message };
  }
  return { answers, fault: null };
}
