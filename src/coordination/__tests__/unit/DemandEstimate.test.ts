import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  adoptDemand,
  expectedLoad,
  initDemand,
  packDemand,
  recordCounts,
  type DemandState,
} from '../../index.js';

const EXPERTS = 8;

function addInterval(counts: readonly number[], hot: number): readonly number[] {
  return counts.map((count, e) => count + (e === hot ? 4_000 : 500));
}

/** Runs one interval for each hot expert, on two ranks whose counts rise together. */
function runIntervals(state: DemandState, from: readonly number[], hotExperts: readonly number[]) {
  let counts = from;
  let next = state;
  hotExperts.forEach((hot) => {
    counts = addInterval(counts, hot);
    next = recordCounts(next, [[counts], [counts]]);
  });
  return { state: next, counts };
}

/** Number of experts in {@link steadyDemand}. */
const STEADY_EXPERTS = 200;

/**
 * Adds readings of which a share of about `drift` changes from one to the next, and of which the share `shifted`
 * has moved to other experts.
 */
function steadyDemand(
  initial: DemandState,
  readings: number,
  drift: number,
  seed: number,
  shifted = 0,
  choices = 1_000,
): DemandState {
  const rng = xoroshiro128plus(seed);
  return Array.from({ length: readings }).reduce<DemandState>((state) => {
    const counts = Array.from({ length: STEADY_EXPERTS }, (_item, e) => {
      const isHot = e < STEADY_EXPERTS / 2;
      const share = isHot ? 1 - 2 * shifted : 1 + 2 * shifted;
      // Two uniformly distributed numbers differ by a third of their range on average, and the drift is half of
      // the sum of all differences.
      return Math.round(choices * share * (1 + drift * 6 * (uniformFloat64(rng) - 0.5)));
    });
    const [last] = state.lastTotals;
    const total = counts.map((count, e) => count + (last?.[0]?.[e] ?? 0));
    return recordCounts(last === null ? recordCounts(state, [[counts.map(() => 0)]]) : state, [
      [total],
    ]);
  }, initial);
}

const ZERO = Array.from({ length: EXPERTS }, () => 0);

describe('DemandEstimate', () => {
  it('expects no load before two readings', () => {
    assert.equal(expectedLoad(initDemand(2)), null);
    assert.equal(expectedLoad(runIntervals(initDemand(2), ZERO, [1]).state), null);
  });

  // Demand shifts abruptly. If intervals before the shift still counted, the map would be planned for experts that
  // are no longer requested, for as long as those intervals are kept.
  it('discards intervals before a shift', () => {
    const before = runIntervals(initDemand(2), ZERO, [1, 1, 1, 1]);
    const after = runIntervals(before.state, before.counts, [6]);
    assert.equal(after.state.shifts, 1);
    const [load = []] = expectedLoad(after.state) ?? [];
    assert.equal(load.indexOf(Math.max(...load)), 6);
    assert.ok((load[1] ?? 1) < 0.15);
  });

  // Load pattern: a large group whose demand hardly drifts between readings, then a shift of a fifth of the
  // choices at once. Guards against: the shift is taken for requests that start and finish, and the map follows
  // six readings later.
  it('detects a shift by the average drift, and discards earlier intervals', () => {
    const steady = steadyDemand(initDemand(2), 10, 0.05, 1);
    const shifted = steadyDemand(steady, 1, 0.05, 1, 0.2);
    assert.equal(steady.shifts, 0);
    assert.equal(shifted.shifts, 1);
    assert.equal(shifted.intervals.length, 1);
  });

  // Load pattern: the same shift in the middle of a reading. Guards against: each half of it is taken for usual
  // drift.
  it('detects a shift that is spread over two readings', () => {
    const steady = steadyDemand(initDemand(2), 10, 0.05, 1);
    const half = steadyDemand(steady, 1, 0.05, 1, 0.1);
    assert.equal(steadyDemand(half, 1, 0.05, 1, 0.2).shifts, 1);
  });

  // Load pattern: a small group whose requests start and finish. Guards against: each request that finishes is
  // taken for a shift, and maps are planned from a quarter of a second of demand.
  it('detects no shift in usual drift', () => {
    fc.assert(
      fc.property(fc.nat(), (seed) => {
        assert.equal(steadyDemand(initDemand(2), 30, 0.16, seed).shifts, 0);
        assert.equal(steadyDemand(initDemand(2), 30, 0.05, seed).shifts, 0);
      }),
      { seed: 3, numRuns: 20 },
    );
  });

  // Load pattern: most ranks of a large group answer late, so that a reading holds a tenth of the usual choices,
  // which vary more. Guards against: it is taken for a shift, and the next map is planned from the requests of a
  // few ranks.
  it('detects no shift in a reading of few ranks', () => {
    fc.assert(
      fc.property(fc.nat(), (seed) => {
        const steady = steadyDemand(initDemand(2), 10, 0.05, seed);
        const few = steadyDemand(steady, 1, 0.2, seed, 0, 100);
        assert.equal(few.shifts, 0);
        assert.equal(steadyDemand(few, 3, 0.05, seed).shifts, 0);
      }),
      { seed: 4, numRuns: 20 },
    );
  });

  it('detects no shift in steady demand', () => {
    assert.equal(runIntervals(initDemand(2), ZERO, [1, 1, 1, 1, 1, 1]).state.shifts, 0);
  });

  // A rank restarts and counts from zero. The difference is negative, and its experts would seem to have no
  // demand.
  it('sets a new baseline for a rank whose counts decreased', () => {
    const before = runIntervals(initDemand(2), ZERO, [1, 1, 1]);
    const restarted = recordCounts(before.state, [
      [addInterval(before.counts, 1)],
      [addInterval(ZERO, 1)],
    ]);
    const [load = []] = expectedLoad(restarted) ?? [];
    assert.ok(load.every((share) => share >= 0));
    assert.equal(load.indexOf(Math.max(...load)), 1);
  });

  it('continues without a rank that did not answer', () => {
    const before = runIntervals(initDemand(2), ZERO, [1, 1]);
    const next = recordCounts(before.state, [[addInterval(before.counts, 1)], null]);
    assert.equal(next.intervals.length, before.state.intervals.length + 1);
  });

  // A coordinator is lost with its group, and its successor has no counts when the group opens. Without the demand
  // that its predecessor expected it would keep the initial map in use until counts arrive, a second too late.
  it('passes the demand on to a successor, whose own counts then outweigh it', () => {
    const before = runIntervals(initDemand(2), ZERO, [1, 1, 1, 1]);
    const packed = packDemand(expectedLoad(before.state) ?? []);
    const adopted = adoptDemand(initDemand(2), packed);
    const [expected = []] = expectedLoad(before.state) ?? [];
    const [adoptedLoad = []] = expectedLoad(adopted) ?? [];
    const sum = expected.reduce((total, share) => total + share, 0);
    adoptedLoad.forEach((share, e) => assert.ok(Math.abs(share - (expected[e] ?? 0) / sum) < 0.01));
    const [after = []] = expectedLoad(runIntervals(adopted, ZERO, [6, 6]).state) ?? [];
    assert.equal(after.indexOf(Math.max(...after)), 6);
  });
});
