/** What an entry process reads and holds for all of its requests together. */
import { Gauge } from 'prom-client';
import {
  BODY_CHUNKS,
  REQUEST_BODY_CHUNKS,
  HeldBytes,
  initChunkAllowance,
  takeChunks,
  type ChunkRate,
} from '../../coordination/index.js';
import type { ReadDelay } from '../../transport/index.js';
import { heldBytesOf } from '../DaemonMemory.js';
import type { Runtime } from '../DaemonRuntime.js';
import { DirectSharedChunks } from './DirectSharedChunks.js';

/** Share of the memory that answers may take; a complete answer is copied once. */
const HELD_SHARE = 0.4;

/** Whoever holds bytes. */
export interface ByteHolder {
  /** Id of the request. */
  readonly id: string;
  /** Ends it, as it holds the most bytes of a process that can't hold more. */
  readonly end: (reason: string) => void;
}

/** Limits of one entry process. */
export class DirectReadLimits {
  readonly #runtime: Runtime;

  readonly #maxBytes: number;

  readonly #held: HeldBytes<ByteHolder>;

  /** Chunks that the bodies of all answers may take beyond their own allowances. */
  readonly #ofAnswers: DirectSharedChunks;

  /** The same for the bodies of all requests, so that callers don't slow down the answers of endpoints. */
  readonly #ofRequests: DirectSharedChunks;

  /** `memoryBytes` is null where the memory isn't limited. */
  constructor(runtime: Runtime, memoryBytes: number | null) {
    this.#runtime = runtime;
    this.#ofAnswers = new DirectSharedChunks(runtime.now());
    this.#ofRequests = new DirectSharedChunks(runtime.now());
    this.#maxBytes = heldBytesOf(memoryBytes, HELD_SHARE);
    this.#held = new HeldBytes(this.#maxBytes);
    const held = this.#held;
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_held_answer_bytes',
      help: 'Bytes of answers that are incomplete, or that callers have not read',
      registers: [runtime.registry],
      collect() {
        this.set(held.total);
      },
    });
  }

  /** The limit on the rate of chunks of an answer's body. */
  openBody(): ReadDelay {
    return this.#open(BODY_CHUNKS, this.#ofAnswers);
  }

  /** The limit on the rate of chunks of a request's body. */
  openRequestBody(): ReadDelay {
    return this.#open(REQUEST_BODY_CHUNKS, this.#ofRequests);
  }

  #open(rate: ChunkRate, shared: DirectSharedChunks): ReadDelay {
    const { now } = this.#runtime;
    let body = initChunkAllowance(rate, now());
    return (chunks) => {
      const taken = takeChunks(body, shared.left, chunks, now(), rate);
      body = taken.body;
      shared.set(taken.shared);
      return taken.waitMs;
    };
  }

  /** Sets how many bytes a request holds, and ends those that hold the most once the process can't hold more. */
  hold(holder: ByteHolder, bytes: number): void {
    this.#held.update(holder, bytes).forEach((ended) => {
      const { id: request } = ended;
      this.#runtime.log.warn(
        { event: 'held_bytes', request, maxBytes: this.#maxBytes },
        'ended the answer that holds the most bytes',
      );
      ended.end(`all answers together have more than ${this.#maxBytes} bytes`);
    });
  }
}
