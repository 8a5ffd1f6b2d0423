import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { addIncrements, countedRanks, packIncrements } from '../../index.js';

const counts = fc.array(fc.array(fc.nat(5_000), { minLength: 6, maxLength: 6 }), {
  minLength: 2,
  maxLength: 2,
});

describe('packIncrements', () => {
  it('keeps what was chosen, to half a step of a byte', () => {
    fc.assert(
      fc.property(counts, counts, (before, more) => {
        const now = before.map((set, s) => set.map((count, e) => count + (more[s]?.[e] ?? 0)));
        const packed = packIncrements(before, now);
        assert.ok(packed !== null);
        addIncrements(before, packed).forEach((set, s) =>
          set.forEach((count, e) => {
            assert.ok(Math.abs(count - (now[s]?.[e] ?? 0)) <= packed.unit / 2 + 1e-6);
          }),
        );
      }),
      { seed: 20_261_202 },
    );
  });

  // An engine is born again, and its counts begin anew. Taken for choices, the difference to its earlier
  // life would be negative demand.
  it('says nothing of a rank that has begun anew', () => {
    assert.equal(packIncrements(null, [[1]]), null);
    assert.equal(packIncrements([[5, 0]], [[1, 3]]), null);
  });
});

const NOBODY: ReadonlySet<number> = new Set();

describe('countedRanks', () => {
  // A group of 72 ranks with 1,728 experts, and its coordinator's link takes 0.7 MB/s: counts of all ranks
  // would fill it, and the coordinator's own lease would run out behind them.
  it('counts all ranks of a small group and a part of a large one, evenly spread', () => {
    assert.equal(countedRanks(16, 256, NOBODY).size, 16);
    const large = [...countedRanks(72, 1_728, NOBODY)];
    assert.equal(large.length, 18);
    assert.ok(large.every((rank, i) => rank === i * 4));
    assert.equal(countedRanks(288, 100_000, NOBODY).size, 1);
  });

  // A group of 64 ranks over five AZs; counts of ten fit. Read from all over they cross AZs eight times in ten, and
  // are half of all bytes that do.
  it('reads the counts of ranks near the coordinator first', () => {
    const near = new Set(Array.from({ length: 13 }, (_item, i) => i * 5));
    const chosen = [...countedRanks(64, 3_072, near)];
    assert.equal(chosen.length, 10);
    assert.ok(chosen.every((rank) => near.has(rank)));
    const few = new Set([7, 40]);
    const mixed = countedRanks(64, 3_072, few);
    assert.equal(mixed.size, 10);
    assert.ok(mixed.has(7) && mixed.has(40));
  });
});
