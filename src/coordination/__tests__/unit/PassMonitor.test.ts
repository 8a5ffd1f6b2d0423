import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { IDLE_REPORT } from '../../../__tests__/utils/RankFixtures.js';
import type { RankReport } from '../../../protocol/index.js';
import {
  isStalled,
  INITIAL_PASS_MONITOR,
  resetMeasurement,
  observeReport,
  type PassMonitor,
} from '../../index.js';

const REPORT: RankReport = { ...IDLE_REPORT, active: 4 };

/** State after reports of (time, pass) in order. */
function observeAll(...reports: readonly (readonly [number, number])[]): PassMonitor {
  return reports.reduce(
    (state, [at, step]) => observeReport(state, { ...REPORT, step }, at),
    INITIAL_PASS_MONITOR,
  );
}

describe('PassMonitor', () => {
  it('measures passes over a fifth of a second or more', () => {
    assert.equal(observeAll([0, 10], [100, 12]).passMs, null);
    assert.equal(observeAll([0, 10], [100, 12], [240, 14]).passMs, 60);
    assert.equal(observeAll([0, 10], [240, 14], [600, 20]).passMs, 60);
  });

  it('reports no pass time across a gap or for a group that has re-formed', () => {
    assert.equal(observeAll([0, 10], [240, 14], [900, 20]).passMs, null);
    assert.equal(observeAll([0, 10], [240, 14], [300, 1]).passMs, null);
    assert.equal(resetMeasurement(observeAll([0, 10], [240, 14])).passMs, null);
  });

  // Load pattern: one slow rank makes passes of 260 ms. Guards against: the group is considered fast, and filled.
  it('keeps measuring a pass that is longer than a measurement', () => {
    assert.equal(observeAll([0, 10], [250, 10]).passMs, 250);
    assert.equal(observeAll([0, 10], [250, 10], [500, 11]).passMs, 500);
    assert.equal(observeAll([0, 10], [250, 11], [500, 11], [750, 12]).passMs, 500);
    const idle = observeReport(observeAll([0, 10]), { ...REPORT, step: 10, active: 0 }, 250);
    assert.equal(idle.passMs, null);
  });

  // A rank has crashed, and the engines wait 1.5 s before they report it. Requests sent there meanwhile lose their
  // only retry; missing passes show the crash within 0.65 s. An idle group runs no passes either.
  it('distinguishes a stalled group from an idle one', () => {
    assert.equal(isStalled(observeAll([0, 10], [600, 10]), 640), false);
    assert.equal(isStalled(observeAll([0, 10], [600, 10]), 660), true);
    const idle = observeReport(observeAll([0, 10]), { ...REPORT, active: 0 }, 600);
    assert.equal(isStalled(idle, 5_000), false);
  });
});
