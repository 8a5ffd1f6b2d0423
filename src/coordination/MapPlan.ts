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
  readonly maxNewExperts: number;
}

/** What a change must be worth. */
export interface MapPolicy {
  /** Experts new to one rank over all sets: copying them takes the time until the switch. */
  readonly maxCopiesPerRank: number;
  /** Part of the mean load that each copied expert must take off the most loaded rank; without end for no change. */
  readonly gainPerCopy: number;
}

/** A planned map with the figures that its log line needs. */
export interface PlannedMap {
  readonly map: GroupMap;
  /** Experts that ranks must copy. */
  readonly copies: number;
  /** Largest over mean load, averaged over sets, before and after. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/** Most changes of one set in one plan; each rank may take a few. */
const MAX_CHANGES_PER_SET = 64;

function meanSkew(sets: readonly MapPlanSet[]): number {
  return sets.reduce((sum, { skew }) => sum + skew, 0) / sets.length;
}

/** The most uneven of the sets that can still be made more even. */
function mostSkewed(candidates: ReadonlySet<MapPlanSet>): MapPlanSet | null {
  return [...candidates].reduce<MapPlanSet | null>(
    (worst, set) => (worst === null || set.skew > worst.skew ? set : worst),
    null,
  );
}

/** Changes sets in turn, the most uneven first, until nothing more is worth a copy. */
function balanceSets(
  sets: readonly MapPlanSet[],
  search: MapPlanSearch,
  onCopy: (rank: number) => void,
): void {
  const improvable = new Set(sets);
  for (let changesLeft = MAX_CHANGES_PER_SET * sets.length; changesLeft > 0; changesLeft -= 1) {
    const set = mostSkewed(improvable);
    if (set === null) {
      return;
    }
    const change = search.find(set);
    if (change === null) {
      improvable.delete(set);
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
  currentMap: GroupMap,
  expertLoads: readonly (readonly number[])[],
  shape: MapShape,
  { maxCopiesPerRank, gainPerCopy }: MapPolicy,
  slowdowns: readonly number[] = [],
): PlannedMap {
  const sets = currentMap.map(
    (ranks, set) => new MapPlanSet(ranks, expertLoads[set] ?? [], slowdowns),
  );
  const skewBefore = meanSkew(sets);
  if (gainPerCopy === Infinity) {
    return { map: currentMap, copies: 0, skewBefore, skewAfter: skewBefore };
  }
  const ranks = currentMap[0]?.length ?? 0;
  const plannedCopies = new Uint32Array(ranks);
  const mayCopy = ({ copiesByRank }: MapPlanSet, rank: number): boolean =>
    (copiesByRank[rank] ?? 0) < shape.maxNewExperts &&
    (plannedCopies[rank] ?? 0) < maxCopiesPerRank;
  const limits = { slotsPerRank: shape.slotsPerRank, mayCopy, gainPerCopy };
  balanceSets(sets, new MapPlanSearch(ranks, limits), (rank) => {
    plannedCopies[rank] = (plannedCopies[rank] ?? 0) + 1;
  });
  return {
    map: sets.map((set) => set.expertsByRank.map((experts) => [...experts].sort((a, b) => a - b))),
    copies: sets.reduce((sum, set) => sum + set.countCopies(), 0),
    skewBefore,
    skewAfter: meanSkew(sets),
  };
}
