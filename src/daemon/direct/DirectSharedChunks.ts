/** The chunks that several bodies may take beyond their own allowances. */
import {
  initChunkAllowance,
  SHARED_CHUNKS,
  type ChunkAllowance,
} from '../../coordination/index.js';

/** An allowance that several bodies share. */
export class DirectSharedChunks {
  #left: ChunkAllowance;

  constructor(now: number) {
    this.#left = initChunkAllowance(SHARED_CHUNKS, now);
  }

  get left(): ChunkAllowance {
    return this.#left;
  }

  set(left: ChunkAllowance): void {
    this.#left = left;
  }
}
