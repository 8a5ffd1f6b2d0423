import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  adoptDemand,
  expectedLoad,
  initDemand,
  packDemand,
  takeCounts,
  type DemandState,
} from '../../index.js';

const EXPERTS = 8;

function add(counts: readonly number[], hot: number): readonly number[] {
  return counts.map((count, e) => count + (e === hot ? 4_000 : 500));
}

/** Runs intervals in which an expert is hot, on two ranks whose counts rise together. */
function run(state: DemandState, from: readonly number[], hots: readonly number[]) {
  let counts = from;
  let next = state;
  hots.forEach((hot) => {
    counts = add(counts, hot);
    next = takeCounts(next, [[counts], [counts]]);
  });
  return { state: next, counts };
}

const ZERO = Array.from({ length: EXPERTS }, () => 0);

describe('DemandEstimate', () => {
  it('knows nothing before two readings', () => {
    assert.equal(expectedLoad(initDemand(2)), null);
    assert.equal(expectedLoad(run(initDemand(2), ZERO, [1]).state), null);
  });

  // Demand shifts at once. Were what came before still counted, the map would be planned for experts
  // that nobody asks for any more, for as long as the memory lasts.
  it('forgets what came before a shift', () => {
    const before = run(initDemand(2), ZERO, [1, 1, 1, 1]);
    const after = run(before.state, before.counts, [6]);
    assert.equal(after.state.shifts, 1);
    const [load = []] = expectedLoad(after.state) ?? [];
    assert.equal(load.indexOf(Math.max(...load)), 6);
    assert.ok((load[1] ?? 1) < 0.15);
  });

  it('takes steady demand for steady', () => {
    assert.equal(run(initDemand(2), ZERO, [1, 1, 1, 1, 1, 1]).state.shifts, 0);
  });

  // A rank restarts and counts from zero. The difference is negative, and would make its experts look
  // as if nobody wanted them.
  it('starts anew with a rank whose counts went back', () => {
    const before = run(initDemand(2), ZERO, [1, 1, 1]);
    const restarted = takeCounts(before.state, [[add(before.counts, 1)], [add(ZERO, 1)]]);
    const [load = []] = expectedLoad(restarted) ?? [];
    assert.ok(load.every((share) => share >= 0));
    assert.equal(load.indexOf(Math.max(...load)), 1);
  });

  it('goes on without a rank that did not answer', () => {
    const before = run(initDemand(2), ZERO, [1, 1]);
    const next = takeCounts(before.state, [[add(before.counts, 1)], null]);
    assert.equal(next.intervals.length, before.state.intervals.length + 1);
  });

  // A coordinator is lost with its group; its successor has seen no requests when the group opens. Without
  // what the other expected it would leave the first map in use until counts are in, a second too late.
  it('hands the demand on to a successor, whose own counts then outweigh it', () => {
    const before = run(initDemand(2), ZERO, [1, 1, 1, 1]);
    const packed = packDemand(expectedLoad(before.state) ?? []);
    const adopted = adoptDemand(initDemand(2), packed);
    const [expected = []] = expectedLoad(before.state) ?? [];
    const [handed = []] = expectedLoad(adopted) ?? [];
    const sum = expected.reduce((total, share) => total + share, 0);
    handed.forEach((share, e) => assert.ok(Math.abs(share - (expected[e] ?? 0) / sum) < 0.01));
    const [after = []] = expectedLoad(run(adopted, ZERO, [6, 6]).state) ?? [];
    assert.equal(after.indexOf(Math.max(...after)), 6);
  });
});
