import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { REGRESSIONS } from '../../SoakRegressions.js';
import { planSoak } from '../../SoakSchedule.js';
import { isOddity } from '../../SoakOddities.js';
import { planAll, playSoak, type SoakOptions, type SoakResult } from '../../SoakRun.js';

/** A short run. */
const SHORT: Omit<SoakOptions, 'seed'> = {
  entries: 2,
  endpoints: 3,
  lengthMs: 8_000,
  rate: 2,
  callers: 12,
};

describe('a soak run', () => {
  it('has the same schedule for the same seed, and another for another', () => {
    assert.deepEqual(planSoak(1, SHORT), planSoak(1, SHORT));
    assert.notDeepEqual(planSoak(1, SHORT), planSoak(2, SHORT));
  });

  it('has the unusual answers of engines apart from its other disturbances, in series', () => {
    const all = planAll(1, SHORT);
    const odd = all.filter(({ kind }) => isOddity(kind));
    assert.deepEqual(all, [...planSoak(1, SHORT), ...odd]);
    assert.deepEqual(all, planAll(1, SHORT));
    const [first, second] = odd;
    assert.equal(first?.target, second?.target);
  });

  // Two requests end the ranks that run them, each sent to all entry hosts every 0.3 s, and nothing else is done. Each
  // end takes the whole group's work. Soon after the third neither may reach a rank any more, and all others go on.
  it('holds what ends the ranks of a group', async () => {
    const { findings, figures } = await playSoak({
      ...SHORT,
      lengthMs: 10_000,
      seed: 5,
      faults: [],
      needs: [],
    });
    assert.deepEqual(findings, []);
    assert.ok((figures.engineEnds ?? 0) > 0);
    assert.ok((figures.whole ?? 0) > 50);
  });

  // Guards against: engines in need, and nothing else going on, get what they have asked entry hosts not to send.
  it('keeps to what engines ask for in their answers', async () => {
    const need = { perSecond: 1, at: 500, forMs: 9_000 };
    const needs = [
      { ...need, kind: 'limit' as const, host: 1 },
      { ...need, kind: 'rest' as const, host: 2 },
      { ...need, kind: 'leave' as const, host: 3 },
    ];
    const run = {
      ...SHORT,
      endpoints: 4,
      lengthMs: 10_000,
      seed: 6,
      callers: 24,
      faults: [],
      fatal: [],
      needs,
    };
    const { findings, figures } = await playSoak(run);
    assert.deepEqual(findings, []);
    assert.ok((figures.refusals ?? 0) > 0);
    assert.ok((figures.whole ?? 0) > 50);
  });

  // Processes are killed, paused and stopped, links are cut and reset, engines crash, leave and answer unusually, while
  // callers go on and come back for streams. Whatever they see must keep the promises, and all must be served again at
  // the end.
  async function assertKept(seed: number): Promise<SoakResult['figures']> {
    const { findings, figures } = await playSoak({ ...SHORT, seed });
    assert.deepEqual(findings, []);
    assert.ok((figures.whole ?? 0) > 50);
    return figures;
  }

  REGRESSIONS.forEach(({ seed, cause }) => {
    it(`keeps the promises for seed ${seed}, which failed: ${cause}`, async () => {
      await assertKept(seed);
    });
  });

  // Guards against: a caller that comes back after the last event of a stream gets a success without its head.
  it('keeps the promises for a new seed, in which callers come back after the last event', async () => {
    const { afterLast = 0 } = await assertKept(1);
    assert.ok(afterLast > 0);
  });
});
