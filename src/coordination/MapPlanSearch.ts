/** Search for the change to one set that reduces its peak load most for each copied expert. */
import { NONE, PEAK_ORDER, peakTerm, type MapPlanChange, type MapPlanSet } from './MapPlanSet.js';

/** Number of least loaded ranks that are considered for an expert of the most loaded one. */
const COLD_RANKS = 4;

/** Assumed cost of a change that needs no copy, in copies. */
const NO_COPY_COST = 0.5;

/** Maximum number of copies of one change, which may need one at each of two ranks. */
const MAX_COPIES = 2;

/** Limits on the changes that are searched. */
export interface MapPlanLimits {
  /** Maximum number of experts on a rank, per set. */
  readonly slotsPerRank: number;
  /** Whether a rank may copy another expert of the set. */
  readonly mayCopy: (set: MapPlanSet, rank: number) => boolean;
  /** Amount by which each copy must reduce the peak load, as a share of the mean load. */
  readonly gainPerCopy: number;
}

function costOf(copies: number): number {
  return Math.max(NO_COPY_COST, copies);
}

function hottestRank(loads: Float64Array): number {
  return loads.reduce((hot, load, rank) => (load > (loads[hot] ?? 0) ? rank : hot), 0);
}

/** The `size` least loaded ranks, the least loaded last. */
function coldestRanks(loads: Float64Array, size: number): readonly number[] {
  const cold: number[] = [];
  loads.forEach((load, rank) => {
    if (cold.length === size && load > (loads[cold[0] ?? 0] ?? 0)) {
      return;
    }
    const after = cold.findIndex((other) => load > (loads[other] ?? 0));
    cold.splice(after === -1 ? cold.length : after, 0, rank);
    if (cold.length > size) {
      cold.shift();
    }
  });
  return cold;
}

/** Change of the sum of peak terms if a load moves from one rank to another. */
function transferDelta(set: MapPlanSet, from: number, to: number, load: number): number {
  const { rankLoads, peakTerms } = set;
  const less = peakTerm((rankLoads[from] ?? 0) - load * set.slowdownAt(from));
  const more = peakTerm((rankLoads[to] ?? 0) + load * set.slowdownAt(to));
  return less + more - (peakTerms[from] ?? 0) - (peakTerms[to] ?? 0);
}

/** Change of an expert's load at each holder if the number of holders changes by `added`. */
function shareDelta(set: MapPlanSet, expert: number, added: number): number {
  const count = set.replicaCount(expert);
  return (set.expertLoads[expert] ?? 0) * (1 / (count + added) - 1 / count);
}

/** Searches one set after another; one instance serves a whole plan. */
export class MapPlanSearch {
  readonly #limits: MapPlanLimits;

  /** Load changes by rank for the change being evaluated; all 0 in between. */
  readonly #loadDeltas: Float64Array;

  /**
   * Sum of peak terms that a change must stay below to be better than the best so far, by its number of copies.
   */
  readonly #thresholds = new Float64Array(MAX_COPIES + 1);

  #best: MapPlanChange | null = null;

  #termSum = 0;

  #peak = 0;

  constructor(ranks: number, limits: MapPlanLimits) {
    this.#limits = limits;
    this.#loadDeltas = new Float64Array(ranks);
  }

  /** Finds the change with the largest gain per copy; null if none gains enough. */
  find(set: MapPlanSet): MapPlanChange | null {
    const { rankLoads, peakTerms } = set;
    this.#best = null;
    this.#termSum = peakTerms.reduce((sum, term) => sum + term, 0);
    this.#peak = (this.#termSum / rankLoads.length) ** (1 / PEAK_ORDER);
    this.#requireGain(this.#limits.gainPerCopy);
    const hot = hottestRank(rankLoads);
    this.#tryRemovals(set, hot);
    coldestRanks(rankLoads, COLD_RANKS)
      .filter((to) => to !== hot)
      .forEach((to) => this.#tryPlacements(set, hot, to));
    return this.#best;
  }

  /** Raises the gain per copy that further changes must exceed. */
  #requireGain(perCopy: number): void {
    for (let copies = 0; copies <= MAX_COPIES; copies += 1) {
      const peak = Math.max(0, this.#peak - perCopy * costOf(copies));
      this.#thresholds[copies] = peak ** PEAK_ORDER * this.#loadDeltas.length;
    }
  }

  #consider(
    delta: number,
    copies: number,
    expert: number,
    to: number,
    evicted: number,
    from: number,
  ): void {
    const total = Math.max(0, this.#termSum + delta);
    if (total < (this.#thresholds[copies] ?? 0)) {
      const peak = (total / this.#loadDeltas.length) ** (1 / PEAK_ORDER);
      this.#best = { expert, to, evicted, from };
      this.#requireGain((this.#peak - peak) / costOf(copies));
    }
  }

  /** Evaluates removing an expert of the most loaded rank that other ranks hold as well, which needs no copy. */
  #tryRemovals(set: MapPlanSet, hot: number): void {
    set.expertsByRank[hot]?.forEach((expert) => {
      if (set.replicaCount(expert) > 1) {
        this.#addLoadToHolders(set, expert, -1);
        this.#addLoad(set, hot, -set.loadPerReplica(expert) - shareDelta(set, expert, -1));
        this.#consider(this.#takeDeltas(set, expert, NONE, NONE), 0, expert, NONE, NONE, hot);
      }
    });
  }

  /** Evaluates placing an expert of the most loaded rank on a less loaded one. */
  #tryPlacements(set: MapPlanSet, hot: number, to: number): void {
    const hasFreeSlot = (set.expertsByRank[to]?.length ?? 0) < this.#limits.slotsPerRank;
    const mayCopyTo = this.#limits.mayCopy(set, to);
    set.expertsByRank[hot]?.forEach((expert) => {
      const isNew = set.needsCopy(to, expert);
      if (set.holds(to, expert) || (isNew && !mayCopyTo)) {
        return;
      }
      const copies = Number(isNew);
      if (hasFreeSlot) {
        this.#tryReplica(set, expert, to, NONE, copies);
        const delta = transferDelta(set, hot, to, set.loadPerReplica(expert));
        this.#consider(delta, copies, expert, to, NONE, hot);
      } else {
        this.#tryReplacements(set, expert, hot, to, copies);
      }
    });
  }

  /**
   * Evaluates replacing an expert of the less loaded rank, whose load goes to its other holders or to the hot
   * rank.
   */
  #tryReplacements(set: MapPlanSet, expert: number, hot: number, to: number, copies: number): void {
    const mayCopyToHot = this.#limits.mayCopy(set, hot);
    const share = set.loadPerReplica(expert);
    set.expertsByRank[to]?.forEach((evicted) => {
      if (set.replicaCount(evicted) > 1) {
        this.#tryReplica(set, expert, to, evicted, copies);
      }
      const isNew = set.needsCopy(hot, evicted);
      if (!set.holds(hot, evicted) && (mayCopyToHot || !isNew)) {
        const delta = transferDelta(set, hot, to, share - set.loadPerReplica(evicted));
        this.#consider(delta, copies + Number(isNew), expert, to, evicted, hot);
      }
    });
  }

  /**
   * Evaluates one more replica of an expert, which replaces a replica of `evicted` unless that is {@link NONE}.
   */
  #tryReplica(set: MapPlanSet, expert: number, to: number, evicted: number, copies: number): void {
    this.#addLoadToHolders(set, expert, 1);
    this.#addLoad(set, to, set.loadPerReplica(expert) + shareDelta(set, expert, 1));
    if (evicted !== NONE) {
      this.#addLoadToHolders(set, evicted, -1);
      this.#addLoad(set, to, -set.loadPerReplica(evicted) - shareDelta(set, evicted, -1));
    }
    this.#consider(this.#takeDeltas(set, expert, evicted, to), copies, expert, to, evicted, NONE);
  }

  #addLoadToHolders(set: MapPlanSet, expert: number, addedHolders: number): void {
    const share = shareDelta(set, expert, addedHolders);
    set.ranksByExpert[expert]?.forEach((rank) => this.#addLoad(set, rank, share));
  }

  #addLoad(set: MapPlanSet, rank: number, load: number): void {
    this.#loadDeltas[rank] = (this.#loadDeltas[rank] ?? 0) + load * set.slowdownAt(rank);
  }

  /** Change of the sum of peak terms over all affected ranks; resets their load changes for the next candidate. */
  #takeDeltas(set: MapPlanSet, expert: number, evicted: number, to: number): number {
    let delta = to === NONE ? 0 : this.#takeDelta(set, to);
    set.ranksByExpert[expert]?.forEach((rank) => {
      delta += this.#takeDelta(set, rank);
    });
    set.ranksByExpert[evicted]?.forEach((rank) => {
      delta += this.#takeDelta(set, rank);
    });
    return delta;
  }

  #takeDelta(set: MapPlanSet, rank: number): number {
    const loadDelta = this.#loadDeltas[rank] ?? 0;
    this.#loadDeltas[rank] = 0;
    return loadDelta === 0
      ? 0
      : peakTerm((set.rankLoads[rank] ?? 0) + loadDelta) - (set.peakTerms[rank] ?? 0);
  }
}
