/** What an entry process reads for all of its requests together. */
import {
  BODY_CHUNKS,
  initChunkAllowance,
  SHARED_CHUNKS,
  takeChunks,
  type ChunkAllowance,
} from '../../coordination/index.js';
import type { ReadDelay } from '../../transport/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** Limits of one entry process. */
export class DirectReadLimits {
  readonly #runtime: Runtime;

  /** Chunks that all bodies may take beyond their own allowances. */
  #shared: ChunkAllowance;

  constructor(runtime: Runtime) {
    this.#runtime = runtime;
    this.#shared = initChunkAllowance(SHARED_CHUNKS, runtime.now());
  }

  /** The limit on the rate of chunks of one body. */
  openBody(): ReadDelay {
    const { now } = this.#runtime;
    let body = initChunkAllowance(BODY_CHUNKS, now());
    return (chunks) => {
      const taken = takeChunks(body, this.#shared, chunks, now());
      body = taken.body;
      this.#shared = taken.shared;
      return taken.waitMs;
    };
  }
}
