import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EngineCosts } from '../../../protocol/index.js';
import { expectedAnswer, passTime, skewCorrection } from '../../index.js';

const COSTS: EngineCosts = {
  slots: 8,
  stepsPerPass: 4,
  stepMs: 4.55,
  writerMs: 0.905,
  contextMsPerK: 0.018,
  readTokensPerMs: 61.4,
  expertShare: 0.85,
  sets: 4,
  experts: 64,
  slotsPerRank: 5,
  mostNew: 2,
  copyMs: 111,
  usualPrompt: 800,
  usualAnswer: 97,
};

describe('EngineModel', () => {
  // Load pattern: callers come back after an outage with three seconds left, and all allow 240 tokens. By
  // that each answer would take three seconds of writing and all would be refused; most take one.
  it('expects what a caller guesses, within what is usual and allowed', () => {
    assert.equal(expectedAnswer(COSTS, 80, 240), 80);
    assert.equal(expectedAnswer(COSTS, 12, 240), 48.5);
    assert.equal(expectedAnswer(COSTS, 426, 240), 240);
    assert.equal(expectedAnswer(COSTS, null, 240), 97);
    assert.equal(expectedAnswer(COSTS, null, 20), 20);
  });

  // Observed with 128 writers on 16 ranks: 48 ms by the declared costs, 130 ms at a skew of 3.7.
  it('expects longer passes where one rank has most of the work', () => {
    assert.equal(skewCorrection(COSTS, 1), 1);
    const full = passTime(COSTS, COSTS.slots);
    assert.ok(Math.abs(full * skewCorrection(COSTS, 3.7) - 117) < 3);
  });
});
