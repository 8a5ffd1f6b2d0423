import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { drawCase } from '../../FuzzPlan.js';
import { REGRESSIONS } from '../../FuzzRegressions.js';
import { runCase, runFuzz } from '../../FuzzRun.js';

/** First seed, number of cases and number of concurrent cases of the run. */
const RUN = { seed: 1, cases: 1_200, jobs: 16, maxFailures: 3 } as const;

/** Minimum share of requests with a complete success; with fewer, the run tests little of the path of a request. */
const MIN_COMPLETE_SHARE = 0.25;

describe('a fuzz run', () => {
  it('generates the same case for the same seed and another case for another seed', () => {
    assert.deepEqual(drawCase(1), drawCase(1));
    assert.notDeepEqual(drawCase(1), drawCase(2));
  });

  // Callers must get no answer that an endpoint didn't give to their request, and the run must leak no resources.
  it('violates no guarantee and leaks no resources', async () => {
    const { failures, leaks, outcomes } = await runFuzz(RUN);
    const requests = Object.values(outcomes).reduce((sum, count) => sum + count, 0);
    assert.deepEqual(failures, []);
    assert.deepEqual(leaks, []);
    assert.ok(outcomes.whole / requests > MIN_COMPLETE_SHARE, JSON.stringify(outcomes));
  });

  REGRESSIONS.forEach(({ name, symptom, seed, plan }) => {
    it(`violates no guarantee with ${name}`, async () => {
      const { findings } = await runCase(plan, seed);
      assert.deepEqual(findings, [], symptom);
    });
  });
});
