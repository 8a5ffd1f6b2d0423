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

/** Runs intervals in which an expert is hot, on two ranks whose counts rise together. */
function runIntervals(state: DemandState, from: readonly number[], hotExperts: readonly number[]) {
  let counts = from;
  let next = state;
  hotExperts.forEach((hot) => {
    counts = addInterval(counts, hot);
    next = recordCounts(next, [[counts], [counts]]);
  });
  return { state: next, counts };
}

/** Experts of the group whose demand is made by {@link steadyDemand}. */
const STEADY_EXPERTS = 200;

/**
 * Readings of a demand of which about `moves` differ from one to the next, and of which `shifted` has gone to other
 * experts.
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
      // Two numbers out of an even spread differ by a third of it, and half of all differences is what moves.
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
  it('knows nothing before two readings', () => {
    assert.equal(expectedLoad(initDemand(2)), null);
    assert.equal(expectedLoad(runIntervals(initDemand(2), ZERO, [1]).state), null);
  });

  // Demand shifts at once. Were what came before still counted, the map would be planned for experts
  // that nobody asks for any more, for as long as the memory lasts.
  it('forgets what came before a shift', () => {
    const before = runIntervals(initDemand(2), ZERO, [1, 1, 1, 1]);
    const after = runIntervals(before.state, before.counts, [6]);
    assert.equal(after.state.shifts, 1);
    const [load = []] = expectedLoad(after.state) ?? [];
    assert.equal(load.indexOf(Math.max(...load)), 6);
    assert.ok((load[1] ?? 1) < 0.15);
  });

  // Load pattern: a large group, whose demand hardly moves from one reading to the next, and then a fifth of the
  // choices at once. Guards against: that passes for requests that come and go, and six readings go until the map follows.
  it('tells a shift by what is usual, and forgets what came before', () => {
    const steady = steadyDemand(initDemand(2), 10, 0.05, 1);
    const shifted = steadyDemand(steady, 1, 0.05, 1, 0.2);
    assert.equal(steady.shifts, 0);
    assert.equal(shifted.shifts, 1);
    assert.equal(shifted.intervals.length, 1);
  });

  // Load pattern: the same shift, amid a reading. Guards against: each half of it is taken for what is usual.
  it('tells a shift that two readings share', () => {
    const steady = steadyDemand(initDemand(2), 10, 0.05, 1);
    const half = steadyDemand(steady, 1, 0.05, 1, 0.1);
    assert.equal(steadyDemand(half, 1, 0.05, 1, 0.2).shifts, 1);
  });

  // Load pattern: a small group, whose requests come and go. Guards against: each that ends passes for a shift, and
  // maps are planned from a quarter of a second.
  it('takes for steady what moves as much as usual', () => {
    fc.assert(
      fc.property(fc.nat(), (seed) => {
        assert.equal(steadyDemand(initDemand(2), 30, 0.16, seed).shifts, 0);
        assert.equal(steadyDemand(initDemand(2), 30, 0.05, seed).shifts, 0);
      }),
      { seed: 3, numRuns: 20 },
    );
  });

  // Load pattern: most ranks of a large group answer late, and a reading holds a tenth of the usual choices, which
  // differ more. Guards against: it passes for a shift, and the next map is planned from a few ranks' requests.
  it('takes a reading of few ranks for what it is', () => {
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

  it('takes steady demand for steady', () => {
    assert.equal(runIntervals(initDemand(2), ZERO, [1, 1, 1, 1, 1, 1]).state.shifts, 0);
  });

  // A rank restarts and counts from zero. The difference is negative, and would make its experts look
  // as if nobody wanted them.
  it('starts anew with a rank whose counts went back', () => {
    const before = runIntervals(initDemand(2), ZERO, [1, 1, 1]);
    const restarted = recordCounts(before.state, [
      [addInterval(before.counts, 1)],
      [addInterval(ZERO, 1)],
    ]);
    const [load = []] = expectedLoad(restarted) ?? [];
    assert.ok(load.every((share) => share >= 0));
    assert.equal(load.indexOf(Math.max(...load)), 1);
  });

  it('goes on without a rank that did not answer', () => {
    const before = runIntervals(initDemand(2), ZERO, [1, 1]);
    const next = recordCounts(before.state, [[addInterval(before.counts, 1)], null]);
    assert.equal(next.intervals.length, before.state.intervals.length + 1);
  });

  // A coordinator is lost with its group; its successor has seen no requests when the group opens. Without
  // what the other expected it would leave the first map in use until counts are in, a second too late.
  it('hands the demand on to a successor, whose own counts then outweigh it', () => {
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
