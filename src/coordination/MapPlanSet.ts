/**
 * One set of a group's experts while its next map is planned: the experts and the load of each rank. Uses flat
 * arrays that are changed in place, since a plan evaluates some ten thousand changes.
 */
import { slowdownOf } from './RankSlowdown.js';

/** Stands for no rank or no expert. */
export const NONE = -1;

/**
 * Adds an expert to a rank, where it replaces `evicted` unless that is {@link NONE}, or only removes it from a
 * rank.
 */
export interface MapPlanChange {
  readonly expert: number;
  /** Rank that gets the expert; {@link NONE} if its other holders are enough. */
  readonly to: number;
  readonly evicted: number;
  /** Rank that gives up the expert and gets `evicted` in exchange; {@link NONE} if all holders keep it. */
  readonly from: number;
}

/** Order of the power mean that stands for the maximum: at 16 a change at any hot rank has an effect. */
export const PEAK_ORDER = 16;

/** Term of a load in the sum behind the power mean of order {@link PEAK_ORDER}. */
export function peakTerm(load: number): number {
  const square = load * load;
  const fourth = square * square;
  const eighth = fourth * fourth;
  return eighth * eighth;
}

function largest(loads: Float64Array): number {
  return loads.reduce((most, load) => Math.max(most, load), 0);
}

function removeItem(list: number[], item: number): void {
  list.splice(list.indexOf(item), 1);
}

/** Loads are relative to the mean rank load without slowdowns. */
export class MapPlanSet {
  readonly expertLoads: Float64Array;

  readonly slowdowns: Float64Array;

  readonly rankLoads: Float64Array;

  readonly peakTerms: Float64Array;

  readonly expertsByRank: readonly number[][];

  readonly ranksByExpert: readonly number[][];

  /**
   * Number of experts that each rank must copy for the changes so far; an expert that is removed again still
   * counts.
   */
  readonly copiesByRank: Uint16Array;

  /** Experts of each rank in the map in use: adding one of these back needs no copy. */
  readonly #currentMap: readonly (readonly number[])[];

  #skew: number;

  constructor(
    currentMap: readonly (readonly number[])[],
    expectedLoads: readonly number[],
    rankSlowdowns: readonly number[],
  ) {
    const experts = currentMap.reduce((most, row) => Math.max(most, ...row), NONE) + 1;
    this.#currentMap = currentMap;
    this.expertsByRank = currentMap.map((row) => [...new Set(row)]);
    this.ranksByExpert = Array.from({ length: Math.max(expectedLoads.length, experts) }, () => []);
    this.expertsByRank.forEach((row, rank) =>
      row.forEach((expert) => this.ranksByExpert[expert]?.push(rank)),
    );
    this.copiesByRank = new Uint16Array(currentMap.length);
    this.slowdowns = new Float64Array(
      currentMap.map((_held, rank) => slowdownOf(rankSlowdowns, rank)),
    );
    const heldLoads = this.ranksByExpert.map((ranks, e) =>
      ranks.length > 0 ? (expectedLoads[e] ?? 0) : 0,
    );
    const mean =
      heldLoads.reduce((sum, weight) => sum + weight, 0) / Math.max(1, currentMap.length);
    this.expertLoads = new Float64Array(
      heldLoads.map((weight) => (mean === 0 ? 0 : weight / mean)),
    );
    this.rankLoads = new Float64Array(
      this.expertsByRank.map(
        (row, rank) =>
          row.reduce((load, expert) => load + this.loadPerReplica(expert), 0) *
          this.slowdownAt(rank),
      ),
    );
    this.peakTerms = this.rankLoads.map(peakTerm);
    this.#skew = mean === 0 ? 1 : largest(this.rankLoads);
  }

  /** Ratio of the largest rank load to the mean without slowdowns. */
  get skew(): number {
    return this.#skew;
  }

  slowdownAt(rank: number): number {
    return this.slowdowns[rank] ?? 1;
  }

  /** Number of ranks that hold an expert. */
  replicaCount(expert: number): number {
    return this.ranksByExpert[expert]?.length ?? 0;
  }

  /** Load that an expert adds to each of its holders, without slowdowns. */
  loadPerReplica(expert: number): number {
    return (this.expertLoads[expert] ?? 0) / this.replicaCount(expert);
  }

  holds(rank: number, expert: number): boolean {
    return this.expertsByRank[rank]?.includes(expert) ?? false;
  }

  /** Whether a rank would have to copy an expert. */
  needsCopy(rank: number, expert: number): boolean {
    return !(this.#currentMap[rank]?.includes(expert) ?? false);
  }

  /** Applies a change; returns the ranks that must copy an expert for it. */
  apply({ expert, to, evicted, from }: MapPlanChange): readonly number[] {
    const copying = [
      ...(to !== NONE && this.needsCopy(to, expert) ? [to] : []),
      ...(from !== NONE && evicted !== NONE && this.needsCopy(from, evicted) ? [from] : []),
    ];
    this.#transfer(expert, to, from);
    if (evicted !== NONE) {
      this.#transfer(evicted, from, to);
    }
    copying.forEach((rank) => {
      this.copiesByRank[rank] = (this.copiesByRank[rank] ?? 0) + 1;
    });
    this.#skew = largest(this.rankLoads);
    return copying;
  }

  /** Number of experts that ranks must copy for the final map; one that was added may have been removed again. */
  countCopies(): number {
    return this.expertsByRank.reduce(
      (sum, experts, rank) => sum + experts.filter((expert) => this.needsCopy(rank, expert)).length,
      0,
    );
  }

  /** Adds an expert to one rank, removes it from another, and redistributes its load over its holders. */
  #transfer(expert: number, to: number, from: number): void {
    this.#addLoad(expert, -1);
    if (to !== NONE) {
      this.expertsByRank[to]?.push(expert);
      this.ranksByExpert[expert]?.push(to);
    }
    if (from !== NONE) {
      removeItem(this.expertsByRank[from] ?? [], expert);
      removeItem(this.ranksByExpert[expert] ?? [], from);
    }
    this.#addLoad(expert, 1);
  }

  #addLoad(expert: number, sign: number): void {
    const share = this.loadPerReplica(expert) * sign;
    this.ranksByExpert[expert]?.forEach((rank) => {
      const load = Math.max(0, (this.rankLoads[rank] ?? 0) + share * this.slowdownAt(rank));
      this.rankLoads[rank] = load;
      this.peakTerms[rank] = peakTerm(load);
    });
  }
}
