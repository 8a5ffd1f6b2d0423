/** Skewed demand on a group's experts that drifts and shifts, generated from a seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { MapPolicy, MapShape } from '../src/coordination/index.js';
import type { GroupMap } from '../src/protocol/index.js';
import { range } from './BenchReport.js';

/** A group whose maps are planned. */
export interface PlanSize {
  readonly ranks: number;
  readonly experts: number;
  readonly sets: number;
  readonly shape: MapShape;
  readonly policy: MapPolicy;
}

/** Groups from the smallest to the largest deployed, and one of the planned size. */
export const PLAN_SIZES: readonly PlanSize[] = [
  { ranks: 12, experts: 96, sets: 3, shape: { slotsPerRank: 11, maxNewExperts: 4 } },
  { ranks: 16, experts: 128, sets: 4, shape: { slotsPerRank: 11, maxNewExperts: 4 } },
  { ranks: 24, experts: 192, sets: 6, shape: { slotsPerRank: 10, maxNewExperts: 3 } },
  { ranks: 63, experts: 252, sets: 8, shape: { slotsPerRank: 5, maxNewExperts: 2 } },
  { ranks: 63, experts: 252, sets: 8, shape: { slotsPerRank: 8, maxNewExperts: 2 } },
  { ranks: 64, experts: 256, sets: 12, shape: { slotsPerRank: 6, maxNewExperts: 2 } },
].map((size) => ({
  ...size,
  policy: { maxCopiesPerRank: size.shape.maxNewExperts * size.sets, gainPerCopy: 0.004 },
}));

/** A map that distributes the experts round-robin over the ranks, each once. */
export function initialMap({ ranks, experts, sets }: PlanSize): GroupMap {
  return range(sets).map(() =>
    range(ranks).map((rank) =>
      range(Math.ceil(experts / ranks))
        .map((i) => rank + i * ranks)
        .filter((expert) => expert < experts),
    ),
  );
}

/** Intervals from one shift to the next. */
const SHIFT_INTERVALS = 8;

/** Share of the demand that a shift moves to other experts. */
const SHIFTED_SHARE = 0.65;

/** Maximum change of an expert's log demand in one interval. */
const DRIFT = 0.05;

/** Number of choices of one set in one interval, over all experts. */
const CHOICES = 20_000;

/** Zipf exponent of the demand by popularity. */
const EXPONENT = 0.8;

function drawPopularity(experts: number, rng: RandomGenerator): readonly number[] {
  const keyed = range(experts).map((expert) => ({ expert, key: uniformFloat64(rng) }));
  const weights = range(experts).map(() => 0);
  keyed
    .sort((a, b) => a.key - b.key)
    .forEach(({ expert }, i) => {
      weights[expert] = 1 / (i + 1) ** EXPONENT;
    });
  return weights;
}

/** Choices of one interval; the noise has the variance of Poisson counts. */
function drawCounts(weights: readonly number[], rng: RandomGenerator): readonly number[] {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map((weight) => {
    const expected = (weight / total) * CHOICES;
    const noise = (uniformFloat64(rng) - 0.5) * Math.sqrt(12 * expected);
    return Math.max(0, Math.round(expected + noise));
  });
}

/** Choices of each interval, by set and expert. */
export function makeDemand(
  { experts, sets }: PlanSize,
  intervals: number,
  seed: number,
): readonly (readonly (readonly number[])[])[] {
  const rng = xoroshiro128plus(seed);
  let demand = range(sets).map(() => drawPopularity(experts, rng));
  return range(intervals).map((t) => {
    const shifts = t > 0 && t % SHIFT_INTERVALS === 0;
    demand = demand.map((weights) => {
      const next = shifts ? drawPopularity(experts, rng) : weights;
      return weights.map((weight, e) => {
        const moved = (1 - SHIFTED_SHARE) * weight + SHIFTED_SHARE * (next[e] ?? 0);
        return moved * Math.exp(DRIFT * (uniformFloat64(rng) * 2 - 1));
      });
    });
    return demand.map((weights) => drawCounts(weights, rng));
  });
}
