import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { EventAssembler, MAX_EVENT_BYTES } from '../../index.js';

const SEED = 76;

/** Texts with many newlines, so that chunks begin and end in all places of an event's end. */
const textArb = fc
  .array(fc.constantFrom('\n', '\n\n', 'a', 'data: b'), { maxLength: 20 })
  .map((parts) => parts.join(''));

function assemble(chunks: readonly string[]): { whole: string; count: number; pending: number } {
  const assembler = new EventAssembler();
  const parts = chunks.flatMap((chunk) => assembler.add(Buffer.from(chunk)) ?? []);
  return {
    whole: parts.map(({ bytes }) => bytes.toString()).join(''),
    count: parts.reduce((sum, { count }) => sum + count, 0),
    pending: assembler.pendingBytes,
  };
}

describe('EventAssembler', () => {
  it('finds the same events in any chunks', () => {
    fc.assert(
      fc.property(fc.array(textArb, { maxLength: 10 }), (chunks) => {
        const text = chunks.join('');
        assert.deepEqual(assemble(chunks), assemble([text]));
        assert.deepEqual(assemble(text.split('')), assemble([text]));
      }),
      { seed: SEED, numRuns: 2_000 },
    );
  });

  it('keeps what follows the last complete event', () => {
    assert.deepEqual(assemble(['id: 1\n', '\nid: 2', '\n\nid']), {
      whole: 'id: 1\n\nid: 2\n\n',
      count: 2,
      pending: 2,
    });
  });

  // Guards against an event loop that is held by joining and searching all bytes of a long event with each chunk.
  it('takes a time that does not grow with the square of an event in small chunks', () => {
    const assembler = new EventAssembler();
    const chunk = Buffer.alloc(16, 'x');
    const startedAt = performance.now();
    while (!assembler.isOverlong) {
      assembler.add(chunk);
    }
    assert.equal(assembler.pendingBytes, MAX_EVENT_BYTES + chunk.length);
    // Joined with each chunk, these would be 34 GB.
    assert.ok(performance.now() - startedAt < 2_000);
  });
});
