import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  decideTrial,
  MAX_TRIED_CRASHES,
  TRIAL_INTERVAL_MS,
  UNANSWERED_MS,
  type TrialTimes,
} from '../../QuarantineTrials.js';

const HELD = { key: 'a=4', crashes: 4, answeredAt: -Infinity };

/** Times at which a request is sent that comes every 100 ms for a minute. */
function trialTimes(held: typeof HELD, random: number): readonly number[] {
  let times: TrialTimes = new Map();
  return Array.from({ length: 600 }, (_item, n) => n * 100).filter((now) => {
    const step = decideTrial(times, held, now, random);
    times = step.times;
    return step.isTrial;
  });
}

describe('decideTrial', () => {
  it('tries once an interval, first at a time of its own', () => {
    assert.deepEqual(trialTimes(HELD, 0.5).slice(0, 3), [5_000, 15_000, 25_000]);
    assert.equal(trialTimes(HELD, 0.1)[0], TRIAL_INTERVAL_MS / 10);
  });

  it('tries nothing with too many crashes, or soon after an answer', () => {
    assert.deepEqual(trialTimes({ ...HELD, crashes: MAX_TRIED_CRASHES + 1 }, 0.5), []);
    const [first = 0] = trialTimes({ ...HELD, answeredAt: 10_000 }, 0.5);
    assert.equal(first, 10_000 + UNANSWERED_MS + TRIAL_INTERVAL_MS / 2);
  });

  it('starts anew with another crash, and remembers a limited number of quarantines', () => {
    let times: TrialTimes = new Map([['a=3', 0]]);
    assert.ok(decideTrial(times, { ...HELD, key: 'a=3' }, 1, 0.5).isTrial);
    assert.ok(!decideTrial(times, HELD, 1, 0.5).isTrial);
    for (let n = 0; n < 1_000; n += 1) {
      times = decideTrial(times, { ...HELD, key: `b${n}` }, 1, 0.5).times;
    }
    assert.ok(times.size <= 64);
    assert.ok(times.has('b999'));
  });
});
