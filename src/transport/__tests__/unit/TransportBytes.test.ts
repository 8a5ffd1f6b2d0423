import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { ByteCollector } from '../../index.js';

const SEED = 79;

/** Number of buffers for a body of this size: those that grow to the largest size, and one for each further 256 KiB. */
function maxBlocks(bytes: number): number {
  return 10 + Math.ceil(bytes / 262_144);
}

describe('ByteCollector', () => {
  it('returns the bytes of all chunks in their order', () => {
    const chunkArb = fc.uint8Array({ maxLength: 3_000 });
    fc.assert(
      fc.property(fc.array(chunkArb, { maxLength: 20 }), (chunks) => {
        const collector = new ByteCollector();
        chunks.forEach((chunk) => collector.add(chunk));
        const all = Buffer.concat(chunks);
        assert.equal(collector.length, all.length);
        assert.deepEqual(collector.take(), all);
        assert.equal(collector.length, 0);
        assert.equal(collector.take().length, 0);
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  // Guards against a heap that is filled by one object a chunk, as the sender chooses the size of chunks.
  [1, 16, 1_000, 65_536].forEach((size) => {
    it(`holds as many buffers as the number of bytes needs, in chunks of ${size}`, () => {
      const collector = new ByteCollector();
      const chunk = Buffer.alloc(size, 'x');
      while (collector.length < 1_048_576) {
        collector.add(chunk);
      }
      assert.ok(collector.blocks <= maxBlocks(collector.length), `${collector.blocks} buffers`);
    });
  });
});
