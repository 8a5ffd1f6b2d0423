import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { GroupMap } from '../../../protocol/index.js';
import {
  requiredGain,
  isPlanDue,
  planMap,
  type MapPolicy,
  type MapShape,
  type PlanConditions,
} from '../../index.js';

const RANKS = 12;
const EXPERTS = 96;
const SETS = 3;
const SHAPE: MapShape = { slotsPerRank: 11, maxNewExperts: 4 };
const POLICY: MapPolicy = { maxCopiesPerRank: 12, gainPerCopy: 0.004 };

/** Experts distributed round-robin over the ranks, each once. */
const INITIAL_MAP: GroupMap = Array.from({ length: SETS }, () =>
  Array.from({ length: RANKS }, (_rank, rank) =>
    Array.from({ length: EXPERTS / RANKS }, (_slot, i) => rank + i * RANKS),
  ),
);

function zipf(shift: number): readonly number[] {
  return Array.from({ length: EXPERTS }, (_item, e) => 1 / (1 + ((e * 37 + shift) % EXPERTS)));
}

const EXPERT_LOADS = [zipf(0), zipf(11), zipf(23)];

/** Number of experts that each rank copies between two maps, by set. */
function copiesByRank(from: GroupMap, to: GroupMap): readonly (readonly number[])[] {
  return to.map((ranks, set) =>
    ranks.map((experts, rank) => experts.filter((e) => !from[set]?.[rank]?.includes(e)).length),
  );
}

/** Ratio of the largest to the mean rank load, averaged over sets, computed from scratch. */
function skewOf(
  map: GroupMap,
  expertLoads: readonly (readonly number[])[],
  slowdowns: readonly number[],
): number {
  const skews = map.map((ranks, set) => {
    const held = ranks.flat();
    const shares = (expertLoads[set] ?? []).map(
      (weight, expert) => weight / held.filter((other) => other === expert).length,
    );
    const loads = ranks.map((experts) => experts.reduce((sum, e) => sum + (shares[e] ?? 0), 0));
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    return Math.max(...loads.map((load, rank) => load * (slowdowns[rank] ?? 1))) / mean;
  });
  return skews.reduce((sum, skew) => sum + skew, 0) / skews.length;
}

describe('planMap', () => {
  it('balances a skewed demand with few copies', () => {
    const planned = planMap(INITIAL_MAP, EXPERT_LOADS, SHAPE, POLICY);
    assert.ok(planned.skewBefore > 2);
    assert.ok(planned.skewAfter < 1.15, `${planned.skewAfter}`);
    assert.ok(planned.copies <= RANKS * SHAPE.maxNewExperts * SETS);
  });

  // An engine refuses a map that adds too many experts to a rank, places too many on it, or lacks an expert. A
  // refusal by one rank would leave the others with a version that can never be used.
  it('always plans a map that the ranks accept', () => {
    const weight = fc.double({ min: 0, max: 1, noNaN: true });
    const weights = fc.array(fc.array(weight, { minLength: EXPERTS, maxLength: EXPERTS }), {
      minLength: SETS,
      maxLength: SETS,
    });
    fc.assert(
      fc.property(weights, weights, (first, second) => {
        const before = planMap(INITIAL_MAP, first, SHAPE, POLICY).map;
        const { map, copies } = planMap(before, second, SHAPE, POLICY);
        map.forEach((ranks) => {
          assert.equal(new Set(ranks.flat()).size, EXPERTS);
          ranks.forEach((experts) => {
            assert.ok(experts.length <= SHAPE.slotsPerRank);
            assert.equal(new Set(experts).size, experts.length);
          });
        });
        const byRank = copiesByRank(before, map);
        byRank.forEach((ranks) => ranks.forEach((n) => assert.ok(n <= SHAPE.maxNewExperts)));
        assert.equal(
          byRank.flat().reduce((a, b) => a + b, 0),
          copies,
        );
      }),
      { seed: 5, numRuns: 40 },
    );
  });

  // Load pattern: random demand and slowdowns, one change after another. Guards against: loads that are updated
  // with each change drift from the real ones, and the plan stops early or reports a skew that it doesn't reach.
  it('reports the skew of its map', () => {
    const weight = fc.double({ min: 0, max: 1, noNaN: true });
    const set = fc.array(weight, { minLength: EXPERTS, maxLength: EXPERTS });
    const demand = fc.array(set, { minLength: SETS, maxLength: SETS });
    const slowdown = fc.oneof(fc.constant(1), fc.double({ min: 1, max: 12, noNaN: true }));
    const slowdownLists = fc.array(slowdown, { minLength: RANKS, maxLength: RANKS });
    fc.assert(
      fc.property(demand, demand, slowdownLists, (first, second, slowdowns) => {
        const before = planMap(INITIAL_MAP, first, SHAPE, POLICY, slowdowns).map;
        const planned = planMap(before, second, SHAPE, POLICY, slowdowns);
        assert.ok(Math.abs(planned.skewBefore - skewOf(before, second, slowdowns)) < 1e-6);
        assert.ok(Math.abs(planned.skewAfter - skewOf(planned.map, second, slowdowns)) < 1e-6);
      }),
      { seed: 7, numRuns: 40 },
    );
  });

  // Load pattern: random demand on ranks with all slots in use. Guards against: the last replica of an expert is
  // evicted, or an expert that the rank held before counts as a copy.
  it('keeps to the limits of slots and copies if no slot is free', () => {
    const shape: MapShape = { slotsPerRank: 9, maxNewExperts: 2 };
    const policy: MapPolicy = { maxCopiesPerRank: 4, gainPerCopy: 0.004 };
    const weight = fc.double({ min: 0, max: 1, noNaN: true });
    const set = fc.array(weight, { minLength: EXPERTS, maxLength: EXPERTS });
    const demands = fc.array(fc.array(set, { minLength: SETS, maxLength: SETS }), {
      minLength: 2,
      maxLength: 5,
    });
    fc.assert(
      fc.property(demands, (list) => {
        list.reduce<GroupMap>((before, weights) => {
          const planned = planMap(before, weights, shape, policy);
          const byRank = copiesByRank(before, planned.map);
          assert.ok(byRank.flat().every((copies) => copies <= shape.maxNewExperts));
          INITIAL_MAP[0]?.forEach((_experts, rank) => {
            const all = byRank.reduce((sum, ranks) => sum + (ranks[rank] ?? 0), 0);
            assert.ok(all <= policy.maxCopiesPerRank);
          });
          planned.map.forEach((ranks) => {
            assert.equal(new Set(ranks.flat()).size, EXPERTS);
            assert.ok(ranks.every((experts) => experts.length <= shape.slotsPerRank));
            assert.ok(ranks.every((experts) => new Set(experts).size === experts.length));
          });
          return planned.map;
        }, INITIAL_MAP);
      }),
      { seed: 9, numRuns: 30 },
    );
  });

  it('changes nothing without a gain', () => {
    const even = [0, 1, 2].map(() => Array.from({ length: EXPERTS }, () => 1));
    assert.equal(planMap(INITIAL_MAP, even, SHAPE, POLICY).copies, 0);
    assert.equal(
      planMap(INITIAL_MAP, EXPERT_LOADS, SHAPE, { ...POLICY, gainPerCopy: Infinity }).copies,
      0,
    );
  });

  it('keeps to the copies that a rank may make in one change', () => {
    const { map } = planMap(INITIAL_MAP, EXPERT_LOADS, SHAPE, { ...POLICY, maxCopiesPerRank: 3 });
    const byRank = copiesByRank(INITIAL_MAP, map);
    const totals = byRank[0]?.map((_n, rank) =>
      byRank.reduce((sum, ranks) => sum + (ranks[rank] ?? 0), 0),
    );
    assert.ok((totals ?? []).every((total) => total <= 3));
  });
});

/** Conditions of a group that has used a planned map for a long time. */
function settledGroup(passMs: number | null): PlanConditions {
  return { passMs, pauseMs: 120, usesInitialMap: false, formedMsAgo: Infinity };
}

describe('requiredGain', () => {
  // Traffic begins on a group with its initial map. Its passes are still short, but half a second later the pauses
  // make most answers late; a map that is planned only then is in use another second later.
  it('ignores the pass time while the group uses its initial map, or has just re-formed', () => {
    assert.equal(requiredGain({ ...settledGroup(30), usesInitialMap: true }, 0.004), 0.004);
    assert.equal(requiredGain({ ...settledGroup(null), formedMsAgo: 900 }, 0.004), 0.004);
    assert.equal(requiredGain({ ...settledGroup(30), formedMsAgo: 1_600 }, 0.004), null);
  });

  it('requires more gain for shorter passes, and plans nothing if they are short enough', () => {
    assert.equal(requiredGain(settledGroup(50), 0.004), null);
    assert.equal(requiredGain(settledGroup(null), 0.004), null);
    assert.equal(requiredGain(settledGroup(110), 0.004), 0.004);
    const farFromLimit = requiredGain(settledGroup(65), 0.004) ?? 0;
    const nearLimit = requiredGain(settledGroup(85), 0.004) ?? 0;
    assert.ok(farFromLimit > nearLimit && nearLimit > 0.004);
  });

  // All ranks of a group wait for a slow rank in every pass. With an even share of the load it would lengthen each
  // pass by its slowdown; the other ranks have room for a part of its load.
  it('gives a slow rank less of the load', () => {
    const even = planMap(INITIAL_MAP, EXPERT_LOADS, SHAPE, POLICY);
    const slowdowns = INITIAL_MAP[0]?.map((_experts, rank) => (rank === 0 ? 2 : 1)) ?? [];
    const unchanged = planMap(
      even.map,
      EXPERT_LOADS,
      SHAPE,
      { ...POLICY, gainPerCopy: Infinity },
      slowdowns,
    );
    const planned = planMap(even.map, EXPERT_LOADS, SHAPE, POLICY, slowdowns);
    assert.ok(unchanged.skewBefore > 1.5);
    assert.ok(planned.skewAfter < unchanged.skewBefore - 0.2);
  });

  // Load pattern: one rank of a group is twelve times slower. Guards against: with a third of an even share it
  // makes the experts' part of each pass four times as long.
  it('gives almost no load to a rank that is twelve times slower', () => {
    const even = planMap(INITIAL_MAP, EXPERT_LOADS, SHAPE, POLICY);
    const slowdowns = INITIAL_MAP[0]?.map((_experts, rank) => (rank === 0 ? 12 : 1)) ?? [];
    const planned = planMap(even.map, EXPERT_LOADS, SHAPE, POLICY, slowdowns);
    const shares = planned.map.map((ranks, set) => {
      const held = ranks.flat();
      const holders = (expert: number): number => held.filter((e) => e === expert).length;
      const weights = EXPERT_LOADS[set] ?? [];
      const share = (ranks[0] ?? []).reduce((sum, e) => sum + (weights[e] ?? 0) / holders(e), 0);
      return (share * RANKS) / weights.reduce((sum, weight) => sum + weight, 0);
    });
    assert.ok(Math.max(...shares) < 0.15, shares.join(', '));
  });

  // Guards against: a slow rank keeps an expert that other ranks hold as well, until there is time for copies.
  it('removes replicated experts from a slow rank without copies', () => {
    const inUse: GroupMap = [[[0, 1], [0, 2], [3]]];
    const noCopies: MapPolicy = { maxCopiesPerRank: 0, gainPerCopy: 0.004 };
    const planned = planMap(
      inUse,
      [[4, 1, 1, 1]],
      { slotsPerRank: 3, maxNewExperts: 2 },
      noCopies,
      [12],
    );
    assert.deepEqual([planned.map, planned.copies], [[[[1], [0, 2], [3]]], 0]);
  });
});

describe('isPlanDue', () => {
  const settledPlan = { plannedMsAgo: 200, formedMsAgo: Infinity, shiftsAtPlan: 2, shifts: 2 };

  // Load pattern: demand shifts during a map change. Guards against: the counts that show the shift aren't used
  // until the next ones arrive.
  it('plans for a shift that was detected during a change as soon as the change ends', () => {
    assert.equal(isPlanDue({ ...settledPlan, shifts: 3 }), true);
    assert.equal(isPlanDue(settledPlan), false);
  });

  it('plans for a group that has re-formed since the last plan', () => {
    assert.equal(isPlanDue({ ...settledPlan, formedMsAgo: 100 }), true);
    assert.equal(isPlanDue({ ...settledPlan, formedMsAgo: 300 }), false);
    assert.equal(isPlanDue({ ...settledPlan, plannedMsAgo: Infinity, formedMsAgo: 100 }), true);
  });
});
