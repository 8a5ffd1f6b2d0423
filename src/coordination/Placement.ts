/**
 * Placement of a layer's experts on the slots of a group's ranks: small changes to the map in use, made only if
 * the step time that they save exceeds their cost.
 */
import type { PlacementEstimate } from './PlacementEstimate.js';

/** Experts in each rank's slots; an expert on several ranks has replicas, which share its load. */
export type PlacementMap = readonly (readonly number[])[];

/** Cost of a change, and how long it is expected to be of use. */
export interface PlacementPolicy {
  /** Weight of step-time skew against the cost of moving, from the manifest; 0 to 1. */
  readonly skewWeight: number;
  /** Time of a step with even load, ms. */
  readonly stepMs: number;
  /** Number of steps for which the load is expected to stay as it is. */
  readonly stableSteps: number;
  /** Cost of copying one expert's weights, in ms of lost step time. */
  readonly moveMs: number;
  /** Number of experts that may be copied now, given the rate of the weight store. */
  readonly maxMoves: number;
  /** Relative speed of each rank: 1 is usual, less is slower. */
  readonly speeds: readonly number[];
}

/** Change of one slot: `expert` replaces the expert that the slot held. */
export interface PlacementMove {
  readonly rank: number;
  readonly slot: number;
  readonly expert: number;
}

/** A decision, with the figures for its log line. */
export interface PlacementDecision {
  readonly map: PlacementMap;
  readonly moves: readonly PlacementMove[];
  /** Ratio of the largest to the mean estimated rank load, before and after. */
  readonly skewBefore: number;
  readonly skewAfter: number;
  readonly reason: 'balanced' | 'not_worth_it' | 'improved';
}

/** Number of least loaded ranks that are considered for a hot expert. */
const COLD_RANKS = 4;

/** Order of the power mean that stands for the maximum; at 8 a change at one of 64 ranks has hardly any effect. */
const PEAK_ORDER = 32;

/** A gain must exceed its own uncertainty times this factor. */
const UNCERTAINTY_FACTOR = 0.1;

/** Share of an interval's variance that remains in the estimate: weight / (2 - weight). */
const RESIDUAL_VARIANCE = 0.15;

interface WorkingMap {
  readonly slots: number[][];
  readonly holders: Set<number>[];
  readonly loads: number[];
}

interface Candidate {
  readonly moves: readonly PlacementMove[];
  readonly gain: number;
}

/** Load of each rank, divided by its speed. */
export function rankLoads(
  map: PlacementMap,
  load: readonly number[],
  speeds: readonly number[],
): readonly number[] {
  const replicas = new Map<number, number>();
  map.flat().forEach((expert) => replicas.set(expert, (replicas.get(expert) ?? 0) + 1));
  return map.map(
    (slots, rank) =>
      slots.reduce((sum, expert) => sum + (load[expert] ?? 0) / (replicas.get(expert) ?? 1), 0) /
      (speeds[rank] ?? 1),
  );
}

/** Ratio of the largest to the mean load. */
export function skewOf(loads: readonly number[]): number {
  const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  return mean === 0 ? 1 : Math.max(...loads) / mean;
}

/** Power mean of high order: close to the maximum, but it also falls if only one of two maxima does. */
function peak(loads: readonly number[]): number {
  const sum = loads.reduce((total, load) => total + load ** PEAK_ORDER, 0);
  return (sum / loads.length) ** (1 / PEAK_ORDER);
}

function initWorkingMap(map: PlacementMap, experts: number, loads: readonly number[]): WorkingMap {
  const holders = Array.from({ length: experts }, () => new Set<number>());
  map.forEach((slots, rank) => slots.forEach((expert) => holders[expert]?.add(rank)));
  return { slots: map.map((slots) => [...slots]), holders, loads: [...loads] };
}

/** Rank loads after the moves; only the ranks that hold the affected experts are recomputed. */
function loadsAfter(
  { slots, holders, loads }: WorkingMap,
  moves: readonly PlacementMove[],
  load: readonly number[],
  speeds: readonly number[],
): number[] {
  const next = [...loads];
  const changeReplicas = (
    expert: number,
    rank: number,
    adds: boolean,
    ranksHolding: Set<number>,
  ): void => {
    const expertLoad = load[expert] ?? 0;
    const before = expertLoad / Math.max(1, ranksHolding.size);
    const after = expertLoad / Math.max(1, ranksHolding.size + (adds ? 1 : -1));
    ranksHolding.forEach((holder) => {
      next[holder] = (next[holder] ?? 0) + (after - before) / (speeds[holder] ?? 1);
    });
    const share = adds ? after : -after;
    next[rank] = (next[rank] ?? 0) + share / (speeds[rank] ?? 1);
  };
  const holdersAfter = new Map<number, Set<number>>();
  const holdersOf = (expert: number): Set<number> => {
    const ranksHolding = holdersAfter.get(expert) ?? new Set(holders[expert]);
    holdersAfter.set(expert, ranksHolding);
    return ranksHolding;
  };
  moves.forEach(({ rank, slot, expert }) => {
    const replaced = slots[rank]?.[slot] ?? -1;
    changeReplicas(expert, rank, true, holdersOf(expert));
    holdersOf(expert).add(rank);
    changeReplicas(replaced, rank, false, holdersOf(replaced));
    holdersOf(replaced).delete(rank);
  });
  return next;
}

function applyMoves(
  working: WorkingMap,
  moves: readonly PlacementMove[],
  loads: number[],
): WorkingMap {
  const slots = working.slots.map((row) => [...row]);
  const holders = [...working.holders];
  moves.forEach(({ rank, slot, expert }) => {
    const replaced = slots[rank]?.[slot] ?? -1;
    holders[replaced] = new Set([...(holders[replaced] ?? [])].filter((holder) => holder !== rank));
    holders[expert] = new Set([...(holders[expert] ?? []), rank]);
    (slots[rank] ?? [])[slot] = expert;
  });
  return { slots, holders, loads };
}

/**
 * Options to place an expert of the hot rank on the cold rank: it replaces an expert there that has other
 * replicas, or the two are swapped.
 */
function candidateMoves(
  { slots, holders }: WorkingMap,
  hot: number,
  cold: number,
): readonly (readonly PlacementMove[])[] {
  return (slots[hot] ?? []).flatMap((expert, from) => {
    if (holders[expert]?.has(cold)) {
      return [];
    }
    return (slots[cold] ?? []).flatMap((replaced, slot) => {
      const replacement: PlacementMove = { rank: cold, slot, expert };
      const hasOtherReplica = (holders[replaced]?.size ?? 0) > 1;
      const swap: readonly PlacementMove[] = [
        replacement,
        { rank: hot, slot: from, expert: replaced },
      ];
      return [
        ...(hasOtherReplica ? [[replacement]] : []),
        ...(holders[replaced]?.has(hot) ? [] : [swap]),
      ];
    });
  });
}

function uncertainty(
  { slots }: WorkingMap,
  moves: readonly PlacementMove[],
  variance: readonly number[],
): number {
  const sum = moves.reduce((total, { rank, slot, expert }) => {
    const replaced = slots[rank]?.[slot] ?? -1;
    return total + (variance[expert] ?? 0) + (variance[replaced] ?? 0);
  }, 0);
  return Math.sqrt(sum * RESIDUAL_VARIANCE);
}

/** Finds the change at the most loaded rank with the largest gain per copied expert; null if none gains. */
function findBestCandidate(
  working: WorkingMap,
  estimate: PlacementEstimate,
  policy: PlacementPolicy,
): Candidate | null {
  const ranksByLoad = working.loads
    .map((load, rank) => ({ load, rank }))
    .sort((a, b) => b.load - a.load);
  const hot = ranksByLoad[0]?.rank ?? 0;
  const before = peak(working.loads);
  let best: Candidate | null = null;
  ranksByLoad.slice(-COLD_RANKS).forEach(({ rank: cold }) => {
    const options = cold === hot ? [] : candidateMoves(working, hot, cold);
    options.forEach((moves) => {
      const after = peak(loadsAfter(working, moves, estimate.mean, policy.speeds));
      const gain =
        before - after - UNCERTAINTY_FACTOR * uncertainty(working, moves, estimate.variance);
      if (gain > 0 && (best === null || gain / moves.length > best.gain / best.moves.length)) {
        best = { moves, gain };
      }
    });
  });
  return best;
}

/**
 * Whether a change saves more step time, while the load is expected to stay as it is, than its copies cost,
 * weighted by the manifest.
 *
 * If the map were recomputed at each interval, noise would cause weights to be copied again and again, and streams
 * would be disturbed for gains that don't last long enough to pay off.
 */
function isWorthItsCost(candidate: Candidate, mean: number, policy: PlacementPolicy): boolean {
  const saved = (candidate.gain / mean) * policy.stepMs * policy.stableSteps;
  const cost = candidate.moves.length * policy.moveMs;
  return policy.skewWeight * saved > (1 - policy.skewWeight) * cost;
}

/** Decides on the placement of one layer. */
export function decidePlacement(
  map: PlacementMap,
  estimate: PlacementEstimate,
  policy: PlacementPolicy,
): PlacementDecision {
  const loads = rankLoads(map, estimate.mean, policy.speeds);
  const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  const skewBefore = skewOf(loads);
  let working = initWorkingMap(map, estimate.mean.length, loads);
  const moves: PlacementMove[] = [];
  let candidate = findBestCandidate(working, estimate, policy);
  const hasCandidate = candidate !== null;
  while (
    candidate !== null &&
    moves.length + candidate.moves.length <= policy.maxMoves &&
    isWorthItsCost(candidate, mean, policy)
  ) {
    const after = loadsAfter(working, candidate.moves, estimate.mean, policy.speeds);
    working = applyMoves(working, candidate.moves, after);
    moves.push(...candidate.moves);
    candidate = findBestCandidate(working, estimate, policy);
  }
  const unchangedReason = hasCandidate ? 'not_worth_it' : 'balanced';
  return {
    map: working.slots,
    moves,
    skewBefore,
    skewAfter: skewOf(working.loads),
    reason: moves.length > 0 ? 'improved' : unchangedReason,
  };
}
