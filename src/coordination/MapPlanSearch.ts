/** Search for the change of one set that takes most off its most loaded rank for each expert copied. */
import { NONE, PEAK_ORDER, peakTerm, type MapPlanChange, type MapPlanSet } from './MapPlanSet.js';

/** Ranks of least load that are looked at for an expert of the most loaded one. */
const COLD_RANKS = 4;

/** What a change without a copy is taken to cost, in copies. */
const NO_COPY_COST = 0.5;

/** Copies that one change may need: none, at one rank, or at both. */
const MAX_COPIES = 2;

/** Room that is left for copies. */
export interface MapPlanLimits {
  /** Experts that a rank holds at most, a set. */
  readonly slotsPerRank: number;
  /** Whether a rank may copy another expert of the set. */
  readonly mayCopy: (set: MapPlanSet, rank: number) => boolean;
  /** What a copy must take off the peak. */
  readonly gainPerCopy: number;
}

function costOf(copies: number): number {
  return Math.max(NO_COPY_COST, copies);
}

function hottestRank(loads: Float64Array): number {
  return loads.reduce((hot, load, rank) => (load > (loads[hot] ?? 0) ? rank : hot), 0);
}

/** Ranks of least load, the least loaded last. */
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

/** What the sum of the parts changes by where a load goes from one rank to another. */
function transferDelta(set: MapPlanSet, from: number, to: number, load: number): number {
  const { rankLoads, peakTerms } = set;
  const less = peakTerm((rankLoads[from] ?? 0) - load * set.slowdownAt(from));
  const more = peakTerm((rankLoads[to] ?? 0) + load * set.slowdownAt(to));
  return less + more - (peakTerms[from] ?? 0) - (peakTerms[to] ?? 0);
}

/** By how much an expert's share at each holder grows with so many holders more. */
function shareDelta(set: MapPlanSet, expert: number, added: number): number {
  const count = set.replicaCount(expert);
  return (set.expertLoads[expert] ?? 0) * (1 / (count + added) - 1 / count);
}

/** One is kept for a whole plan. */
export class MapPlanSearch {
  readonly #limits: MapPlanLimits;

  /** Changes of loads by rank while a change is weighed; zero in between. */
  readonly #loadDeltas: Float64Array;

  /** What the sum of the parts must fall below to be better than the best so far, by copies. */
  readonly #thresholds = new Float64Array(MAX_COPIES + 1);

  #best: MapPlanChange | null = null;

  #termSum = 0;

  #peak = 0;

  constructor(ranks: number, limits: MapPlanLimits) {
    this.#limits = limits;
    this.#loadDeltas = new Float64Array(ranks);
  }

  /** The change that gains most for each copy; null where none is worth one. */
  find(set: MapPlanSet): MapPlanChange | null {
    const { rankLoads, peakTerms } = set;
    this.#best = null;
    this.#termSum = peakTerms.reduce((sum, part) => sum + part, 0);
    this.#peak = (this.#termSum / rankLoads.length) ** (1 / PEAK_ORDER);
    this.#requireGain(this.#limits.gainPerCopy);
    const hot = hottestRank(rankLoads);
    this.#tryRemovals(set, hot);
    coldestRanks(rankLoads, COLD_RANKS)
      .filter((to) => to !== hot)
      .forEach((to) => this.#tryPlacements(set, hot, to));
    return this.#best;
  }

  /** Only what gains more than this for each copy is looked for from now on. */
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

  /** Experts of the most loaded rank that others hold as well: taking them away needs no copy. */
  #tryRemovals(set: MapPlanSet, hot: number): void {
    set.expertsByRank[hot]?.forEach((expert) => {
      if (set.replicaCount(expert) > 1) {
        this.#addLoadToHolders(set, expert, -1);
        this.#addLoad(set, hot, -set.loadPerReplica(expert) - shareDelta(set, expert, -1));
        this.#consider(this.#takeDeltas(set, expert, NONE, NONE), 0, expert, NONE, NONE, hot);
      }
    });
  }

  /** Changes that put an expert of the most loaded rank on a less loaded one. */
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

  /** Changes that put an expert in the place of another, which its other holders or the hot rank take. */
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

  /** One copy more of an expert, in place of a copy of another if `drop` names one. */
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

  /** What the sum of the parts changes by, over all ranks touched; clears the table for the next change. */
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
