import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { drawCase } from '../../FuzzPlan.js';
import { REGRESSIONS } from '../../FuzzRegressions.js';
import { runCase, runFuzz } from '../../FuzzRun.js';

/** Case that a run begins with, how many follow, and how many are played at once. */
const RUN = { seed: 1, cases: 1_200, jobs: 16, maxFailures: 3 } as const;

/** Of all requests of a run, at least this share is answered whole: else the run shows little. */
const MIN_COMPLETE_SHARE = 0.25;

describe('a fuzz run', () => {
  it('has the same case for the same seed, and another for another', () => {
    assert.deepEqual(drawCase(1), drawCase(1));
    assert.notDeepEqual(drawCase(1), drawCase(2));
  });

  // Guards against: an answer that an endpoint didn't give to this request, and what a run leaves behind.
  it('breaks no promise and leaves nothing behind', async () => {
    const { failures, leaks, outcomes } = await runFuzz(RUN);
    const requests = Object.values(outcomes).reduce((sum, count) => sum + count, 0);
    assert.deepEqual(failures, []);
    assert.deepEqual(leaks, []);
    assert.ok(outcomes.whole / requests > MIN_COMPLETE_SHARE, JSON.stringify(outcomes));
  });

  REGRESSIONS.forEach(({ name, symptom, seed, plan }) => {
    it(`keeps its promises with ${name}`, async () => {
      const { findings } = await runCase(plan, seed);
      assert.deepEqual(findings, [], symptom);
    });
  });
});
