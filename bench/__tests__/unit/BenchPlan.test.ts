import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runPlans, type PlanRun } from '../../BenchPlan.js';
import { PLAN_SIZES, type PlanSize } from '../../BenchPlanLoad.js';
import { range } from '../../BenchReport.js';

function sizeOf(ranks: number, slotsPerRank: number): PlanSize {
  return PLAN_SIZES.find(
    (size) => size.ranks === ranks && size.shape.slotsPerRank === slotsPerRank,
  ) as PlanSize;
}

function meanAfter({ skewAfter }: PlanRun): number {
  return skewAfter.reduce((sum, skew) => sum + skew, 0) / skewAfter.length;
}

/** Processor time of this process, ms. */
function processorMs(): number {
  return process.cpuUsage().user / 1_000;
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

/** Skew and copies over three seeds. */
function play(size: PlanSize): { readonly skew: number; readonly copies: number } {
  const runs = [1, 2, 3].map((seed) => runPlans(size, seed));
  return {
    skew: runs.reduce((sum, run) => sum + meanAfter(run), 0) / runs.length,
    copies: runs.reduce((sum, { copies }) => sum + copies, 0),
  };
}

describe('map plans under demand that drifts and shifts', () => {
  // The demand on a large group is skewed, and two thirds of it move every eight intervals. A plan must not take as
  // long as one round of a coordinator that has two fifths of a core, since every map would then come late.
  it('plans 63 ranks with 8 sets of 252 experts within a few ms', () => {
    const size = sizeOf(63, 8);
    // The minimum of five processor times is used, since other programs share the machine.
    const medians = range(5).map(() => median(runPlans(size, 1, processorMs).changeMs));
    assert.ok(Math.min(...medians) < 15, `${medians.join(', ')} ms`);
  });

  // The same demand. A faster search must not settle for less even maps, nor need more copies for them.
  it('reaches even maps for few copies', () => {
    const small = play(sizeOf(12, 11));
    assert.ok(small.skew < 1.083, `${small.skew}`);
    assert.ok(small.copies < 400, `${small.copies}`);
    const full = play(sizeOf(63, 5));
    assert.ok(full.skew < 1.283, `${full.skew}`);
    assert.ok(full.copies < 3_720, `${full.copies}`);
    const large = play(sizeOf(63, 8));
    assert.ok(large.skew < 1.213, `${large.skew}`);
    assert.ok(large.copies < 4_720, `${large.copies}`);
  });
});
