import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { HeldBytes } from '../../index.js';

const SEED = 79;

const MAX_BYTES = 1_000;

const updateArb = fc.record({ holder: fc.nat(9), bytes: fc.nat(1_500) });

describe('HeldBytes', () => {
  // Guards against a process whose memory is filled by several answers, each of which stays within its own limit.
  it('keeps the bytes of all holders within the bound, and ends only holders that hold the most', () => {
    fc.assert(
      fc.property(fc.array(updateArb, { maxLength: 60 }), (updates) => {
        const held = new HeldBytes<number>(MAX_BYTES);
        const model = new Map<number, number>();
        updates.forEach(({ holder, bytes }) => {
          model.set(holder, bytes);
          held.update(holder, bytes).forEach((ended) => {
            assert.equal(model.get(ended), Math.max(...model.values()));
            model.delete(ended);
          });
          const total = [...model.values()].reduce((sum, each) => sum + each, 0);
          assert.equal(held.total, total);
          assert.ok(total <= MAX_BYTES);
        });
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  it('ends nobody within the bound', () => {
    const held = new HeldBytes<string>(MAX_BYTES);
    assert.deepEqual(held.update('a', 600), []);
    assert.deepEqual(held.update('b', 400), []);
    assert.deepEqual(held.update('c', 1), ['a']);
    assert.deepEqual(held.update('b', 0), []);
    assert.equal(held.total, 1);
  });
});
