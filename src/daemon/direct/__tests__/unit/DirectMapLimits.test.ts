import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EngineCosts } from '../../../../protocol/index.js';
import { mapPolicy } from '../../DirectMapLimits.js';

const COSTS: EngineCosts = {
  slots: 8,
  stepsPerPass: 5,
  stepMs: 5.85,
  writerMs: 0.5,
  contextMsPerK: 0.05,
  readTokensPerMs: 61.2,
  expertShare: 0.85,
  sets: 3,
  experts: 96,
  slotsPerRank: 11,
  mostNew: 4,
  copyMs: 142,
  usualPrompt: 835,
  usualAnswer: 139,
};

describe('mapPolicy', () => {
  // Demand shifts every few seconds, and passes stay uneven until a change is in use. If a rank copied as many
  // experts as it may, a change would take seconds with large experts; if the number were fixed for large ones, small
  // experts would take several changes.
  it('lets a change copy for about 0.3 s, whatever the size of an expert', () => {
    assert.equal(mapPolicy(COSTS).maxCopiesPerRank, 2);
    assert.equal(mapPolicy({ ...COSTS, copyMs: 27, sets: 16, mostNew: 2 }).maxCopiesPerRank, 10);
  });

  it('allows no more copies than an engine accepts, and at least one', () => {
    assert.equal(mapPolicy({ ...COSTS, copyMs: 1 }).maxCopiesPerRank, 12);
    assert.equal(mapPolicy({ ...COSTS, copyMs: 0 }).maxCopiesPerRank, 12);
    assert.equal(mapPolicy({ ...COSTS, copyMs: 2_000 }).maxCopiesPerRank, 1);
  });
});
