import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { BodyBudget } from '../../index.js';

const SEED = 82;

const MAX_BYTES = 1_000_000;
const MAX_BODY_BYTES = 200_000;

function budgetOf(keys: readonly string[], now = 0): BodyBudget<string> {
  const budget = new BodyBudget<string>(MAX_BYTES);
  keys.forEach((key) => budget.open(key, MAX_BODY_BYTES, now));
  return budget;
}

describe('BodyBudget', () => {
  // Guards against bodies that together take more than the process may hold.
  it('stays within its bound whatever arrives', () => {
    const step = fc.record({
      key: fc.integer({ min: 0, max: 30 }),
      bytes: fc.integer({ min: 0, max: MAX_BODY_BYTES }),
      action: fc.constantFrom('update', 'update', 'complete', 'close'),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const budget = new BodyBudget<number>(MAX_BYTES);
        const held = new Map<number, { bytes: number; isComplete: boolean }>();
        steps.forEach(({ key, bytes, action }, now) => {
          if (!held.has(key)) {
            budget.open(key, MAX_BODY_BYTES, now);
            held.set(key, { bytes: 0, isComplete: false });
          }
          if (action === 'close') {
            budget.close(key);
            held.delete(key);
          } else if (held.get(key)?.isComplete === true) {
            return;
          } else if (action === 'complete') {
            const isHeld = budget.complete(key, bytes);
            held.set(key, { bytes, isComplete: true });
            if (!isHeld) {
              held.delete(key);
            }
          } else {
            held.set(key, { bytes, isComplete: false });
            budget.update(key, bytes, now).forEach((refused) => {
              assert.equal(held.get(refused)?.isComplete, false);
              held.delete(refused);
            });
            assert.ok(budget.total <= MAX_BYTES, `${budget.total} bytes`);
          }
          const sum = [...held.values()].reduce((total, body) => total + body.bytes, 0);
          assert.equal(budget.total, sum);
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  // Guards against ordinary callers that are refused while a crowd stops short of the end.
  it('refuses the bodies that have cost the most', () => {
    const crowd = Array.from({ length: 5 }, (_item, i) => `crowd-${i}`);
    const budget = budgetOf(crowd);
    crowd.forEach((key) => budget.update(key, 199_999, 0));
    budget.open('ordinary', MAX_BODY_BYTES, 1_000);
    assert.deepEqual(budget.update('ordinary', 6, 1_001), ['crowd-0']);
    assert.equal(budget.complete('ordinary', 6), true);
  });

  it('leaves room for small bodies beside complete ones', () => {
    const budget = budgetOf(['a', 'b', 'c', 'd', 'small']);
    assert.deepEqual(
      ['a', 'b', 'c', 'd'].map((key) => budget.complete(key, 200_000)),
      [true, true, true, false],
    );
    assert.equal(budget.complete('small', 60_000), true);
    budget.close('a');
    assert.equal(budget.total, 460_000);
  });

  // Guards against a body within its limit that is never accepted, as it is larger than all bodies may be.
  it('accepts one body of the maximum size, however large', () => {
    const budget = new BodyBudget<string>(MAX_BYTES);
    budget.open('a', 8 * MAX_BYTES, 0);
    assert.deepEqual(budget.update('a', 8 * MAX_BYTES, 1), []);
    assert.equal(budget.complete('a', 8 * MAX_BYTES), true);
  });
});
