/**
 * Plans a group's next expert map: few changes from the map in use, the hottest experts first on more
 * ranks. A pass lasts, set by set, as long as its most loaded rank, so what counts is the sum over
 * sets of the largest load.
 */
import type { GroupMap } from '../protocol/index.js';

/** Shape of a map, and what a change may bring. */
export interface MapShape {
  /** Experts that a rank holds at most, a set. */
  readonly slotsPerRank: number;
  /** Experts new to a rank that one change may bring, a set. */
  readonly mostNew: number;
}

/** What a change must be worth. */
export interface MapPolicy {
  /** Experts new to one rank over all sets: copying them takes the time until the switch. */
  readonly mostNewPerRank: number;
  /** Part of the mean load that each copied expert must take off the most loaded rank. */
  readonly gainPerCopy: number;
}

/** Part of the longest pause from which on a pass is worth making shorter. */
const EASY_SHARE = 0.5;

/** Part of the longest pause from which on shorter passes are worth whatever they cost. */
const PRESSED_SHARE = 0.8;

/** Gain a copy must bring where passes are only just worth making shorter. */
const EASY_GAIN = 0.03;

/** Time after a group has formed anew in which it is planned for whatever its passes take, ms. */
const ANEW_MS = 1_500;

/** What tells how much a copied expert must gain. */
export interface PassOutlook {
  /** Time of a pass lately; null where none is known. */
  readonly passMs: number | null;
  /** Longest pause between two events of a stream that is on time, ms. */
  readonly pauseMs: number;
  /** Whether the group uses the map that it has when it forms. */
  readonly usesFirstMap: boolean;
  /** Time since the group formed anew, ms; without end where it never did. */
  readonly formedMsAgo: number;
}

/**
 * What a copied expert must gain now; null where passes are short enough as they are.
 *
 * Failure: the map follows each shift though the group has time to spare. Symptom: copies cost more
 * than even ranks bring. Enough: answers are late only where a pass comes near the longest pause, so
 * the nearer it comes, the less a copy must gain.
 *
 * A group with its first map is not asked for its passes: that map takes no account of demand, and traffic that has
 * just begun makes its passes long within a second. Until a map is in use that is planned then, another second goes,
 * in which half of all answers are late. On a calm half minute of a group of 20 ranks the credit earned rose from
 * 0.89 to 0.97 (one play each).
 */
export function gainWanted(outlook: PassOutlook, least: number): number | null {
  const { passMs, pauseMs, usesFirstMap, formedMsAgo } = outlook;
  if (usesFirstMap || formedMsAgo < ANEW_MS) {
    return least;
  }
  const share = (passMs ?? 0) / pauseMs;
  if (share < EASY_SHARE) {
    return null;
  }
  const eased = Math.max(0, (PRESSED_SHARE - share) / (PRESSED_SHARE - EASY_SHARE));
  return least + (EASY_GAIN - least) * Math.min(1, eased);
}

/** A planned map with the figures that its log line needs. */
export interface MapPlanned {
  readonly map: GroupMap;
  /** Experts that ranks must copy. */
  readonly copies: number;
  /** Largest over mean load, averaged over sets, before and after. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/** Ranks of least load that are looked at for an expert of the most loaded one. */
const COLD_RANKS = 4;

/** Order of the mean that stands for the maximum: at 16 a change at any hot rank shows. */
const PEAK_ORDER = 16;

/** One set while it is planned. */
interface Working {
  readonly weights: readonly number[];
  readonly ranks: Set<number>[];
  readonly holders: Set<number>[];
  /** Time that each rank takes for its share, in loads of a rank at the usual pace. */
  readonly loads: number[];
  /** Mean load of the ranks, were all at the usual pace. */
  readonly mean: number;
  /** What each rank holds in the map in use: bringing one of these back costs no copy. */
  readonly inUse: readonly ReadonlySet<number>[];
  readonly added: number[];
}

/** Puts an expert on a rank, in place of another there if `drop` names one, or only takes it from one. */
interface Change {
  readonly expert: number;
  /** Rank that takes it; null where its other holders are enough. */
  readonly to: number | null;
  readonly drop: number | null;
  /** Rank that gives the expert up, and takes `drop` for it; null to keep both copies. */
  readonly from: number | null;
}

/** Slower ranks than this are planned for as this slow: they are left next to nothing either way. */
const SLOWEST_PACE = 16;

/** From this pace on a rank gets no requests while others have places. */
const SLOW_PACE = 2;

/** Ranks that requests are better not sent to: every pass of the group lasts as long as the slowest rank's part. */
export function slowRanks(paces: readonly number[]): readonly number[] {
  return paces.flatMap((pace, rank) => (pace >= SLOW_PACE ? [rank] : []));
}

function paceOf(paces: readonly number[], rank: number): number {
  return Math.min(SLOWEST_PACE, Math.max(1, paces[rank] ?? 1));
}

function startWorking(
  ranks: readonly (readonly number[])[],
  weights: readonly number[],
  paces: readonly number[],
): Working {
  const holders = weights.map(() => new Set<number>());
  ranks.forEach((experts, rank) => experts.forEach((expert) => holders[expert]?.add(rank)));
  const shares = ranks.map((experts) =>
    experts.reduce(
      (sum, expert) => sum + (weights[expert] ?? 0) / Math.max(1, holders[expert]?.size ?? 1),
      0,
    ),
  );
  const loads = shares.map((share, rank) => share * paceOf(paces, rank));
  const mean = shares.reduce((sum, share) => sum + share, 0) / Math.max(1, shares.length);
  return {
    weights,
    ranks: ranks.map((experts) => new Set(experts)),
    holders,
    loads,
    mean,
    inUse: ranks.map((experts) => new Set(experts)),
    added: ranks.map(() => 0),
  };
}

function skewOf({ loads, mean }: Working): number {
  return mean === 0 ? 1 : Math.max(...loads) / mean;
}

/**
 * What a change does to the loads of the ranks that it touches. One is kept for a whole plan and used over
 * and over: a plan weighs some ten thousand changes, and with new tables for each it took ten times as long.
 */
class LoadShift {
  readonly #by: Float64Array;

  readonly #touched: number[] = [];

  readonly #paces: readonly number[];

  constructor(ranks: number, paces: readonly number[]) {
    this.#by = new Float64Array(ranks);
    this.#paces = paces;
  }

  /** Ranks whose load changes. */
  get touched(): readonly number[] {
    return this.#touched;
  }

  byOf(rank: number): number {
    return this.#by[rank] ?? 0;
  }

  /** Takes a change's effect in, in place of the one before. */
  weigh({ weights, holders }: Working, { expert, to, drop, from }: Change): void {
    this.#clear();
    const weight = weights[expert] ?? 0;
    const held = holders[expert] ?? new Set<number>();
    const before = weight / Math.max(1, held.size);
    const after = weight / (held.size + Number(to !== null) - Number(from !== null));
    held.forEach((rank) => this.#add(rank, rank === from ? -before : after - before));
    if (to === null) {
      return;
    }
    this.#add(to, after);
    if (drop !== null) {
      this.#weighDrop(weights[drop] ?? 0, holders[drop] ?? new Set(), to, from);
    }
  }

  /** The expert that `to` gives up for it: to `from`, or to its other holders. */
  #weighDrop(weight: number, held: ReadonlySet<number>, to: number, from: number | null): void {
    const before = weight / Math.max(1, held.size);
    if (from !== null) {
      this.#add(to, -before);
      this.#add(from, before);
      return;
    }
    const after = weight / Math.max(1, held.size - 1);
    held.forEach((rank) => this.#add(rank, rank === to ? -before : after - before));
  }

  #add(rank: number, by: number): void {
    if (!this.#touched.includes(rank)) {
      this.#touched.push(rank);
    }
    this.#by[rank] = (this.#by[rank] ?? 0) + by * paceOf(this.#paces, rank);
  }

  #clear(): void {
    this.#touched.forEach((rank) => {
      this.#by[rank] = 0;
    });
    this.#touched.length = 0;
  }
}

function isNew({ inUse }: Working, rank: number, expert: number): boolean {
  return !(inUse[rank]?.has(expert) ?? false);
}

function copiesOf(working: Working, { expert, to, drop, from }: Change): number {
  const first = to !== null && isNew(working, to, expert) ? 1 : 0;
  const second = from !== null && drop !== null && isNew(working, from, drop) ? 1 : 0;
  return first + second;
}

/** Changes that take an expert from the most loaded rank which others hold as well: they need no copy. */
function listRemovals({ ranks, holders }: Working, hot: number): readonly Change[] {
  return [...(ranks[hot] ?? [])]
    .filter((expert) => (holders[expert]?.size ?? 0) > 1)
    .map((expert) => ({ expert, to: null, drop: null, from: hot }));
}

/** Changes that put an expert of the most loaded rank on a less loaded one. */
function listChanges(
  { ranks, holders }: Working,
  { slotsPerRank }: MapShape,
  hot: number,
  to: number,
): readonly Change[] {
  const held = [...(ranks[to] ?? [])];
  const hasPlace = held.length < slotsPerRank;
  const spare = held.filter((expert) => (holders[expert]?.size ?? 0) > 1);
  return [...(ranks[hot] ?? [])].flatMap((expert): readonly Change[] => {
    if (ranks[to]?.has(expert)) {
      return [];
    }
    if (hasPlace) {
      return [
        { expert, to, drop: null, from: null },
        { expert, to, drop: null, from: hot },
      ];
    }
    const replaced = spare.map((drop): Change => ({ expert, to, drop, from: null }));
    const swapped = held
      .filter((drop) => !(ranks[hot]?.has(drop) ?? false))
      .map((drop): Change => ({ expert, to, drop, from: hot }));
    return [...replaced, ...swapped];
  });
}

/** Room that is left for copies, by rank. */
interface Room {
  readonly shape: MapShape;
  readonly policy: MapPolicy;
  /** Copies planned so far by rank, over all sets. */
  readonly planned: readonly number[];
}

function hasRoom(working: Working, { shape, policy, planned }: Room, change: Change): boolean {
  const fits = (rank: number, expert: number): boolean =>
    !isNew(working, rank, expert) ||
    ((working.added[rank] ?? 0) < shape.mostNew && (planned[rank] ?? 0) < policy.mostNewPerRank);
  const { expert, to, drop, from } = change;
  return (to === null || fits(to, expert)) && (from === null || drop === null || fits(from, drop));
}

/** A load's part in the mean of order {@link PEAK_ORDER}. */
function peakPart(load: number, scale: number): number {
  const square = (load / scale) ** 2;
  const fourth = square * square;
  const eighth = fourth * fourth;
  return eighth * eighth;
}

/** The change that takes most off the peak for each copy, if any is worth one. */
function findBest(working: Working, room: Room, shift: LoadShift): Change | null {
  const { loads, mean } = working;
  const order = loads.map((_load, rank) => rank).sort((a, b) => (loads[b] ?? 0) - (loads[a] ?? 0));
  const [hot = 0] = order;
  const parts = loads.map((load) => peakPart(load, mean));
  const total = parts.reduce((sum, part) => sum + part, 0);
  const peak = (total / loads.length) ** (1 / PEAK_ORDER);
  let best: Change | null = null;
  let bestGain = room.policy.gainPerCopy;
  const consider = (change: Change): void => {
    if (!hasRoom(working, room, change)) {
      return;
    }
    shift.weigh(working, change);
    const moved = shift.touched.reduce(
      (sum, rank) =>
        sum + peakPart((loads[rank] ?? 0) + shift.byOf(rank), mean) - (parts[rank] ?? 0),
      0,
    );
    const gain = peak - (Math.max(0, total + moved) / loads.length) ** (1 / PEAK_ORDER);
    const perCopy = gain / Math.max(0.5, copiesOf(working, change));
    if (perCopy > bestGain) {
      best = change;
      bestGain = perCopy;
    }
  };
  listRemovals(working, hot).forEach(consider);
  order
    .slice(-COLD_RANKS)
    .filter((to) => to !== hot)
    .forEach((to) => listChanges(working, room.shape, hot, to).forEach(consider));
  return best;
}

function place(working: Working, rank: number, expert: number): void {
  working.ranks[rank]?.add(expert);
  working.holders[expert]?.add(rank);
}

function remove(working: Working, rank: number, expert: number): void {
  working.ranks[rank]?.delete(expert);
  working.holders[expert]?.delete(rank);
}

/** Carries a change out on the working copy; returns the ranks that must copy an expert for it. */
function apply(working: Working, change: Change, shift: LoadShift): readonly number[] {
  const { expert, to, drop, from } = change;
  const copying = [
    ...(to !== null && isNew(working, to, expert) ? [to] : []),
    ...(from !== null && drop !== null && isNew(working, from, drop) ? [from] : []),
  ];
  const { loads, added } = working;
  shift.weigh(working, change);
  shift.touched.forEach((rank) => {
    loads[rank] = (loads[rank] ?? 0) + shift.byOf(rank);
  });
  if (to !== null) {
    place(working, to, expert);
  }
  if (from !== null) {
    remove(working, from, expert);
  }
  if (to !== null && drop !== null) {
    remove(working, to, drop);
    if (from !== null) {
      place(working, from, drop);
    }
  }
  copying.forEach((rank) => {
    added[rank] = (added[rank] ?? 0) + 1;
  });
  return copying;
}

/** Experts that ranks have to copy in the end: one that was planned in may have been planned out again. */
function countNew(working: Working): number {
  const byRank = working.ranks.map(
    (experts, rank) => [...experts].filter((expert) => isNew(working, rank, expert)).length,
  );
  return byRank.reduce((sum, count) => sum + count, 0);
}

/** Most changes of one set in one plan; each rank may take a few. */
const MOST_CHANGES = 64;

/**
 * Plans the next map from each expert's expected load, by set. Sets take turns, the most uneven
 * first, so that the copies that a rank may make go where they shorten the pass most.
 *
 * `paces` tells how many times the usual time each rank takes. All ranks wait for the slowest, so that a rank
 * at half its speed with an even share makes the experts' part of each pass twice as long; it gets half.
 */
export function planMap(
  inUse: GroupMap,
  weights: readonly (readonly number[])[],
  shape: MapShape,
  policy: MapPolicy,
  paces: readonly number[] = [],
): MapPlanned {
  const sets = inUse.map((ranks, set) => startWorking(ranks, weights[set] ?? [], paces));
  const skews = (): number => sets.reduce((sum, set) => sum + skewOf(set), 0) / sets.length;
  const skewBefore = skews();
  const planned = (inUse[0] ?? []).map(() => 0);
  const open = new Set(sets.map((_set, i) => i));
  const shift = new LoadShift(planned.length, paces);
  for (let change = 0; change < MOST_CHANGES * sets.length && open.size > 0; change += 1) {
    const skewAt = (set: number): number => {
      const working = sets[set];
      return working === undefined ? 1 : skewOf(working);
    };
    const [set = 0] = [...open].sort((a, b) => skewAt(b) - skewAt(a));
    const working = sets[set];
    const best =
      working === undefined ? null : findBest(working, { shape, policy, planned }, shift);
    if (working === undefined || best === null) {
      open.delete(set);
    } else {
      const copying = apply(working, best, shift);
      copying.forEach((rank) => {
        planned[rank] = (planned[rank] ?? 0) + 1;
      });
    }
  }
  return {
    map: sets.map(({ ranks }) => ranks.map((experts) => [...experts].sort((a, b) => a - b))),
    copies: sets.reduce((sum, working) => sum + countNew(working), 0),
    skewBefore,
    skewAfter: skews(),
  };
}
