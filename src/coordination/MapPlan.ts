/**
 * Plans a group's next expert map: a few changes to the map in use that place experts on more ranks, the hottest
 * first. Set by set, a pass takes as long as its most loaded rank, so the plan reduces the sum over sets of the
 * largest load.
 */
import type { GroupMap } from '../protocol/index.js';
import { MapPlanSearch } from './MapPlanSearch.js';
import { MapPlanSet } from './MapPlanSet.js';

/** Limits of a map, and of one change to it. */
export interface MapShape {
  /** Maximum number of experts on a rank, per set. */
  readonly slotsPerRank: number;
  /** Maximum number of experts that one change adds to a rank, per set. */
  readonly maxNewExperts: number;
}

/** Limits on the cost of a change, and the gain that it must bring. */
export interface MapPolicy {
  /** Maximum number of experts added to one rank over all sets: the switch waits until they are copied. */
  readonly maxCopiesPerRank: number;
  /** Share of the mean load that each copied expert must take off the most loaded rank; Infinity for no change. */
  readonly gainPerCopy: number;
}

/** A planned map, with the figures for its log line. */
export interface PlannedMap {
  readonly map: GroupMap;
  /** Number of experts that ranks must copy. */
  readonly copies: number;
  /** Ratio of the largest to the mean rank load, averaged over sets, before and after the change. */
  readonly skewBefore: number;
  readonly skewAfter: number;
}

/** Maximum number of changes in one plan, as an average per set; each rank may take several. */
const MAX_CHANGES_PER_SET = 64;

function meanSkew(sets: readonly MapPlanSet[]): number {
  return sets.reduce((sum, { skew }) => sum + skew, 0) / sets.length;
}

/** The set with the largest skew among those that may still be improved; null for none. */
function mostSkewed(candidates: ReadonlySet<MapPlanSet>): MapPlanSet | null {
  return [...candidates].reduce<MapPlanSet | null>(
    (worst, set) => (worst === null || set.skew > worst.skew ? set : worst),
    null,
  );
}

/** Repeatedly changes the set with the largest skew, until no further change is worth its copies. */
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
 * Plans the next map from each expert's expected load, by set. The set with the largest skew is changed first, so
 * that the copies that a rank may make are used where they shorten the pass most.
 *
 * `slowdowns` holds the time of each rank as a multiple of the usual one. All ranks wait for the slowest, so a
 * rank at half speed with an even share would make the experts' part of each pass twice as long; it gets half the
 * share.
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
