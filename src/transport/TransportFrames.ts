/** The answer of a gate to an entry process: msgpackr frames in one HTTP body. */
import type { Readable, Writable } from 'node:stream';
import { Packr, UnpackrStream } from 'msgpackr';
import type { AnswerFrame } from '../protocol/index.js';

/** Content type of a body that consists of frames. */
export const FRAMES_CONTENT_TYPE = 'application/x-laburnumgauge-frames';

/** Writes frames. Fields are encoded by position; their names are sent once. */
export class FrameWriter {
  readonly #packr = new Packr({ sequential: true });

  readonly #out: Writable;

  constructor(out: Writable) {
    this.#out = out;
  }

  /** Writes a frame; returns false once the buffer is full. */
  write(frame: AnswerFrame): boolean {
    return this.#out.write(this.#packr.pack(frame));
  }
}

/** Reads frames from a body. */
export function readFrames(body: Readable): AsyncIterable<AnswerFrame> & { destroy: () => void } {
  const unpacker = new UnpackrStream();
  body.on('error', (err) => unpacker.destroy(err));
  body.pipe(unpacker);
  return unpacker;
}

const NEWLINE = 0x0a;

/** Offset behind the last complete event in a buffer of server-sent events, and the number of complete events. */
export function scanWholeEvents(data: Buffer): { readonly end: number; readonly events: number } {
  let events = 0;
  let end = 0;
  let at = data.indexOf(NEWLINE);
  while (at >= 0 && at + 1 < data.length) {
    if (data[at + 1] === NEWLINE) {
      events += 1;
      end = at + 2;
      at = data.indexOf(NEWLINE, end);
    } else {
      at = data.indexOf(NEWLINE, at + 1);
    }
  }
  return { end, events };
}

/** Whether an event has only comments, which keep the connection alive and aren't part of the stream. */
function isComment(event: Buffer): boolean {
  return event
    .toString('latin1')
    .split('\n')
    .every((line) => line === '' || line.startsWith(':'));
}

/**
 * Finds the last event that isn't a comment in a buffer of complete events; null if all are comments. `readId` reads
 * the id of an event.
 */
export function findLastEvent(
  events: Buffer,
  readId: (event: Buffer) => string | null,
): { readonly id: string | null } | null {
  let end = events.length;
  while (end > 0) {
    const before = end > 2 ? events.lastIndexOf('\n\n', end - 3) : -1;
    const start = before < 0 ? 0 : before + 2;
    const event = events.subarray(start, end);
    if (!isComment(event)) {
      return { id: readId(event) };
    }
    end = start;
  }
  return null;
}

/** Last event of a complete stream of completions. */
export const DONE_EVENT = 'data: [DONE]\n\n';
