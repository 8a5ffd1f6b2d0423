import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { dropRested, MOST_RESTS, takeRest, type RestPaces } from '../../EndpointRests.js';
import { paceWait, takeTurn } from '../../LimitShare.js';

const LIFE = 'i-1@1';

function waitAt(paces: RestPaces, now: number): number {
  const pace = paces.get(LIFE);
  return pace === undefined ? 0 : paceWait(pace, now);
}

describe('rests of endpoints', () => {
  it('last as long as was asked, and are lengthened but never shortened', () => {
    const first = takeRest(new Map(), LIFE, 3_000, 0);
    assert.equal(waitAt(first, 0), 3_000);
    assert.equal(waitAt(takeRest(first, LIFE, 1_000, 500), 500), 2_500);
    assert.equal(waitAt(takeRest(first, LIFE, 3_000, 500), 500), 3_000);
  });

  // Guards against: all that has waited for the end of a rest is sent in one moment.
  it('end with one request after the other', () => {
    const paces = takeRest(new Map(), LIFE, 1_000, 0);
    const pace = paces.get(LIFE);
    assert.ok(pace !== undefined);
    const waits = [1, 2, 3].reduce<{ at: number[]; pace: typeof pace }>(
      ({ at, pace: before }) => ({ at: [...at, paceWait(before, 0)], pace: takeTurn(before, 0) }),
      { at: [], pace },
    );
    assert.deepEqual(waits.at, [1_000, 1_025, 1_050]);
    assert.equal(waits.pace.until, 1_000);
  });

  it('are kept of so many endpoints and no more, those that last longest', () => {
    const lives = Array.from({ length: MOST_RESTS + 1 }, (_item, i) => `i-${i}@1`);
    const paces = lives.reduce<RestPaces>(
      (state, life, i) => takeRest(state, life, 1_000 + i, 0),
      new Map(),
    );
    assert.equal(paces.size, MOST_RESTS);
    assert.ok(!paces.has('i-0@1'));
  });

  it('are forgotten once they and the turns after them are over', () => {
    const paces = takeRest(new Map(), LIFE, 1_000, 0);
    assert.equal(dropRested(paces, 999), paces);
    assert.equal(dropRested(paces, 1_000).size, 0);
  });
});
