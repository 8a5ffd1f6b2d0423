/** Skewed loads on experts that change over time, generated from a seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** How a load changes over time. */
export type Scenario = 'drift' | 'shift' | 'flip' | 'noise' | 'slow rank';

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = ['drift', 'shift', 'flip', 'noise', 'slow rank'];

/** Intervals at which the popularity of experts shifts, and shifts back. */
export const SHIFT_AT = 20;
const FLIP_AT = 40;

/** Mean number of counted tokens per expert and interval. */
const TOKENS = 400;

/** Standard deviation of the change of an expert's log load in one interval of drift. */
const DRIFT = 0.03;

/** A standard normal number, by the Box-Muller transform. */
function normal(rng: RandomGenerator): number {
  const u = 1 - uniformFloat64(rng);
  return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * uniformFloat64(rng));
}

function shuffle(items: readonly number[], rng: RandomGenerator): readonly number[] {
  return items
    .map((item) => ({ item, key: uniformInt(rng, 0, 2 ** 30) }))
    .sort((a, b) => a.key - b.key)
    .map(({ item }) => item);
}

/** True load of each expert in each interval, for one layer. The Zipf exponent is between 0.8 and 1.2. */
export function makeLoad(
  scenario: Scenario,
  experts: number,
  intervals: number,
  rng: RandomGenerator,
): readonly (readonly number[])[] {
  const exponent = 0.8 + 0.4 * uniformFloat64(rng);
  const zipf = Array.from({ length: experts }, (_expert, i) => 1 / (i + 1) ** exponent);
  const first = shuffle(zipf, rng);
  const second = shuffle(zipf, rng);
  const drifts = scenario === 'drift' || scenario === 'slow rank';
  let walk = first.map(() => 0);
  return Array.from({ length: intervals }, (_interval, t) => {
    walk = drifts ? walk.map((at) => at + DRIFT * normal(rng)) : walk;
    const shifted =
      (scenario === 'shift' && t >= SHIFT_AT) ||
      (scenario === 'flip' && t >= SHIFT_AT && t < FLIP_AT);
    return (shifted ? second : first).map((load, i) => load * Math.exp(walk[i] ?? 0));
  });
}

/** Noisy counts of a true load in one interval. */
export function countLoad(load: readonly number[], rng: RandomGenerator): readonly number[] {
  const total = load.reduce((sum, part) => sum + part, 0);
  return load.map((part) => {
    const expected = (part / total) * TOKENS * load.length;
    return Math.max(0, expected + Math.sqrt(expected) * normal(rng));
  });
}
