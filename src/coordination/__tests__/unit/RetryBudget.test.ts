import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  countFirstAttempt,
  EMPTY_RETRY_BUDGET,
  takeRetryWithin,
  type RetryAllowance,
  type RetryBudgetState,
} from '../../index.js';

const ALLOWANCE: RetryAllowance = { ratio: 0.2, extra: 88, windowMs: 10_000 };

function takeMany(state: RetryBudgetState, now: number, processes: number): number {
  let remaining = state;
  let taken = 0;
  for (let i = 0; i < 1_000; i += 1) {
    const next = takeRetryWithin(remaining, now, ALLOWANCE, processes);
    remaining = next.state;
    taken += Number(next.allowed);
  }
  return taken;
}

describe('RetryBudget', () => {
  // If each process that does not know the number of processes used the whole fixed part, together they
  // would send several times the retries that the endpoints can handle.
  it('spends nothing of the fixed part while the number of processes is unknown', () => {
    assert.equal(takeMany(EMPTY_RETRY_BUDGET, 0, 0), 0);
  });

  it('divides the fixed part among the processes', () => {
    assert.equal(takeMany(EMPTY_RETRY_BUDGET, 0, 6), Math.floor((0.8 * 88) / 6));
  });

  it('drops first attempts that have left the window', () => {
    let state = EMPTY_RETRY_BUDGET;
    for (let i = 0; i < 100; i += 1) {
      state = countFirstAttempt(state, i, ALLOWANCE);
    }
    assert.equal(takeMany(state, 100, 0), Math.floor(0.8 * 0.2 * 100));
    assert.equal(takeMany(state, 20_000, 0), 0);
  });

  // Whatever the order of requests and failures, no window may have more retries of all processes together
  // than the ratio of its first attempts plus the fixed part.
  it('keeps every window of six processes within the allowance', () => {
    const event = fc.record({
      process: fc.nat({ max: 5 }),
      gap: fc.nat({ max: 120 }),
      fails: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 600 }), (events) => {
        const states = Array.from({ length: 6 }, () => EMPTY_RETRY_BUDGET);
        const firsts: number[] = [];
        const retries: number[] = [];
        let now = 0;
        events.forEach(({ process, gap, fails }) => {
          now += gap;
          const counted = countFirstAttempt(states[process] ?? EMPTY_RETRY_BUDGET, now, ALLOWANCE);
          firsts.push(now);
          const { state, allowed } = takeRetryWithin(counted, now, ALLOWANCE, 6);
          states[process] = fails ? state : counted;
          if (fails && allowed) {
            retries.push(now);
          }
        });
        const inWindow = (times: readonly number[], end: number): number =>
          times.filter((t) => t <= end && t > end - ALLOWANCE.windowMs).length;
        retries.forEach((end) => {
          const most = ALLOWANCE.ratio * inWindow(firsts, end) + ALLOWANCE.extra;
          assert.ok(inWindow(retries, end) <= most);
        });
      }),
      { seed: 77, numRuns: 200 },
    );
  });
});
