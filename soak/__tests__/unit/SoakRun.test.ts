import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { planDepartures } from '../../SoakDepartures.js';
import { REGRESSIONS } from '../../SoakRegressions.js';
import { planFaults } from '../../SoakSchedule.js';
import { isUnusualAnswer } from '../../SoakUnusualAnswers.js';
import { planAllFaults, runSoak, type SoakOptions, type SoakResult } from '../../SoakRun.js';

/** Options of a short run. */
const SHORT_RUN: Omit<SoakOptions, 'seed'> = {
  entries: 2,
  endpoints: 3,
  durationMs: 8_000,
  faultsPerSecond: 2,
  callers: 12,
};

describe('soak run', () => {
  it('has the same schedule for the same seed, and another one for another seed', () => {
    assert.deepEqual(planFaults(1, SHORT_RUN), planFaults(1, SHORT_RUN));
    assert.notDeepEqual(planFaults(1, SHORT_RUN), planFaults(2, SHORT_RUN));
  });

  it('plans unusual answers of engines in series, without changing the other faults', () => {
    const all = planAllFaults(1, SHORT_RUN);
    const unusual = all.filter(({ kind }) => isUnusualAnswer(kind));
    const departures = planDepartures(1, SHORT_RUN);
    assert.deepEqual(all, [...planFaults(1, SHORT_RUN), ...unusual, ...departures]);
    assert.deepEqual(all, planAllFaults(1, SHORT_RUN));
    const [first, second] = unusual;
    assert.equal(first?.target, second?.target);
  });

  // Two requests crash the ranks that run them; each is sent to all entry hosts every 0.3 s, without other faults. Each
  // crash aborts the work of the whole group. Soon after a request's third crash it must reach no rank any more, while
  // all other requests are served.
  it('quarantines requests that crash the ranks of a group', async () => {
    const { findings, figures } = await runSoak({
      ...SHORT_RUN,
      durationMs: 10_000,
      seed: 5,
      faults: [],
      relief: [],
      evacuations: [],
    });
    assert.deepEqual(findings, []);
    assert.ok((figures.engineEnds ?? 0) > 0);
    assert.ok((figures.whole ?? 0) > 50);
  });

  // Without any other fault, entry hosts must not send engines what these have asked them not to send.
  it('honours the relief that engines request in their answers', async () => {
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
      evacuations: [],
      relief,
    };
    const { findings, figures } = await runSoak(run);
    assert.deepEqual(findings, []);
    assert.ok((figures.refusals ?? 0) > 0);
    assert.ok((figures.whole ?? 0) > 50);
  });

  // Guards against an engine that gets requests after its deregistration, once a late heartbeat has arrived at control
  // processes that were killed meanwhile.
  it('sends nothing to an engine that has deregistered', async () => {
    const options = { ...SHORT_RUN, seed: 7, durationMs: 9_000 };
    const { findings, figures } = await runSoak({
      ...options,
      faults: planDepartures(options.seed, options),
      relief: [],
      fatalRequests: [],
      evacuations: [],
    });
    assert.deepEqual(findings, []);
    assert.equal(figures.departures, 1);
    assert.ok((figures.whole ?? 0) > 50);
  });

  // Processes are killed, paused and stopped, links are cut and reset, and engines crash, leave and give unusual
  // answers, while callers send requests and resume streams. No guarantee may be violated, and requests must be served
  // again at the end.
  async function assertNoFindings(seed: number): Promise<SoakResult['figures']> {
    const { findings, figures } = await runSoak({ ...SHORT_RUN, seed });
    assert.deepEqual(findings, []);
    assert.ok((figures.whole ?? 0) > 50);
    return figures;
  }

  REGRESSIONS.forEach(({ seed, cause }) => {
    it(`keeps its guarantees for seed ${seed}, which failed: ${cause}`, async () => {
      await assertNoFindings(seed);
    });
  });

  // A caller that resumes a stream after its last event must not get a success without the engine's headers.
  it('keeps its guarantees for a new seed, in which callers resume after the last event', async () => {
    const { afterLast = 0 } = await assertNoFindings(1);
    assert.ok(afterLast > 0);
  });
});
