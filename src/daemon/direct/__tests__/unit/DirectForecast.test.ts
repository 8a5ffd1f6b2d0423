import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { COSTS } from '../../../../coordination/__tests__/utils/LoadModel.js';
import { forecastService } from '../../DirectForecast.js';
import type { DirectGroups } from '../../DirectGroups.js';

function rateWith(allowance: number, allowanceAtLoad: number): number {
  const group = { ranks: [], open: true, brokenAt: null, passMs: 50, allowance, allowanceAtLoad };
  const groups = {
    own: new Map(),
    at: () => [group],
    hasUsable: () => true,
    isRecovering: () => false,
    isLongDown: () => false,
  };
  const model = { costs: COSTS, pauseMs: 120 };
  const input = { service: 's', model, unsent: 0, freeAt: null, grants: null };
  return forecastService(groups as unknown as DirectGroups, input).ratePerMs;
}

describe('forecastService', () => {
  // No load arrives, as in a partition. Guards against refusing requests at once that the group can still serve, because
  // the allowance is discounted meanwhile.
  it('expects waits by the allowance of the last complete load', () => {
    assert.equal(rateWith(1, 20), rateWith(20, 20));
    assert.equal(rateWith(20, Infinity), rateWith(20, 20));
    assert.ok(rateWith(1, 1) < rateWith(20, 20));
  });
});
