import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { REGRESSIONS } from '../../SoakRegressions.js';
import { planFaults } from '../../SoakSchedule.js';
import { isUnusualAnswer } from '../../SoakUnusualAnswers.js';
import { planAllFaults, runSoak, type SoakOptions, type SoakResult } from '../../SoakRun.js';

/** A short run. */
const SHORT_RUN: Omit<SoakOptions, 'seed'> = {
  entries: 2,
  endpoints: 3,
  durationMs: 8_000,
  faultsPerSecond: 2,
  callers: 12,
};

describe('a soak run', () => {
  it('has the same schedule for the same seed, and another for another', () => {
    assert.deepEqual(planFaults(1, SHORT_RUN), planFaults(1, SHORT_RUN));
    assert.notDeepEqual(planFaults(1, SHORT_RUN), planFaults(2, SHORT_RUN));
  });

  it('has the unusual answers of engines apart from its other disturbances, in series', () => {
    const all = planAllFaults(1, SHORT_RUN);
    const unusual = all.filter(({ kind }) => isUnusualAnswer(kind));
    assert.deepEqual(all, [...planFaults(1, SHORT_RUN), ...unusual]);
    assert.deepEqual(all, planAllFaults(1, SHORT_RUN));
    const [first, second] = unusual;
    assert.equal(first?.target, second?.target);
  });

  // Two requests end the ranks that run them, each sent to all entry hosts every 0.3 s, and nothing else is done. Each
  // end takes the whole group's work. Soon after the third neither may reach a rank any more, and all others go on.
  it('holds what ends the ranks of a group', async () => {
    const { findings, figures } = await runSoak({
      ...SHORT_RUN,
      durationMs: 10_000,
      seed: 5,
      faults: [],
      relief: [],
    });
    assert.deepEqual(findings, []);
    assert.ok((figures.engineEnds ?? 0) > 0);
    assert.ok((figures.whole ?? 0) > 50);
  });

  // Guards against: engines in need, and nothing else going on, get what they have asked entry hosts not to send.
  it('keeps to what engines ask for in their answers', async () => {
    const plan = { perSecond: 1, at: 500, forMs: 9_000 };
    const relief = [
      { ...plan, kind: 'limit' as const, host: 1 },
      { ...plan, kind: 'rest' as const, host: 2 },
      { ...plan, kind: 'leave' as const, host: 3 },
    ];
    const run = {
      ...SHORT_RUN,
      endpoints: 4,
      durationMs: 10_000,
      seed: 6,
      callers: 24,
      faults: [],
      fatalRequests: [],
      relief,
    };
    const { findings, figures } = await runSoak(run);
    assert.deepEqual(findings, []);
    assert.ok((figures.refusals ?? 0) > 0);
    assert.ok((figures.whole ?? 0) > 50);
  });

  // Processes are killed, paused and stopped, links are cut and reset, engines crash, leave and answer unusually, while
  // callers go on and come back for streams. Whatever they see must keep the promises, and all must be served again at
  // the end.
  async function assertNoFindings(seed: number): Promise<SoakResult['figures']> {
    const { findings, figures } = await runSoak({ ...SHORT_RUN, seed });
    assert.deepEqual(findings, []);
    assert.ok((figures.whole ?? 0) > 50);
    return figures;
  }

  REGRESSIONS.forEach(({ seed, cause }) => {
    it(`keeps the promises for seed ${seed}, which failed: ${cause}`, async () => {
      await assertNoFindings(seed);
    });
  });

  // Guards against: a caller that comes back after the last event of a stream gets a success without its head.
  it('keeps the promises for a new seed, in which callers come back after the last event', async () => {
    const { afterLast = 0 } = await assertNoFindings(1);
    assert.ok(afterLast > 0);
  });
});
