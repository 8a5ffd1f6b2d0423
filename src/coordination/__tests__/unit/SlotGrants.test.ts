import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { GroupDemand } from '../../../protocol/index.js';
import {
  decideGrants,
  DEMAND_TTL_MS,
  limitGrants,
  recordDemands,
  startableRequests,
  sumDemands,
  type CustomerDemand,
} from '../../urgency/index.js';
import { OVERLOAD_COSTS, runOverload, type OverloadRun } from '../utils/OverloadModel.js';

const INTERVAL_MS = 250;

function demand(priority: number, customer: string, amount: number): CustomerDemand {
  return { priority, customer, demand: amount };
}

function message(host: string, waiting: number): GroupDemand {
  return { group: 'g', host, rows: [{ priority: 1, customer: 'a', waiting, perSecond: 4 }] };
}

function near(actual: number | undefined, expected: number): void {
  assert.ok(Math.abs((actual ?? NaN) - expected) < 1e-6, `${actual} instead of ${expected}`);
}

describe('SlotGrants', () => {
  it('grants nothing while all demand may start', () => {
    assert.equal(decideGrants([demand(0, 'a', 10)], 10, INTERVAL_MS), null);
  });

  it('counts the free slots and those that become free in the interval', () => {
    const usage = { limit: 360, running: 336, passMs: 60, intervalMs: INTERVAL_MS };
    near(startableRequests(usage, OVERLOAD_COSTS), 24 + (336 * 250) / 1_680);
    near(startableRequests({ ...usage, running: 900 }, OVERLOAD_COSTS), 0);
  });

  // A burst of the least urgent class. Guards against it taking slots of the most urgent one, and against starving it.
  it('serves the most urgent priority first, and each with part of its proportional share', () => {
    const demands = [demand(0, 'a', 20), demand(1, 'a', 40), demand(2, 'a', 60)];
    const grants = decideGrants(demands, 40, INTERVAL_MS);
    const [p0, p1, p2] = (grants?.rows ?? []).map(({ granted }) => granted);
    near(p0, 20);
    near(p2, (0.3 * 40 * 60) / 120);
    near(p1, 40 - 20 - 6);
  });

  // One customer floods a priority. Guards against it taking the slots of the customers with little demand.
  it('caps customers above the fair level, and no others', () => {
    const demands = [demand(0, 'big', 100), demand(0, 'small', 4), demand(0, '', 8)];
    const grants = decideGrants(demands, 30, INTERVAL_MS);
    assert.equal(grants?.capped.length, 1);
    assert.equal(grants.capped[0]?.customer, 'big');
    near(grants.capped[0]?.granted, 30 - 4 - 8);
  });

  // A zone is evacuated during overload. Guards against filling the other ranks up to the limit of all ranks.
  it('reduces the grants to what may start at the usable ranks, by urgency', () => {
    const demands = [demand(0, 'a', 20), demand(1, 'a', 90), demand(1, 'b', 10)];
    const grants = decideGrants(demands, 60, INTERVAL_MS) ?? assert.fail();
    const limited = limitGrants(grants, 30);
    near(limited.rows[0]?.granted, 20);
    near(limited.rows[1]?.granted, 10);
    near(limited.capped[0]?.granted, ((60 - 20 - 10) * 10) / 40);
    assert.equal(limitGrants(grants, 60), grants);
  });

  // Messages are duplicated, late or lost: each counts once, in place of the last one of its host, for a second.
  it('counts only the last message of each host, while it is recent', () => {
    let demands = recordDemands(new Map(), [message('h1', 5), message('h2', 1)], 0);
    demands = recordDemands(demands, [message('h1', 2), message('h1', 2)], 600);
    const sum = sumDemands(demands, INTERVAL_MS, 700);
    near(sum.demands[0]?.demand, 2 + 1 + 2);
    assert.deepEqual([sum.hosts, sum.oldestAgeMs], [2, 700]);
    assert.equal(sumDemands(demands, INTERVAL_MS, DEMAND_TTL_MS + 1).hosts, 1);
  });
});

/** Load pattern: the least urgent class at 2.4 times its rate, the most urgent at 1.9, for ten seconds. */
const SURGE: Omit<OverloadRun, 'hosts'> = {
  mode: 'urgency',
  seed: 1,
  surge: [1.9, 1, 2.4],
  surgeMs: 10_000,
};

const MIN_SERVED = 0.25;

/** Largest loss of the most urgent class's on-time share in an overload. */
const MAX_LOSS = 0.03;

describe('Admission by urgency under overload', () => {
  [35, 300].forEach((hosts) => {
    const calm = runOverload({ ...SURGE, hosts, surge: [1, 1, 1] }).onTime[0] ?? 1;

    [0, 1 / 3].forEach((cutShare) => {
      it(`keeps the most urgent class on time with ${hosts} hosts, ${cutShare === 0 ? 'none' : 'a third'} cut off`, () => {
        const run = { ...SURGE, hosts, cutShare };
        const result = runOverload(run);
        const others = (['own', 'byHost'] as const).map((mode) => runOverload({ ...run, mode }));
        const shown = JSON.stringify({ calm, result, others });
        assert.ok((result.onTime[0] ?? 0) >= calm - MAX_LOSS, shown);
        const mean = result.served.reduce((total, share) => total + share, 0) / 3;
        assert.ok(Math.min(...result.served) >= MIN_SERVED * mean, shown);
        assert.ok(result.leastCustomer >= MIN_SERVED, shown);
        assert.ok(result.used >= 0.95, shown);
        others.forEach(({ worth }) => assert.ok(result.worth > worth, shown));
      });
    });
  });

  // Each failure alone. Guards against a failure that makes sharing by urgency worse than each host on its own.
  const failures: Readonly<Record<string, Partial<OverloadRun>>> = {
    'the decider is killed, and a successor with empty state follows a second later': {
      isCoordinated: (at) => at < 2_000 || at > 3_000,
    },
    'a fifth of the demand messages is lost and another fifth duplicated': {
      copies: (random) => [0, 2, 1, 1, 1][Math.floor(random * 5)] ?? 1,
    },
    'a third of the hosts is cut off from the hubs and reaches the ranks': {
      isLinked: (host, at) => host % 3 > 0 || at < 1_000,
    },
  };
  Object.entries(failures).forEach(([name, failure]) => {
    it(`earns more than each host on its own while ${name}`, () => {
      const run = { ...SURGE, ...failure, hosts: 35 };
      const [result, own] = [runOverload(run), runOverload({ ...run, mode: 'own' })];
      const shown = JSON.stringify({ result, own });
      assert.ok(result.worth > own.worth, shown);
      assert.ok((result.onTime[0] ?? 0) > (own.onTime[0] ?? 1), shown);
    });
  });

  // Loads 1 s late are granted on slots that were given out since. Guards against a collapse; the gain is lost.
  it('serves the most urgent class no less often while loads are 1 s late', () => {
    const run = { ...SURGE, hosts: 35, loadDelayMs: 1_000 };
    const [result, own] = [runOverload(run), runOverload({ ...run, mode: 'own' })];
    const shown = JSON.stringify({ result, own });
    assert.ok((result.served[0] ?? 0) >= (own.served[0] ?? 1) - MAX_LOSS, shown);
    assert.ok(result.worth >= 0.9 * own.worth, shown);
  });
});
