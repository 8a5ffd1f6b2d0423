/** Time and resulting skew of the real planner of a group's expert maps, under demand that shifts. */
import {
  expectedLoad,
  initDemand,
  planMap,
  recordCounts,
  type ExpertCounts,
} from '../src/coordination/index.js';
import { initialMap, PLAN_SIZES, makeDemand, type PlanSize } from './BenchPlanLoad.js';
import { quantiles, range, report, round } from './BenchReport.js';

const INTERVALS = 48;

const SEEDS = 3;

/** Minimum reduction of the skew for which a plan is carried out. */
const MIN_GAIN = 0.1;

/** Times and results of the plans of one seed. */
export interface PlanRun {
  readonly planMs: readonly number[];
  /** Times of the plans that are carried out. */
  readonly changeMs: readonly number[];
  readonly skewBefore: readonly number[];
  readonly skewAfter: readonly number[];
  readonly copies: number;
}

function add(totals: ExpertCounts, counts: ExpertCounts): ExpertCounts {
  return totals.map((set, s) => set.map((total, e) => total + (counts[s]?.[e] ?? 0)));
}

/** Plans a group's maps under demand that drifts and shifts; `clock` returns ms. */
export function runPlans(
  size: PlanSize,
  seed: number,
  clock: () => number = () => performance.now(),
): PlanRun {
  let map = initialMap(size);
  let totals: ExpertCounts = range(size.sets).map(() => range(size.experts).map(() => 0));
  let demand = recordCounts(initDemand(1), [totals]);
  const planMs: number[] = [];
  const changeMs: number[] = [];
  const skewBefore: number[] = [];
  const skewAfter: number[] = [];
  let copies = 0;
  makeDemand(size, INTERVALS, seed).forEach((counts) => {
    totals = add(totals, counts);
    demand = recordCounts(demand, [totals]);
    const weights = expectedLoad(demand) ?? [];
    const startedAt = clock();
    const planned = planMap(map, weights, size.shape, size.policy);
    const elapsedMs = clock() - startedAt;
    planMs.push(elapsedMs);
    const isUsed = planned.skewBefore - planned.skewAfter >= MIN_GAIN;
    skewBefore.push(planned.skewBefore);
    skewAfter.push(isUsed ? planned.skewAfter : planned.skewBefore);
    copies += isUsed ? planned.copies : 0;
    changeMs.push(...(isUsed ? [elapsedMs] : []));
    map = isUsed ? planned.map : map;
  });
  return { planMs, changeMs, skewBefore, skewAfter, copies };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Runs the bench for each size over three consecutive seeds. */
export async function benchPlan(seed: number): Promise<void> {
  PLAN_SIZES.forEach((size) => {
    const { ranks, experts, sets, shape } = size;
    const runs = range(SEEDS).map((i) => runPlans(size, seed + i));
    const all = quantiles(runs.flatMap(({ planMs }) => planMs));
    const changes = runs.flatMap(({ changeMs }) => changeMs);
    report('plan', {
      seeds: range(SEEDS).map((i) => seed + i),
      ranks,
      experts,
      sets,
      slotsPerRank: shape.slotsPerRank,
      plans: runs.reduce((sum, { planMs }) => sum + planMs.length, 0),
      p50Ms: all.p50,
      p99Ms: all.p99,
      changes: changes.length,
      changeP50Ms: quantiles(changes).p50,
      skewBefore: round(mean(runs.flatMap(({ skewBefore }) => skewBefore)), 4),
      skewAfter: round(mean(runs.flatMap(({ skewAfter }) => skewAfter)), 4),
      copies: runs.reduce((sum, { copies }) => sum + copies, 0),
    });
  });
}
