/* eslint-disable no-underscore-dangle -- Node.js names the methods that a stream implements so */
/** Requests that a server receives, whose bodies come in chunks of any size. */
import { IncomingMessage } from 'node:http';
import { ByteCollector } from './TransportBytes.js';

/** Number of chunks that haven't been read on after which no more are taken from the socket. */
const MAX_WAITING_CHUNKS = 1_000;

/**
 * A request that passes on as one buffer what arrives of its body together.
 *
 * The HTTP server parses all that it has read from the socket at once, also while the body is paused, and the body
 * keeps an object for each chunk until it is read on. 64 KiB in chunks of one byte would take 4 MB of the heap.
 */
export class CoalescedRequest extends IncomingMessage {
  #onArrival: (() => void) | null = null;

  /** The first chunk since bytes were passed on last, which isn't copied if it stays the only one. */
  #first: Buffer | null = null;

  readonly #more = new ByteCollector();

  #chunks = 0;

  #takenChunks = 0;

  /** Whether reading from the socket waits until the body is resumed. */
  #isReadDeferred = false;

  /** Number of chunks that have arrived. */
  get chunkCount(): number {
    return this.#chunks;
  }

  /** Sets what is called after bytes have arrived, whether or not the body is paused. */
  setArrivalListener(onArrival: (() => void) | null): void {
    this.#onArrival = onArrival;
  }

  /** Returns the number of chunks that have arrived since the last call. */
  takeChunkCount(): number {
    const chunks = this.#chunks - this.#takenChunks;
    this.#takenChunks = this.#chunks;
    return chunks;
  }

  /** Reads from the socket, unless the body is paused: the base class reads ahead twice, also where that is costly. */
  override _read(size: number): void {
    if (this.isPaused()) {
      this.#isReadDeferred = true;
    } else {
      super._read(size);
    }
  }

  override resume(): this {
    const isDeferred = this.#isReadDeferred;
    this.#isReadDeferred = false;
    super.resume();
    if (isDeferred) {
      super._read(this.readableHighWaterMark);
    }
    return this;
  }

  override push(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.#passOn();
      return super.push(null);
    }
    this.#chunks += 1;
    if (this.#first === null) {
      this.#first = chunk;
      // The parser runs the queue of ticks after each chunk, so that a tick would pass on chunks one by one.
      setImmediate(() => this.#passOn());
    } else {
      this.#more.add(chunk);
    }
    const bytes = this.readableLength + this.#first.length + this.#more.length;
    const chunks = this.#chunks - this.#takenChunks;
    return bytes < this.readableHighWaterMark && chunks < MAX_WAITING_CHUNKS;
  }

  #passOn(): void {
    const first = this.#first;
    if (first === null || this.destroyed) {
      this.#first = null;
      return;
    }
    this.#first = null;
    super.push(this.#more.length === 0 ? first : Buffer.concat([first, this.#more.take()]));
    this.#onArrival?.();
  }
}
