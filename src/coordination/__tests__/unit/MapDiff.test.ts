import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { applyMapDiff, diffMap } from '../../index.js';

const row = fc.array(fc.nat(143), { maxLength: 3 });
const maps = fc.array(fc.array(row, { minLength: 4, maxLength: 4 }), {
  minLength: 3,
  maxLength: 3,
});

describe('diffMap', () => {
  it('turns any map into any other of the same shape', () => {
    fc.assert(
      fc.property(maps, maps, (before, after) => {
        assert.deepEqual(applyMapDiff(before, diffMap(before, after)), after);
      }),
      { seed: 20_261_202 },
    );
  });

  it('contains exactly the rows that differ', () => {
    const before = [[[0], [1], [2]]];
    const after = [[[0], [1, 2], [2]]];
    assert.deepEqual(diffMap(before, after), [{ set: 0, rank: 1, experts: [1, 2] }]);
    assert.deepEqual(diffMap(before, before), []);
  });
});
