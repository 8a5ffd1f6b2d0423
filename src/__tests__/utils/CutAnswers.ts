/** Answers that an endpoint breaks off after any byte. */
import type { Socket } from 'node:net';
import { LoopbackServer } from './LoopbackServer.js';

/** Ways in which a connection ends after a part of an answer. */
export const CUT_ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: (socket) => socket.end(),
  // Reset right away, a part may be dropped before it is read.
  'reset after a pause': (socket) => setTimeout(() => socket.resetAndDestroy(), 8),
  'closed after a pause': (socket) => setTimeout(() => socket.end(), 8),
};

/** An answer as sent, with the length of its head. */
export interface CutForm {
  readonly text: string;
  readonly headBytes: number;
  /** Whether it ends with its connection, so that a part of its body is a complete answer. */
  readonly endsWithConnection: boolean;
}

/** Builds an answer; interim answers may precede it. */
export function cutForm(lines: readonly string[], body: string, interim = ''): CutForm {
  const head = `${interim}${['HTTP/1.1 200 OK', ...lines, '', ''].join('\r\n')}`;
  const framed = lines.some((line) => /^(content-length|transfer-encoding):/i.test(line));
  return { text: head + body, headBytes: head.length, endsWithConnection: !framed };
}

const CHUNKS = '6\r\nid: 1\n\r\n5\r\nx: y\n\r\n1\r\n\n\r\n0\r\n\r\n';

const PLAIN = 'content-type: text/plain';

const STREAM = 'content-type: text/event-stream';

/** Forms of answers, whose heads all have the given lines too. */
export function cutForms(lines: readonly string[]): Readonly<Record<string, CutForm>> {
  return {
    'the length first': cutForm(['content-length: 12', PLAIN, ...lines], 'whole answer'),
    'the length last': cutForm([PLAIN, ...lines, 'content-length: 12'], 'whole answer'),
    'an empty body': cutForm([PLAIN, ...lines, 'content-length: 0'], ''),
    chunks: cutForm([PLAIN, ...lines, 'transfer-encoding: chunked'], CHUNKS),
    'a stream in chunks': cutForm([STREAM, ...lines, 'transfer-encoding: chunked'], CHUNKS),
    'the end of the connection': cutForm([PLAIN, ...lines, 'connection: close'], 'answer'),
    'a stream to the end of the connection': cutForm([STREAM, ...lines], 'id: 1\n\n'),
    'an interim answer before': cutForm(
      ['content-length: 12', PLAIN, ...lines],
      'whole answer',
      'HTTP/1.1 103 Early Hints\r\nx-early: 1\r\n\r\n',
    ),
  };
}

/** Lengths of all parts of an answer that are not a complete one. */
export function cutsOf({ text, headBytes, endsWithConnection }: CutForm): readonly number[] {
  const count = endsWithConnection ? headBytes : text.length;
  return Array.from({ length: count }, (_item, bytes) => bytes);
}

/** What a connection is sent for each request on it, and whether it ends after the last one. */
export interface CutScript {
  readonly answers: readonly string[];
  readonly end: (socket: Socket) => void;
}

/** A server that answers by a script, which may be replaced between requests. */
export class CutServer {
  script: CutScript = { answers: [], end: (socket) => socket.end() };

  readonly #server = new LoopbackServer((socket) => {
    let count = 0;
    socket.on('data', (bytes) => {
      if (!bytes.includes('\r\n\r\n')) {
        return;
      }
      const { answers, end } = this.script;
      const answer = answers[count] ?? '';
      count += 1;
      socket.write(answer, 'latin1', () => {
        if (count >= answers.length) {
          end(socket);
        }
      });
    });
  });

  async start(): Promise<number> {
    return this.#server.start();
  }

  stop(): void {
    this.#server.stop();
  }
}
