import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runSoak, type SoakOptions } from '../../SoakRun.js';

/** Options of a short run. */
const SHORT_RUN: Omit<SoakOptions, 'seed'> = {
  entries: 2,
  endpoints: 3,
  durationMs: 8_000,
  faultsPerSecond: 2,
  callers: 12,
};

describe('soak run with evacuated zones and cold engines', () => {
  // Without any other fault, both zones in turn must get nothing later than the bound, and requests be served by the
  // other one. All control processes are killed meanwhile, which must not end an evacuation.
  it('sends nothing to an evacuated zone', async () => {
    const { findings, figures } = await runSoak({
      ...SHORT_RUN,
      endpoints: 4,
      durationMs: 10_000,
      seed: 7,
      faults: [{ kind: 'controlKillAll', target: 'all', at: 3_000, forMs: 200 }],
      relief: [],
      fatalRequests: [],
      evacuations: [
        { zone: 'z1', at: 500, forMs: 12_000 },
        { zone: 'z2', at: 13_500, forMs: 8_000 },
      ],
    });
    assert.deepEqual(findings, []);
    assert.equal(figures.evacuations, 2);
    assert.ok((figures.whole ?? 0) > 50);
  });

  // Without any other fault, no more requests may reach a cold engine in a second than it tolerates.
  it('sends few requests to engines that start cold', async () => {
    const start = { kind: 'coldStart' as const, forMs: 6_000 };
    const { findings, figures } = await runSoak({
      ...SHORT_RUN,
      durationMs: 10_000,
      seed: 7,
      callers: 24,
      faults: [],
      relief: [],
      fatalRequests: [],
      evacuations: [],
      coldStarts: [
        { ...start, target: 'engine-1', at: 500 },
        { ...start, target: 'engine-2', at: 3_000 },
      ],
    });
    assert.deepEqual(findings, []);
    assert.ok((figures.cold ?? 0) > 0);
    assert.ok((figures.whole ?? 0) > 50);
  });
});
