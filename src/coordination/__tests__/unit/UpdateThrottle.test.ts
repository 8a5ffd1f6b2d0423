import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { finishUpdate, isUpdateDue, requestUpdate, IDLE_THROTTLE } from '../../UpdateThrottle.js';

/** When changes that come at these times, ms, are worked out by a process that looks at each of them and each 25 ms. */
function runThrottle(changes: readonly number[], endsAt: number): readonly number[] {
  const updateTimes: number[] = [];
  let state = IDLE_THROTTLE;
  let next = 0;
  for (let now = 0; now <= endsAt; now += 1) {
    const before = next;
    while ((changes[next] ?? Infinity) <= now) {
      state = requestUpdate(state);
      next += 1;
    }
    const isChecked = next > before || now % 25 === 0;
    if (isChecked && isUpdateDue(state, now)) {
      state = finishUpdate(now);
      updateTimes.push(now);
    }
  }
  return updateTimes;
}

describe('changes that are worked out together', () => {
  // Guards against: each of thousands of endpoints that announce themselves has all members worked out anew.
  it('cost no more for three thousand endpoints that join within ten seconds', () => {
    const joins = Array.from({ length: 3_000 }, (_item, i) => (i * 10_000) / 3_000);
    const updates = runThrottle(joins, 10_200);
    assert.ok(updates.length <= 202, `${updates.length} times`);
    assert.ok((updates.at(-1) ?? 0) >= 9_997, 'the last one counts');
  });

  it('count at once where they are alone, and soon where they are not', () => {
    assert.deepEqual(runThrottle([10, 400, 410, 420], 1_000), [10, 400, 450]);
    assert.deepEqual(runThrottle([], 1_000), []);
  });
});
