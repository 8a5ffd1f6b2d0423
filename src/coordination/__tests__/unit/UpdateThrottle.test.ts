import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { finishUpdate, isUpdateDue, requestUpdate, IDLE_THROTTLE } from '../../UpdateThrottle.js';

/**
 * Times of updates, ms, for changes at these times, in a process that checks the throttle at each change and every
 * 25 ms.
 */
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

describe('UpdateThrottle', () => {
  // Guards against: each of thousands of endpoints that announce themselves causes an update of all members.
  it('limits the updates for three thousand endpoints that join within ten seconds', () => {
    const joins = Array.from({ length: 3_000 }, (_item, i) => (i * 10_000) / 3_000);
    const updates = runThrottle(joins, 10_200);
    assert.ok(updates.length <= 202, `${updates.length} times`);
    assert.ok((updates.at(-1) ?? 0) >= 9_997, 'the last one counts');
  });

  it('updates at once for a single change, and soon for those that follow', () => {
    assert.deepEqual(runThrottle([10, 400, 410, 420], 1_000), [10, 400, 450]);
    assert.deepEqual(runThrottle([], 1_000), []);
  });
});
