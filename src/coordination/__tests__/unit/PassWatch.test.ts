import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { IDLE_REPORT } from '../../../__tests__/utils/RankFixtures.js';
import type { RankReport } from '../../../protocol/index.js';
import {
  isStalled,
  NO_PASSES,
  restartPasses,
  watchPass,
  type PassWatchState,
} from '../../index.js';

const REPORT: RankReport = { ...IDLE_REPORT, active: 4 };

/** State after reports of (time, pass) in turn. */
function after(...seen: readonly (readonly [number, number])[]): PassWatchState {
  return seen.reduce((state, [at, step]) => watchPass(state, { ...REPORT, step }, at), NO_PASSES);
}

describe('PassWatch', () => {
  it('measures passes over a fifth of a second or more', () => {
    assert.equal(after([0, 10], [100, 12]).passMs, null);
    assert.equal(after([0, 10], [100, 12], [240, 14]).passMs, 60);
    assert.equal(after([0, 10], [240, 14], [600, 20]).passMs, 60);
  });

  it('says nothing across a pause, or a group that formed anew', () => {
    assert.equal(after([0, 10], [240, 14], [900, 20]).passMs, null);
    assert.equal(after([0, 10], [240, 14], [300, 1]).passMs, null);
    assert.equal(restartPasses(after([0, 10], [240, 14])).passMs, null);
  });

  // Load pattern: one slow rank makes passes of 260 ms. Guards against: the group is taken for quick, and filled.
  it('goes on measuring a pass that is longer than a measurement', () => {
    assert.equal(after([0, 10], [250, 10]).passMs, 250);
    assert.equal(after([0, 10], [250, 10], [500, 11]).passMs, 500);
    assert.equal(after([0, 10], [250, 11], [500, 11], [750, 12]).passMs, 500);
    const idle = watchPass(after([0, 10]), { ...REPORT, step: 10, active: 0 }, 250);
    assert.equal(idle.passMs, null);
  });

  // A rank has died, and the engines wait 1.5 s before they say so. Callers sent there meanwhile lose
  // their one further try; passes that no longer begin tell it within 0.65 s. An idle group makes none.
  it('tells a stalled group from an idle one', () => {
    assert.equal(isStalled(after([0, 10], [600, 10]), 640), false);
    assert.equal(isStalled(after([0, 10], [600, 10]), 660), true);
    const idle = watchPass(after([0, 10]), { ...REPORT, active: 0 }, 600);
    assert.equal(isStalled(idle, 5_000), false);
  });
});
