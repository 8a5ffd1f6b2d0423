/** Skew and cost of moves of the real placement core and of baselines, under drifting loads. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import {
  decidePlacement,
  initEstimate,
  rankLoads,
  skewOf,
  updateEstimate,
  type PlacementEstimate,
  type PlacementMap,
} from '../src/coordination/index.js';
import { countMoves, solveGreedily, staticMap } from './BenchPlacementBaselines.js';
import { countLoad, makeLoad, SCENARIOS, SHIFT_AT, type Scenario } from './BenchPlacementLoad.js';
import { range, report, round } from './BenchReport.js';

const INTERVALS = 60;
const STEPS = 100;
const STEP_MS = 8;
/** Step time lost to copying one expert at the store's rate, ms. */
const MOVE_COST_MS = 40;
const STABLE_STEPS = 2_000;
const THRESHOLD = 1.15;
const SLOTS = 6;

interface Size {
  readonly ranks: number;
  readonly experts: number;
  readonly layers: number;
}

const SIZES: readonly Size[] = [
  { ranks: 8, experts: 32, layers: 4 },
  { ranks: 64, experts: 256, layers: 4 },
];

/** Input of a policy for its decision on the next interval. */
interface PolicyInput {
  readonly map: PlacementMap;
  readonly estimate: PlacementEstimate;
  readonly counts: readonly number[];
  readonly next: readonly number[];
  readonly ranks: number;
  readonly speeds: readonly number[];
}

type Policy = (seen: PolicyInput) => PlacementMap;

function placementCore(skewWeight: number): Policy {
  return ({ map, estimate, ranks, speeds }) =>
    decidePlacement(map, estimate, {
      skewWeight,
      stepMs: STEP_MS,
      stableSteps: STABLE_STEPS,
      moveMs: MOVE_COST_MS,
      maxMoves: ranks,
      speeds,
    }).map;
}

const greedy: Policy = ({ counts, ranks, speeds }) => solveGreedily(counts, ranks, SLOTS, speeds);

const POLICIES: Readonly<Record<string, Policy>> = {
  static: ({ map }) => map,
  'greedy each interval': greedy,
  'greedy with threshold': (seen) => {
    const solved = greedy(seen);
    const now = skewOf(rankLoads(seen.map, seen.counts, seen.speeds));
    return now > THRESHOLD * skewOf(rankLoads(solved, seen.counts, seen.speeds))
      ? solved
      : seen.map;
  },
  'clairvoyant greedy': ({ next, ranks, speeds }) => solveGreedily(next, ranks, SLOTS, speeds),
  'ours, skew 0.8': placementCore(0.8),
  'ours, skew 0.2': placementCore(0.2),
};

interface Outcome {
  readonly skews: readonly number[];
  readonly moves: number;
  readonly decideMs: number;
}

function runLayer(
  policy: Policy,
  { ranks, experts }: Size,
  loads: readonly (readonly number[])[],
  speeds: readonly number[],
  rng: RandomGenerator,
): Outcome {
  let map = staticMap(ranks, experts, SLOTS);
  let estimate = initEstimate(experts);
  let moves = 0;
  let decideMs = 0;
  const skews = loads.map((load, t) => {
    const skew = skewOf(rankLoads(map, load, speeds));
    const counts = countLoad(load, rng);
    estimate = updateEstimate(estimate, counts);
    const startedAt = performance.now();
    const next = loads[t + 1] ?? load;
    const decided = policy({ map, estimate, counts, next, ranks, speeds });
    decideMs += performance.now() - startedAt;
    moves += countMoves(map, decided);
    map = decided;
    return skew;
  });
  return { skews, moves, decideMs };
}

/** Intervals after the shift until the skew is within 10% of the clairvoyant's; -1 if it never is. */
function intervalsToRecover(skews: readonly number[], bound: readonly number[]): number {
  const after = range(INTERVALS - SHIFT_AT - 1).find(
    (i) => (skews[SHIFT_AT + i] ?? 9) <= 1.1 * (bound[SHIFT_AT + i] ?? 1),
  );
  return after ?? -1;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Result of one policy in one scenario: a point of the trade-off between skew and moves. */
export interface PlacementPoint {
  readonly size: string;
  readonly scenario: Scenario;
  readonly policy: string;
  readonly meanSkew: number;
  readonly p99Skew: number;
  readonly movesPer1000Steps: number;
}

function benchScenario(size: Size, scenario: Scenario, seed: number): readonly PlacementPoint[] {
  const speeds = range(size.ranks).map((rank) =>
    scenario === 'slow rank' && rank === 0 ? 0.7 : 1,
  );
  const rng = xoroshiro128plus(seed);
  const layers = range(size.layers).map(() => makeLoad(scenario, size.experts, INTERVALS, rng));
  const outcomes = Object.entries(POLICIES).map(([name, policy]) => {
    const noise = xoroshiro128plus(seed + 1_000);
    return { name, runs: layers.map((loads) => runLayer(policy, size, loads, speeds, noise)) };
  });
  const bound = outcomes.find(({ name }) => name === 'clairvoyant greedy')?.runs ?? [];
  return outcomes.map(({ name, runs }) => {
    // The first intervals count as well, although every policy starts there from the static map.
    const skews = runs.flatMap((run) => run.skews).sort((a, b) => a - b);
    const moves = runs.reduce((sum, run) => sum + run.moves, 0) / size.layers;
    const point: PlacementPoint = {
      size: `${size.ranks}x${size.experts}`,
      scenario,
      policy: name,
      meanSkew: round(mean(skews), 4),
      p99Skew: round(skews[Math.floor(skews.length * 0.99)] ?? 0, 4),
      movesPer1000Steps: round((moves * 1_000) / (INTERVALS * STEPS), 4),
    };
    const recover = runs.map((run, i) => intervalsToRecover(run.skews, bound[i]?.skews ?? []));
    report('placement', {
      case: 'policy',
      seed,
      ...point,
      stepTimeLostToMovesPercent: round(
        (100 * moves * MOVE_COST_MS) / (INTERVALS * STEPS * STEP_MS),
      ),
      ...(scenario === 'shift' ? { intervalsToRecover: round(mean(recover)) } : {}),
      decideMsPerLayer: round(mean(runs.map((run) => run.decideMs)) / INTERVALS),
    });
    return point;
  });
}

/** Runs the bench over five consecutive seeds. */
export async function benchPlacement(seed: number): Promise<void> {
  const points = SIZES.flatMap((size) =>
    SCENARIOS.flatMap((scenario) =>
      range(5).flatMap((i) => benchScenario(size, scenario, seed + i)),
    ),
  );
  const groups = new Map<string, PlacementPoint[]>();
  points.forEach((point) => {
    const key = JSON.stringify([point.size, point.scenario, point.policy]);
    groups.set(key, [...(groups.get(key) ?? []), point]);
  });
  groups.forEach((group) => {
    const [first] = group;
    report('placement', {
      case: 'mean of 5 seeds',
      size: first?.size,
      scenario: first?.scenario,
      policy: first?.policy,
      meanSkew: round(mean(group.map((point) => point.meanSkew)), 4),
      p99Skew: round(mean(group.map((point) => point.p99Skew)), 4),
      movesPer1000Steps: round(mean(group.map((point) => point.movesPer1000Steps)), 4),
    });
  });
}
