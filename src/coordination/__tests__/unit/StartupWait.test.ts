import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { STARTUP_WINDOW_MS, startupWaitMs } from '../../index.js';

/** Outcome for a caller that arrives at a process which started at 0 and can serve from `servesAt` on; ms. */
function outcomeOf(arrivesAt: number, deadlineMs: number, servesAt: number): 'served' | 'refused' {
  const waitMs = startupWaitMs(arrivesAt, 0, deadlineMs);
  return arrivesAt >= servesAt || arrivesAt + waitMs >= servesAt ? 'served' : 'refused';
}

describe('startupWait', () => {
  // Guards against refusing callers after a power loss until the configuration is proven: they have no retry left.
  it('serves all callers that arrive up to their patience before the configuration is proven', () => {
    const arrivals = Array.from({ length: 28 }, (_none, i) => i * 50);
    const outcomes = arrivals.map((at) => outcomeOf(at, 8_000, 1_500));
    assert.ok(outcomes.every((outcome) => outcome === 'served'));
  });

  it('makes no caller wait beyond its deadline or its patience', () => {
    assert.ok(startupWaitMs(0, 0, 600) < 600);
    assert.ok(startupWaitMs(1_500, 1_500, 8_000) < 500);
    assert.equal(startupWaitMs(0, 0, 20), 0);
  });

  // Guards against callers that wait in vain at a process which is partitioned from the control processes.
  it('refuses at once long after the start', () => {
    assert.equal(startupWaitMs(STARTUP_WINDOW_MS, 0, 8_000), 0);
  });
});
