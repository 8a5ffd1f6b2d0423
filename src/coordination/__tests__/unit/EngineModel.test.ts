import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EngineCosts } from '../../../protocol/index.js';
import { passTime, skewCorrection } from '../../index.js';

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
  // With 128 writers on 16 ranks, a pass takes 48 ms by the declared costs. At a skew of 3.7 it takes
  // 130 ms; the model predicts about 117 ms.
  it('predicts longer passes if one rank has most of the load', () => {
    assert.equal(skewCorrection(COSTS, 1), 1);
    const full = passTime(COSTS, COSTS.slots);
    assert.ok(Math.abs(full * skewCorrection(COSTS, 3.7) - 117) < 3);
  });
});
