/** Search for the change of one set that takes most off its most loaded rank for each expert copied. */
import { NONE, PEAK_ORDER, peakPart, type MapPlanChange, type MapPlanSet } from './MapPlanSet.js';

/** Ranks of least load that are looked at for an expert of the most loaded one. */
const COLD_RANKS = 4;

/** What a change without a copy is taken to cost, in copies. */
const FREE_COST = 0.5;

/** Copies that one change may need: none, at one rank, or at both. */
const MOST_COPIES = 2;

/** Room that is left for copies. */
export interface MapPlanRoom {
  /** Experts that a rank holds at most, a set. */
  readonly slotsPerRank: number;
  /** Whether a rank may copy another expert of the set. */
  readonly hasRoom: (set: MapPlanSet, rank: number) => boolean;
  /** What a copy must take off the peak. */
  readonly gainPerCopy: number;
}

function costOf(copies: number): number {
  return Math.max(FREE_COST, copies);
}

function hottest(loads: Float64Array): number {
  return loads.reduce((hot, load, rank) => (load > (loads[hot] ?? 0) ? rank : hot), 0);
}

/** Ranks of least load, the least loaded last. */
function coldest(loads: Float64Array, most: number): readonly number[] {
  const cold: number[] = [];
  loads.forEach((load, rank) => {
    if (cold.length === most && load > (loads[cold[0] ?? 0] ?? 0)) {
      return;
    }
    const after = cold.findIndex((other) => load > (loads[other] ?? 0));
    cold.splice(after === -1 ? cold.length : after, 0, rank);
    if (cold.length > most) {
      cold.shift();
    }
  });
  return cold;
}

/** What the sum of the parts changes by where a load goes from one rank to another. */
function between(set: MapPlanSet, from: number, to: number, load: number): number {
  const { loads, parts } = set;
  const less = peakPart((loads[from] ?? 0) - load * set.paceAt(from));
  const more = peakPart((loads[to] ?? 0) + load * set.paceAt(to));
  return less + more - (parts[from] ?? 0) - (parts[to] ?? 0);
}

/** By how much an expert's share at each holder grows with so many holders more. */
function growth(set: MapPlanSet, expert: number, holders: number): number {
  const count = set.copiesOf(expert);
  return (set.weights[expert] ?? 0) * (1 / (count + holders) - 1 / count);
}

/** One is kept for a whole plan. */
export class MapPlanSearch {
  readonly #room: MapPlanRoom;

  /** Changes of loads by rank while a change is weighed; zero in between. */
  readonly #by: Float64Array;

  /** What the sum of the parts must fall below to be better than the best so far, by copies. */
  readonly #bounds = new Float64Array(MOST_COPIES + 1);

  #best: MapPlanChange | null = null;

  #total = 0;

  #peak = 0;

  constructor(ranks: number, room: MapPlanRoom) {
    this.#room = room;
    this.#by = new Float64Array(ranks);
  }

  /** The change that gains most for each copy; null where none is worth one. */
  find(set: MapPlanSet): MapPlanChange | null {
    const { loads, parts } = set;
    this.#best = null;
    this.#total = parts.reduce((sum, part) => sum + part, 0);
    this.#peak = (this.#total / loads.length) ** (1 / PEAK_ORDER);
    this.#raise(this.#room.gainPerCopy);
    const hot = hottest(loads);
    this.#weighRemovals(set, hot);
    coldest(loads, COLD_RANKS)
      .filter((to) => to !== hot)
      .forEach((to) => this.#weighPair(set, hot, to));
    return this.#best;
  }

  /** Only what gains more than this for each copy is looked for from now on. */
  #raise(perCopy: number): void {
    for (let copies = 0; copies <= MOST_COPIES; copies += 1) {
      const peak = Math.max(0, this.#peak - perCopy * costOf(copies));
      this.#bounds[copies] = peak ** PEAK_ORDER * this.#by.length;
    }
  }

  #offer(
    moved: number,
    copies: number,
    expert: number,
    to: number,
    drop: number,
    from: number,
  ): void {
    const total = Math.max(0, this.#total + moved);
    if (total < (this.#bounds[copies] ?? 0)) {
      const peak = (total / this.#by.length) ** (1 / PEAK_ORDER);
      this.#best = { expert, to, drop, from };
      this.#raise((this.#peak - peak) / costOf(copies));
    }
  }

  /** Experts of the most loaded rank that others hold as well: taking them away needs no copy. */
  #weighRemovals(set: MapPlanSet, hot: number): void {
    set.ranks[hot]?.forEach((expert) => {
      if (set.copiesOf(expert) > 1) {
        this.#spread(set, expert, -1);
        this.#give(set, hot, -set.shareOf(expert) - growth(set, expert, -1));
        this.#offer(this.#settle(set, expert, NONE, NONE), 0, expert, NONE, NONE, hot);
      }
    });
  }

  /** Changes that put an expert of the most loaded rank on a less loaded one. */
  #weighPair(set: MapPlanSet, hot: number, to: number): void {
    const hasPlace = (set.ranks[to]?.length ?? 0) < this.#room.slotsPerRank;
    const hasRoom = this.#room.hasRoom(set, to);
    set.ranks[hot]?.forEach((expert) => {
      const isNew = set.isNew(to, expert);
      if (set.holds(to, expert) || (isNew && !hasRoom)) {
        return;
      }
      const copies = Number(isNew);
      if (hasPlace) {
        this.#weighAdded(set, expert, to, NONE, copies);
        const moved = between(set, hot, to, set.shareOf(expert));
        this.#offer(moved, copies, expert, to, NONE, hot);
      } else {
        this.#weighInPlace(set, expert, hot, to, copies);
      }
    });
  }

  /** Changes that put an expert in the place of another, which its other holders or the hot rank take. */
  #weighInPlace(set: MapPlanSet, expert: number, hot: number, to: number, copies: number): void {
    const hasRoom = this.#room.hasRoom(set, hot);
    const share = set.shareOf(expert);
    set.ranks[to]?.forEach((drop) => {
      if (set.copiesOf(drop) > 1) {
        this.#weighAdded(set, expert, to, drop, copies);
      }
      const isNew = set.isNew(hot, drop);
      if (!set.holds(hot, drop) && (hasRoom || !isNew)) {
        const moved = between(set, hot, to, share - set.shareOf(drop));
        this.#offer(moved, copies + Number(isNew), expert, to, drop, hot);
      }
    });
  }

  /** One copy more of an expert, in place of a copy of another if `drop` names one. */
  #weighAdded(set: MapPlanSet, expert: number, to: number, drop: number, copies: number): void {
    this.#spread(set, expert, 1);
    this.#give(set, to, set.shareOf(expert) + growth(set, expert, 1));
    if (drop !== NONE) {
      this.#spread(set, drop, -1);
      this.#give(set, to, -set.shareOf(drop) - growth(set, drop, -1));
    }
    this.#offer(this.#settle(set, expert, drop, to), copies, expert, to, drop, NONE);
  }

  #spread(set: MapPlanSet, expert: number, holders: number): void {
    const share = growth(set, expert, holders);
    set.holders[expert]?.forEach((rank) => this.#give(set, rank, share));
  }

  #give(set: MapPlanSet, rank: number, load: number): void {
    this.#by[rank] = (this.#by[rank] ?? 0) + load * set.paceAt(rank);
  }

  /** What the sum of the parts changes by, over all ranks touched; clears the table for the next change. */
  #settle(set: MapPlanSet, expert: number, drop: number, to: number): number {
    let moved = to === NONE ? 0 : this.#take(set, to);
    set.holders[expert]?.forEach((rank) => {
      moved += this.#take(set, rank);
    });
    set.holders[drop]?.forEach((rank) => {
      moved += this.#take(set, rank);
    });
    return moved;
  }

  #take(set: MapPlanSet, rank: number): number {
    const by = this.#by[rank] ?? 0;
    this.#by[rank] = 0;
    return by === 0 ? 0 : peakPart((set.loads[rank] ?? 0) + by) - (set.parts[rank] ?? 0);
  }
}
