/**
 * Estimates the load that each expert of a group will have, from how often the ranks' requests chose it. Demand
 * shifts abruptly and by a large amount, so counts from before a shift must not affect the estimate.
 */

/** Number of times that each expert was chosen, by set and expert. */
export type ExpertCounts = readonly (readonly number[])[];

/** Choices in one interval, summed over all ranks. */
interface Interval {
  readonly counts: ExpertCounts;
  readonly total: number;
}

/** Recent demand of a group. */
export interface DemandState {
  /** Newest last; all of them are from after the latest shift. */
  readonly intervals: readonly Interval[];
  /** Latest cumulative counts, by rank; null before the first reading of a rank. */
  readonly lastTotals: readonly (ExpertCounts | null)[];
  /** Number of shifts detected. */
  readonly shifts: number;
  /** Moving average of the share of choices that changes from one interval to the next; null if unknown. */
  readonly averageDrift: number | null;
}

/** Intervals kept: with four a second, about one and a half seconds of demand. */
const MAX_INTERVALS = 6;

/** Weight of an interval relative to the next newer one. */
const DECAY = 0.8;

/**
 * Share of the choices whose change between two intervals always counts as a shift, whatever the average drift. In
 * a small group, requests that start and finish change 0.1 to 0.2 in a quarter of a second.
 */
const MAX_SHIFT_THRESHOLD = 0.28;

/** A smaller change never counts as a shift. */
const MIN_SHIFT_THRESHOLD = 0.1;

/** A change counts as a shift above this multiple of the average drift. */
const SHIFT_FACTOR = 2.5;

/** Weight of the newest drift in the moving average. */
const DRIFT_WEIGHT = 0.2;

/** Intervals with fewer choices are ignored. */
const MIN_TOTAL = 2_000;

/** State before any reading. */
export function initDemand(ranks: number): DemandState {
  return {
    intervals: [],
    lastTotals: Array.from({ length: ranks }, () => null),
    shifts: 0,
    averageDrift: null,
  };
}

function sumCounts(counts: ExpertCounts): number {
  return counts.reduce((sum, set) => sum + set.reduce((part, count) => part + count, 0), 0);
}

/**
 * Total variation distance between the shares of two intervals, averaged over sets: 0 for equal, 1 for disjoint
 * demand.
 */
function totalVariation(a: Interval, b: Interval): number {
  const perSet = a.counts.map((set, i) => {
    const other = b.counts[i] ?? [];
    const totalA = Math.max(
      1,
      set.reduce((sum, count) => sum + count, 0),
    );
    const totalB = Math.max(
      1,
      other.reduce((sum, count) => sum + count, 0),
    );
    return (
      set.reduce((sum, count, e) => sum + Math.abs(count / totalA - (other[e] ?? 0) / totalB), 0) /
      2
    );
  });
  return perSet.reduce((sum, part) => sum + part, 0) / Math.max(1, perSet.length);
}

/**
 * Total variation distance, reduced if one interval has less than half of the other's choices: it is then from
 * fewer ranks, and the requests of a few ranks vary more. Up to half of the choices may be missing for other
 * reasons, such as longer passes.
 */
function driftBetween(before: Interval, after: Interval): number {
  const larger = Math.max(before.total, after.total);
  const smaller = Math.min(before.total, after.total);
  return totalVariation(before, after) * Math.sqrt(Math.min(1, (2 * smaller) / larger));
}

/**
 * Whether the demand of an interval has shifted: its change is far above the average drift. In a large group, a
 * shift of two thirds of the demand changes 0.2 of the choices at once, and requests that start and finish change
 * much less. A shift in the middle of an interval appears as two changes of half its size, so the interval before
 * the previous one is compared too.
 */
function isShift({ intervals, averageDrift }: DemandState, interval: Interval): boolean {
  const expectedDrift = averageDrift ?? MAX_SHIFT_THRESHOLD;
  const threshold = Math.min(
    MAX_SHIFT_THRESHOLD,
    Math.max(MIN_SHIFT_THRESHOLD, SHIFT_FACTOR * expectedDrift),
  );
  const newest = intervals.at(-1);
  return (
    (newest !== undefined && totalVariation(newest, interval) > MAX_SHIFT_THRESHOLD) ||
    intervals.slice(-2).some((before) => driftBetween(before, interval) > threshold)
  );
}

function addInterval(state: DemandState, interval: Interval): DemandState {
  const { intervals, shifts, averageDrift } = state;
  if (isShift(state, interval)) {
    return { ...state, intervals: [interval], shifts: shifts + 1 };
  }
  const newest = intervals.at(-1);
  const drift = newest === undefined ? averageDrift : driftBetween(newest, interval);
  const nextAverage =
    drift === null ? null : (averageDrift ?? drift) * (1 - DRIFT_WEIGHT) + drift * DRIFT_WEIGHT;
  const kept = intervals.slice(1 - MAX_INTERVALS);
  return { ...state, intervals: [...kept, interval], averageDrift: nextAverage };
}

/**
 * Adds a reading of the ranks' cumulative counts, null for a rank that didn't answer. Counts that decreased are
 * from a rank that has restarted, and only set its new baseline.
 */
export function recordCounts(
  state: DemandState,
  counts: readonly (ExpertCounts | null)[],
): DemandState {
  const deltas = counts.flatMap((current, rank) => {
    const previous = state.lastTotals[rank] ?? null;
    if (current === null || previous === null) {
      return [];
    }
    const delta = current.map((set, s) => set.map((count, e) => count - (previous[s]?.[e] ?? 0)));
    return delta.some((set) => set.some((count) => count < 0)) ? [] : [delta];
  });
  const lastTotals = counts.map((now, rank) => now ?? state.lastTotals[rank] ?? null);
  const [first] = deltas;
  if (first === undefined) {
    return { ...state, lastTotals };
  }
  const sum = first.map((set, s) =>
    set.map((_count, e) => deltas.reduce((total, delta) => total + (delta[s]?.[e] ?? 0), 0)),
  );
  const interval: Interval = { counts: sum, total: sumCounts(sum) };
  if (interval.total < MIN_TOTAL) {
    return { ...state, lastTotals };
  }
  return { ...addInterval(state, interval), lastTotals };
}

/** Expected relative load of each expert, by set; null before the first interval. */
export function expectedLoad(state: DemandState): readonly (readonly number[])[] | null {
  const [first] = state.intervals;
  if (first === undefined) {
    return null;
  }
  const sums = first.counts.map((set) => set.map(() => 0));
  state.intervals.forEach(({ counts, total }, i) => {
    const weight = DECAY ** (state.intervals.length - 1 - i) / total;
    counts.forEach((set, s) => {
      const sum = sums[s] ?? [];
      set.forEach((count, e) => {
        sum[e] = (sum[e] ?? 0) + count * weight;
      });
    });
  });
  return sums;
}

/** Expected load as the other processes of a group store it: one byte per expert, by set. */
export type PackedDemand = readonly Uint8Array[];

/** Packed share of the hottest expert of a set. */
const MAX_PACKED_SHARE = 255;

/** Packs expected shares, with a resolution of 1/255 of the hottest expert's share. */
export function packDemand(shares: readonly (readonly number[])[]): PackedDemand {
  return shares.map((set) => {
    const largest = Math.max(...set, Number.MIN_VALUE);
    return Uint8Array.from(set, (weight) => Math.round((weight / largest) * MAX_PACKED_SHARE));
  });
}

/**
 * Adopts the demand that a predecessor expected, as one interval with the smallest total that isn't ignored.
 *
 * If a coordinator is lost together with its group, its successor has no counts yet when the group opens. The
 * group would start with its initial map, whose most loaded rank has 3.7 times the mean load, and use a balanced
 * one only 1.2 s later. Demand outlasts the group, so the successor plans from the adopted demand at the opening;
 * its own first counts outweigh it, or show that demand has shifted.
 */
export function adoptDemand(state: DemandState, packed: PackedDemand): DemandState {
  const sums = packed.map((set) => set.reduce((sum, share) => sum + share, 0));
  const perSet = MIN_TOTAL / Math.max(1, packed.length);
  const counts = packed.map((set, s) =>
    Array.from(set, (share) => (share / Math.max(1, sums[s] ?? 1)) * perSet),
  );
  return { ...state, intervals: [{ counts, total: MIN_TOTAL }] };
}
