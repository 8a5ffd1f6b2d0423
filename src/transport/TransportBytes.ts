/** Collecting of bytes that arrive in chunks of any size. */

/** Sizes of the first and of the largest block of a collector, in bytes. */
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 262_144;

/** Maximum number of blocks that are kept to be used again. */
const MAX_FREE_BLOCKS = 32;

/**
 * Blocks of the largest size that are in use no more. Memory outside the heap is only freed when the garbage collector
 * runs, so that blocks which aren't used again would take several times the bytes that are held.
 */
const freeBlocks: Buffer[] = [];

/** Collects the bytes of a body in blocks. */
export class ByteCollector {
  #blocks: Buffer[] = [];

  /** Bytes used of the last block. */
  #used = 0;

  #length = 0;

  #capacity = 0;

  /** Size of all blocks, in bytes. */
  get capacity(): number {
    return this.#capacity;
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.#length;
  }

  /** Number of buffers that hold the bytes. */
  get blocks(): number {
    return this.#blocks.length;
  }

  add(chunk: Uint8Array): void {
    let copied = 0;
    while (copied < chunk.length) {
      const block = this.#blockWithSpace(chunk.length - copied);
      const count = Math.min(block.length - this.#used, chunk.length - copied);
      block.set(chunk.subarray(copied, copied + count), this.#used);
      copied += count;
      this.#used += count;
    }
    this.#length += chunk.length;
  }

  /** Returns all bytes and becomes empty. */
  take(): Buffer {
    const [first] = this.#blocks;
    if (first !== undefined && this.#blocks.length === 1) {
      const bytes = first.subarray(0, this.#length);
      this.#blocks = [];
      this.clear();
      return bytes;
    }
    const bytes = Buffer.concat(this.#blocks, this.#length);
    this.clear();
    return bytes;
  }

  /** Drops all bytes. */
  clear(): void {
    const free = this.#blocks.filter(({ length }) => length === MAX_BLOCK_BYTES);
    freeBlocks.push(...free.slice(0, MAX_FREE_BLOCKS - freeBlocks.length));
    this.#blocks = [];
    this.#used = 0;
    this.#length = 0;
    this.#capacity = 0;
  }

  #blockWithSpace(wanted: number): Buffer {
    const last = this.#blocks.at(-1);
    if (last !== undefined && this.#used < last.length) {
      return last;
    }
    const size = Math.max(MIN_BLOCK_BYTES, Math.min(MAX_BLOCK_BYTES, this.#length + wanted));
    const free = size === MAX_BLOCK_BYTES ? freeBlocks.pop() : undefined;
    const block = free ?? Buffer.allocUnsafeSlow(size);
    this.#blocks.push(block);
    this.#capacity += size;
    this.#used = 0;
    return block;
  }
}
