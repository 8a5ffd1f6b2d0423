/**
 * Reading of bodies in chunks whose size their sender chooses.
 *
 * Handling a chunk costs the same whether it has one byte or thousands, and an object for each would take a hundred
 * times the memory of a byte. So what is held follows from the number of bytes, chunks are passed on together, and
 * reading pauses after a number of them.
 */
import type { Dispatcher } from 'undici';
import { ByteCollector } from './TransportBytes.js';

/** Where a body is read from. */
export interface ChunkSource {
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Returns how long to wait after reading a number of chunks, ms. */
export type ReadDelay = (chunks: number) => number;

/**
 * Work on a body after which the rest of the process gets its turn, in chunks. A socket that receives without a pause
 * is read up to 32 times in one turn of the event loop.
 */
export const MAX_CHUNKS_PER_TURN = 1_000;

/** A chunk of more bytes counts as several. */
const BYTES_PER_CHUNK = 64;

/** Options of a {@link ChunkReader}. */
export interface ChunkReaderOptions {
  readonly source: ChunkSource;
  /** Receives the bytes of all chunks that were read together. */
  readonly onBytes: (bytes: Buffer) => void;
  readonly delay: ReadDelay;
}

/** Reads one body: passes on what arrives together as one buffer, and limits the rate of chunks. */
export class ChunkReader {
  readonly #options: ChunkReaderOptions;

  /** The first chunk since the last call of `onBytes`, which is passed on without a copy if it stays the only one. */
  #first: Buffer | null = null;

  readonly #more = new ByteCollector();

  #chunks = 0;

  /** Whether the receiver of the bytes has paused reading. */
  #isHeld = false;

  /** Work done in this turn of the event loop, in chunks. */
  #turnWork = 0;

  /** Whether reading waits for the next turn of the event loop. */
  #isTurnOver = false;

  /** Number of waits for the rate that haven't ended. */
  #waits = 0;

  #isEnded = false;

  constructor(options: ChunkReaderOptions) {
    this.#options = options;
  }

  /** Adds a chunk, or `count` chunks in one buffer, which is passed on before further input is read. */
  add(chunk: Buffer, count = 1): void {
    if (this.#isEnded) {
      return;
    }
    this.#chunks += count;
    if (this.#first === null) {
      this.#first = chunk;
      process.nextTick(() => this.#passOn());
    } else {
      this.#more.add(chunk);
    }
    this.#addWork(Math.max(count, chunk.length / BYTES_PER_CHUNK));
  }

  /** Pauses reading until `release`. */
  hold(): void {
    this.#isHeld = true;
    this.#pause();
  }

  release(): void {
    this.#isHeld = false;
    this.#resume();
  }

  /** Ends reading, and passes on what has been added. */
  end(): void {
    this.#passOn();
    this.#isEnded = true;
  }

  /** Ends reading, and drops what hasn't been passed on. */
  stop(): void {
    this.#isEnded = true;
    this.#first = null;
  }

  #passOn(): void {
    const first = this.#first;
    if (this.#isEnded || first === null) {
      return;
    }
    const bytes = this.#more.length === 0 ? first : Buffer.concat([first, this.#more.take()]);
    const waitMs = this.#options.delay(this.#chunks);
    this.#first = null;
    this.#chunks = 0;
    if (waitMs > 0) {
      this.#wait(waitMs);
    }
    this.#options.onBytes(bytes);
  }

  #addWork(work: number): void {
    if (this.#turnWork === 0) {
      setImmediate(() => {
        this.#turnWork = 0;
        if (this.#isTurnOver) {
          this.#isTurnOver = false;
          this.#resume();
        }
      });
    }
    this.#turnWork += work;
    if (this.#turnWork >= MAX_CHUNKS_PER_TURN && !this.#isTurnOver) {
      this.#isTurnOver = true;
      this.#pause();
    }
  }

  #wait(ms: number): void {
    this.#waits += 1;
    this.#pause();
    setTimeout(() => {
      this.#waits -= 1;
      this.#resume();
    }, ms);
  }

  #pause(): void {
    if (!this.#isEnded) {
      this.#options.source.pause();
    }
  }

  #resume(): void {
    if (!this.#isEnded && !this.#isHeld && !this.#isTurnOver && this.#waits === 0) {
      this.#options.source.resume();
    }
  }
}

/** Reads without a limit on the rate; other work still gets its turn. */
const WITHOUT_DELAY: ReadDelay = () => 0;

/** A controller whose pauses don't conflict with those of a reader. */
function controllerFor(
  controller: Dispatcher.DispatchController,
  reader: ChunkReader,
): Dispatcher.DispatchController {
  return {
    get aborted() {
      return controller.aborted;
    },
    get paused() {
      return controller.paused;
    },
    get reason() {
      return controller.reason;
    },
    get rawHeaders() {
      return controller.rawHeaders ?? null;
    },
    get rawTrailers() {
      return controller.rawTrailers ?? null;
    },
    abort: (reason) => controller.abort(reason),
    pause: () => reader.hold(),
    resume: () => reader.release(),
  };
}

/** Wraps a handler of the HTTP client so that it receives the body of an answer through a {@link ChunkReader}. */
export function readInTurns(
  handler: Dispatcher.DispatchHandler,
  delay: ReadDelay = WITHOUT_DELAY,
): Dispatcher.DispatchHandler {
  let reader: ChunkReader | null = null;
  let ownController: Dispatcher.DispatchController | null = null;
  return {
    onRequestStart: (controller, context) => {
      reader?.stop();
      reader = new ChunkReader({
        source: controller,
        delay,
        onBytes: (bytes) => {
          try {
            handler.onResponseData?.(ownController ?? controller, bytes);
          } catch (err) {
            // The client library does the same with errors of its handlers.
            controller.abort(err as Error);
          }
        },
      });
      ownController = controllerFor(controller, reader);
      handler.onRequestStart?.(ownController, context);
    },
    onRequestUpgrade: (controller, ...rest) =>
      handler.onRequestUpgrade?.(ownController ?? controller, ...rest),
    onResponseStart: (controller, ...rest) =>
      handler.onResponseStart?.(ownController ?? controller, ...rest),
    onResponseData: (_controller, chunk) => reader?.add(chunk),
    onResponseEnd: (controller, trailers) => {
      reader?.end();
      handler.onResponseEnd?.(ownController ?? controller, trailers);
    },
    onResponseError: (controller, err) => {
      reader?.end();
      handler.onResponseError?.(ownController ?? controller, err);
    },
  };
}

/** Reads the answers of all calls of a dispatcher in turns. */
export function withReadingInTurns(dispatcher: Dispatcher): Dispatcher {
  return dispatcher.compose(
    (dispatch) => (options, handler) => dispatch(options, readInTurns(handler)),
  );
}
