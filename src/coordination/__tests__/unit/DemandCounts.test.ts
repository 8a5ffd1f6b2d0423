import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { addIncrements, sampledRanks, packIncrements } from '../../index.js';

const counts = fc.array(fc.array(fc.nat(5_000), { minLength: 6, maxLength: 6 }), {
  minLength: 2,
  maxLength: 2,
});

describe('packIncrements', () => {
  it('preserves increments to within half a unit', () => {
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

  // After an engine restarts, its counts start from zero. The difference to the counts of its previous incarnation
  // would be negative demand.
  it('returns null without a previous reading or after a restart', () => {
    assert.equal(packIncrements(null, [[1]]), null);
    assert.equal(packIncrements([[5, 0]], [[1, 3]]), null);
  });
});

describe('sampledRanks', () => {
  // Counts of all ranks of a group of 72 ranks with 1,728 experts would fill the coordinator's link of 0.7 MB/s,
  // and its lease would expire while its renewals queue behind them.
  it('samples all ranks of a small group and an evenly spaced part of a large one', () => {
    assert.equal(sampledRanks(16, 256).size, 16);
    const large = [...sampledRanks(72, 1_728)];
    assert.equal(large.length, 18);
    assert.ok(large.every((rank, i) => rank === i * 4));
    assert.equal(sampledRanks(288, 100_000).size, 1);
  });
});
