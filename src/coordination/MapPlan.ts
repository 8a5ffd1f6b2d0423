/**
 * Plans a group's next expert map: few changes from the map in use, the hottest experts first on more
 * ranks. A pass lasts, set by set, as long as its most loaded rank, so what counts is the sum over
 * sets of the largest load.
 */
import type { GroupMap } from '../protocol/index.js';
import { MapPlanSearch } from './MapPlanSearch.js';
import { MapPlanSet } from './MapPlanSet.js';

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
  /** Part of the mean load that each copied expert must take off the most loaded rank; without end for no change. */
  readonly gainPerCopy: number;
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

/** Most changes of one set in one plan; each rank may take a few. */
const MOST_CHANGES = 64;

function meanSkew(sets: readonly MapPlanSet[]): number {
  return sets.reduce((sum, { skew }) => sum + skew, 0) / sets.length;
}

/** The most uneven of the sets that can still be made more even. */
function mostUneven(open: ReadonlySet<MapPlanSet>): MapPlanSet | null {
  return [...open].reduce<MapPlanSet | null>(
    (worst, set) => (worst === null || set.skew > worst.skew ? set : worst),
    null,
  );
}

/** Changes sets in turn, the most uneven first, until nothing more is worth a copy. */
function evenOut(
  sets: readonly MapPlanSet[],
  search: MapPlanSearch,
  onCopy: (rank: number) => void,
): void {
  const open = new Set(sets);
  for (let left = MOST_CHANGES * sets.length; left > 0; left -= 1) {
    const set = mostUneven(open);
    if (set === null) {
      return;
    }
    const change = search.find(set);
    if (change === null) {
      open.delete(set);
    } else {
      set.apply(change).forEach(onCopy);
    }
  }
}

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
  { mostNewPerRank, gainPerCopy }: MapPolicy,
  paces: readonly number[] = [],
): MapPlanned {
  const sets = inUse.map((ranks, set) => new MapPlanSet(ranks, weights[set] ?? [], paces));
  const skewBefore = meanSkew(sets);
  if (gainPerCopy === Infinity) {
    return { map: inUse, copies: 0, skewBefore, skewAfter: skewBefore };
  }
  const ranks = inUse[0]?.length ?? 0;
  const planned = new Uint32Array(ranks);
  const hasRoom = ({ added }: MapPlanSet, rank: number): boolean =>
    (added[rank] ?? 0) < shape.mostNew && (planned[rank] ?? 0) < mostNewPerRank;
  const room = { slotsPerRank: shape.slotsPerRank, hasRoom, gainPerCopy };
  evenOut(sets, new MapPlanSearch(ranks, room), (rank) => {
    planned[rank] = (planned[rank] ?? 0) + 1;
  });
  return {
    map: sets.map((set) => set.ranks.map((experts) => [...experts].sort((a, b) => a - b))),
    copies: sets.reduce((sum, set) => sum + set.countNew(), 0),
    skewBefore,
    skewAfter: meanSkew(sets),
  };
}
