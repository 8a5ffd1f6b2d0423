import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { enqueue, expectAnswer } from '../../index.js';

const USUAL = 70;

describe('expectAnswer', () => {
  it('is the usual length without a guess, bounded by what the caller allows', () => {
    assert.equal(expectAnswer({ mostTokens: 240, hintTokens: null }, USUAL), USUAL);
    assert.equal(expectAnswer({ mostTokens: 16, hintTokens: null }, USUAL), 16);
    assert.equal(expectAnswer({ mostTokens: 16, hintTokens: 900 }, USUAL), 16);
  });

  it('follows a guess half of the way', () => {
    const ratios = [USUAL / 4, USUAL * 4].map(
      (hintTokens) => expectAnswer({ mostTokens: null, hintTokens }, USUAL) / USUAL,
    );
    assert.deepEqual(ratios, [0.5, 2]);
  });

  // A group was down for six seconds and opens with its first map: a pass takes 75 ms, an event of five tokens
  // each. A caller that was sent away comes back with 3.9 s left and allows 240 tokens, of which it will get 70.
  // Places are free, and it has no further try: it must be begun.
  it('lets a caller be begun that came back to a group that has just opened', () => {
    const tokens = expectAnswer({ mostTokens: 240, hintTokens: 90 }, USUAL);
    const returned = {
      ...{ id: 1, priority: 1, arrivedAt: 0, objectiveAt: 0, deadline: 3_900, patientUntil: 2_000 },
      tokens,
      returned: true,
    };
    const opened = {
      ...{ free: 11, ratePerMs: 0.01, firstMs: 150 },
      writeMs: (length: number) => (length / 5) * 75,
    };
    assert.deepEqual(enqueue([], returned, opened, 0, 0.5).admitted, [1]);
  });
});
