import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { STARTUP_WINDOW_MS, startupWaitMs } from '../../index.js';

/** How a caller fares who comes to a process that started at 0 and can serve from `servesAt` on. */
function outcomeOf(arrivesAt: number, deadlineMs: number, servesAt: number): 'served' | 'refused' {
  const waitMs = startupWaitMs(arrivesAt, 0, deadlineMs);
  return arrivesAt >= servesAt || arrivesAt + waitMs >= servesAt ? 'served' : 'refused';
}

describe('startupWait', () => {
  // Guards against: after a power loss callers are refused until the configuration is proven, and have no try left.
  it('serves all who come within their patience of the first proof', () => {
    const arrivals = Array.from({ length: 28 }, (_none, i) => i * 50);
    const outcomes = arrivals.map((at) => outcomeOf(at, 8_000, 1_500));
    assert.ok(outcomes.every((outcome) => outcome === 'served'));
  });

  it('keeps nobody beyond the deadline, nor beyond the patience of a caller', () => {
    assert.ok(startupWaitMs(0, 0, 600) < 600);
    assert.ok(startupWaitMs(1_500, 1_500, 8_000) < 500);
    assert.equal(startupWaitMs(0, 0, 20), 0);
  });

  // Guards against: callers wait in vain at a process that is cut off from control.
  it('refuses at once when the start is long ago', () => {
    assert.equal(startupWaitMs(STARTUP_WINDOW_MS, 0, 8_000), 0);
  });
});
