import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LoadModel, type LoadSample, type LoadScenario } from '../utils/LoadModel.js';

/**
 * Time after which the start of the model, where no host knows anything, has no effect any more, and the end of a
 * run, ms. Before it, one coordinator decides alone.
 */
const WARM_MS = 4_000;
const END_MS = 12_000;

/** Bound on the slots in use, as a multiple of the true limit. */
const BOUND = 1.1;

/** Coordinators that live for 1 to 1.4 s after the first, with 0.5 to 1 s between two of them. */
const SUCCESSION = Array.from({ length: 8 }, (_item, i): readonly [number, number] => {
  const from = i === 0 ? 0 : 1_200 + i * 1_900 + (i % 3) * 250;
  return [from, i === 0 ? 2_600 : from + 1_000 + (i % 4) * 130];
});

const BASE: LoadScenario = { hosts: 35, seed: 1, skewAt: () => 3.3, lives: SUCCESSION };

const ONE_COORDINATOR = [[0, END_MS]] as const;

/**
 * The group is overloaded throughout: every host always has requests waiting. In the sequence that this covers, the
 * successors of a killed coordinator published empty loads with a skew of 1, and the group got twice its limit.
 */
const SCENARIOS: Readonly<Record<string, Partial<LoadScenario>>> = {
  'coordinators that die in succession': {},
  'the same with 300 hosts': { hosts: 300, seed: 2 },
  'the same under an even map': { skewAt: () => 1.1 },
  'a partitioned coordinator that publishes beside its successor': {
    lives: [
      [0, 8_000],
      [4_000, END_MS],
    ],
  },
  'a coordinator whose loads become 1 s late': {
    lives: ONE_COORDINATOR,
    loadDelayMs: (now) => (now > 4_000 ? 1_000 : 0),
  },
  'duplicated loads': { copies: 2, seed: 5 },
  'a host that has just joined': { joinsAt: 5_300, seed: 3 },
  'reports of a third of the ranks that are missing': { isMissing: (rank) => rank % 3 === 2 },
};

function ratios(samples: readonly LoadSample[]): readonly number[] {
  return samples.filter(({ at }) => at >= WARM_MS).map(({ used, trueLimit }) => used / trueLimit);
}

describe('load state of a group', () => {
  Object.entries(SCENARIOS).forEach(([name, scenario]) => {
    it(`never uses more than ${BOUND} times the true limit with ${name}`, () => {
      const all = ratios(new LoadModel({ ...BASE, ...scenario }).run(END_MS));
      const mean = all.reduce((sum, ratio) => sum + ratio, 0) / all.length;
      assert.ok(Math.max(...all) <= BOUND, `at most ${Math.max(...all)}`);
      // Slots must not be left unused either while no coordinator is known.
      assert.ok(mean >= 0.9, `mean ${mean}`);
    });
  });

  // Requests that run when the demand shifts can't be stopped, so the bound is the largest limit of the last 3 s.
  it('stays below the recent limit while demand shifts and coordinators die', () => {
    const skewAt = (now: number): number => (now % 2_600 < 1_100 ? 3.3 : 1.2);
    const samples = new LoadModel({ ...BASE, skewAt }).run(END_MS);
    const excess = samples.map(({ at, used }, i) => {
      const recent = samples.slice(Math.max(0, i - 300), i + 1).map(({ trueLimit }) => trueLimit);
      return at < WARM_MS ? 0 : used / Math.max(...recent);
    });
    assert.ok(Math.max(...excess) <= BOUND, `${Math.max(...excess)}`);
  });
});
