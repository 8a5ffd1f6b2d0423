/** The answer of a gate to an entry process: msgpackr frames in one HTTP body. */
import type { Readable, Writable } from 'node:stream';
import { Packr, UnpackrStream } from 'msgpackr';
import type { AnswerFrame } from '../protocol/index.js';
import { EventScanner } from './TransportEventScanner.js';

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

/**
 * Finds the last event that isn't a comment in a buffer of complete events; null if all are comments, which keep the
 * connection alive and aren't part of the stream. `readId` reads the id of an event.
 */
export function findLastEvent(
  events: Buffer,
  readId: (event: Buffer) => string | null,
): { readonly id: string | null } | null {
  const { last } = new EventScanner().scan(events);
  return last === null ? null : { id: readId(events.subarray(last.start, last.end)) };
}

/** Last event of a complete stream of completions. */
export const DONE_EVENT = 'data: [DONE]\n\n';
