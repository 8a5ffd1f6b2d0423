/**
 * One set of a group's experts while its next map is planned: which rank holds what, and how loaded it is.
 * Flat tables, changed in place: a plan weighs some ten thousand changes.
 */
import { paceOf } from './MapPaces.js';

/** Stands for no rank, and for no expert. */
export const NONE = -1;

/** Puts an expert on a rank, in place of another there if `drop` names one, or only takes it from one. */
export interface MapPlanChange {
  readonly expert: number;
  /** Rank that takes it; {@link NONE} where its other holders are enough. */
  readonly to: number;
  readonly drop: number;
  /** Rank that gives the expert up, and takes `drop` for it; {@link NONE} to keep both copies. */
  readonly from: number;
}

/** Order of the mean that stands for the maximum: at 16 a change at any hot rank shows. */
export const PEAK_ORDER = 16;

/** A load's part in the sum behind the mean of order {@link PEAK_ORDER}. */
export function peakPart(load: number): number {
  const square = load * load;
  const fourth = square * square;
  const eighth = fourth * fourth;
  return eighth * eighth;
}

function largest(loads: Float64Array): number {
  return loads.reduce((most, load) => Math.max(most, load), 0);
}

function take(list: number[], item: number): void {
  list.splice(list.indexOf(item), 1);
}

/** Loads are relative to the mean of the ranks, were all at the usual pace. */
export class MapPlanSet {
  readonly weights: Float64Array;

  readonly paces: Float64Array;

  readonly loads: Float64Array;

  readonly parts: Float64Array;

  /** Experts of each rank. */
  readonly ranks: readonly number[][];

  /** Ranks of each expert. */
  readonly holders: readonly number[][];

  /** Experts planned in that were new to their rank, by rank. */
  readonly added: Uint16Array;

  /** What each rank holds in the map in use: bringing one of these back costs no copy. */
  readonly #inUse: readonly (readonly number[])[];

  #skew: number;

  constructor(
    inUse: readonly (readonly number[])[],
    weights: readonly number[],
    paces: readonly number[],
  ) {
    const experts = inUse.reduce((most, row) => Math.max(most, ...row), NONE) + 1;
    this.#inUse = inUse;
    this.ranks = inUse.map((row) => [...new Set(row)]);
    this.holders = Array.from({ length: Math.max(weights.length, experts) }, () => []);
    this.ranks.forEach((row, rank) => row.forEach((expert) => this.holders[expert]?.push(rank)));
    this.added = new Uint16Array(inUse.length);
    this.paces = new Float64Array(inUse.map((_held, rank) => paceOf(paces, rank)));
    const held = this.holders.map((ranks, e) => (ranks.length > 0 ? (weights[e] ?? 0) : 0));
    const mean = held.reduce((sum, weight) => sum + weight, 0) / Math.max(1, inUse.length);
    this.weights = new Float64Array(held.map((weight) => (mean === 0 ? 0 : weight / mean)));
    this.loads = new Float64Array(
      this.ranks.map(
        (row, rank) =>
          row.reduce((load, expert) => load + this.shareOf(expert), 0) * this.paceAt(rank),
      ),
    );
    this.parts = this.loads.map(peakPart);
    this.#skew = mean === 0 ? 1 : largest(this.loads);
  }

  /** Largest over mean load. */
  get skew(): number {
    return this.#skew;
  }

  paceAt(rank: number): number {
    return this.paces[rank] ?? 1;
  }

  /** Ranks that hold an expert. */
  copiesOf(expert: number): number {
    return this.holders[expert]?.length ?? 0;
  }

  /** Load that an expert brings to each of its holders. */
  shareOf(expert: number): number {
    return (this.weights[expert] ?? 0) / this.copiesOf(expert);
  }

  holds(rank: number, expert: number): boolean {
    return this.ranks[rank]?.includes(expert) ?? false;
  }

  /** Whether a rank would have to copy an expert. */
  isNew(rank: number, expert: number): boolean {
    return !(this.#inUse[rank]?.includes(expert) ?? false);
  }

  /** Carries a change out; returns the ranks that must copy an expert for it. */
  apply({ expert, to, drop, from }: MapPlanChange): readonly number[] {
    const copying = [
      ...(to !== NONE && this.isNew(to, expert) ? [to] : []),
      ...(from !== NONE && drop !== NONE && this.isNew(from, drop) ? [from] : []),
    ];
    this.#change(expert, to, from);
    if (drop !== NONE) {
      this.#change(drop, from, to);
    }
    copying.forEach((rank) => {
      this.added[rank] = (this.added[rank] ?? 0) + 1;
    });
    this.#skew = largest(this.loads);
    return copying;
  }

  /** Experts that ranks have to copy in the end: one that was planned in may have been planned out again. */
  countNew(): number {
    return this.ranks.reduce(
      (sum, experts, rank) => sum + experts.filter((expert) => this.isNew(rank, expert)).length,
      0,
    );
  }

  /** Gives an expert to one rank, takes it from another, and shares its load out anew. */
  #change(expert: number, to: number, from: number): void {
    this.#load(expert, -1);
    if (to !== NONE) {
      this.ranks[to]?.push(expert);
      this.holders[expert]?.push(to);
    }
    if (from !== NONE) {
      take(this.ranks[from] ?? [], expert);
      take(this.holders[expert] ?? [], from);
    }
    this.#load(expert, 1);
  }

  #load(expert: number, sign: number): void {
    const share = this.shareOf(expert) * sign;
    this.holders[expert]?.forEach((rank) => {
      const load = Math.max(0, (this.loads[rank] ?? 0) + share * this.paceAt(rank));
      this.loads[rank] = load;
      this.parts[rank] = peakPart(load);
    });
  }
}
