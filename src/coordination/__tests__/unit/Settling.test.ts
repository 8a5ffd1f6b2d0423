import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { endSettling, isSettlingDue, openSettling, SETTLED } from '../../Settling.js';

/** When changes that come at these times, ms, are worked out by a process that looks at each of them and each 25 ms. */
function settle(changes: readonly number[], endsAt: number): readonly number[] {
  const done: number[] = [];
  let state = SETTLED;
  let next = 0;
  for (let now = 0; now <= endsAt; now += 1) {
    const before = next;
    while ((changes[next] ?? Infinity) <= now) {
      state = openSettling(state);
      next += 1;
    }
    const looks = next > before || now % 25 === 0;
    if (looks && isSettlingDue(state, now)) {
      state = endSettling(now);
      done.push(now);
    }
  }
  return done;
}

describe('changes that are worked out together', () => {
  // Guards against: each of thousands of endpoints that announce themselves has all members worked out anew.
  it('cost no more for three thousand endpoints that join within ten seconds', () => {
    const joins = Array.from({ length: 3_000 }, (_item, i) => (i * 10_000) / 3_000);
    const done = settle(joins, 10_200);
    assert.ok(done.length <= 202, `${done.length} times`);
    assert.ok((done.at(-1) ?? 0) >= 9_997, 'the last one counts');
  });

  it('count at once where they are alone, and soon where they are not', () => {
    assert.deepEqual(settle([10, 400, 410, 420], 1_000), [10, 400, 450]);
    assert.deepEqual(settle([], 1_000), []);
  });
});
