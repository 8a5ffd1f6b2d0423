import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { planConfigLosses } from '../../SoakConfigSchedule.js';
import { runConfigSoak, type SoakConfigOptions } from '../../SoakConfigRun.js';

/** Options of a short run. */
const SHORT_RUN: Omit<SoakConfigOptions, 'seed'> = {
  controls: 6,
  lossesBorne: 2,
  entries: 2,
  rounds: 1,
};

describe('configuration soak run', () => {
  it('has the same plan for the same seed, and another one for another seed', () => {
    assert.deepEqual(planConfigLosses(1, SHORT_RUN), planConfigLosses(1, SHORT_RUN));
    assert.notDeepEqual(planConfigLosses(1, SHORT_RUN), planConfigLosses(2, SHORT_RUN));
  });

  it('never loses more disks at once than may be lost', () => {
    Array.from({ length: 200 }, (_item, seed) => planConfigLosses(seed, SHORT_RUN)).forEach(
      ({ rounds, replacements, powerLosses }) => {
        const sizes = [
          ...rounds.map((round) => round.length),
          ...replacements.map(({ wiped }) => wiped.length),
          ...powerLosses.map(({ wiped }) => wiped.length),
        ];
        assert.ok(Math.max(...sizes) <= SHORT_RUN.lossesBorne);
      },
    );
  });

  // Control hosts are lost, one is replaced as planned while others lose their disks, then all processes are killed twice with disks lost. What was acknowledged must be read back
  // at each control host, and entry hosts must know the newest route.
  it('reads back what was acknowledged after hosts, power and disks were lost', async () => {
    const { findings, figures } = await runConfigSoak({ ...SHORT_RUN, seed: 1 });
    assert.deepEqual(findings, []);
    assert.ok((figures.acked ?? 0) > 20);
  });
});
