/**
 * Estimate of the load that each expert of a group will have, from how often the ranks' requests chose
 * it. Demand shifts at once and by much, so what came before a shift must not weigh on it.
 */

/** Choices by set and expert. */
export type ExpertCounts = readonly (readonly number[])[];

/** Choices of one interval, all ranks together. */
interface Interval {
  readonly counts: ExpertCounts;
  readonly total: number;
}

/** What was seen lately. */
export interface DemandState {
  /** Newest last; all of them are from after the last shift. */
  readonly intervals: readonly Interval[];
  /** Cumulative counts last read, by rank; null where there is none to compare with. */
  readonly lastTotals: readonly (ExpertCounts | null)[];
  /** Shifts seen. */
  readonly shifts: number;
  /** Part of the choices that usually moves from one interval to the next; null where it isn't known. */
  readonly averageDrift: number | null;
}

/** Intervals kept: with four a second these are about one and a half seconds of demand. */
const MAX_INTERVALS = 6;

/** Weight of an interval relative to the next newer one. */
const DECAY = 0.8;

/**
 * Part of the choices that must have moved between two intervals to be taken for a shift, whatever is usual.
 * In a small group requests that come and go move 0.1 to 0.2 in a quarter of a second.
 */
const MAX_SHIFT_THRESHOLD = 0.28;

/** No less than this is taken for a shift. */
const MIN_SHIFT_THRESHOLD = 0.1;

/** Times the usual move that a shift is. */
const SHIFT_FACTOR = 2.5;

/** Weight of the newest move in the usual one. */
const DRIFT_WEIGHT = 0.2;

/** An interval with fewer choices says nothing. */
const MIN_TOTAL = 2_000;

/** Nothing seen. */
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

/** Half of the summed differences of shares, over all sets: 0 for equal, 1 for disjoint demand. */
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
 * What moved between two intervals, as if both were of as many ranks: the requests of a few spread wider. Up to half
 * of the choices may be lacking for other reasons, such as longer passes.
 */
function driftBetween(before: Interval, after: Interval): number {
  const larger = Math.max(before.total, after.total);
  const smaller = Math.min(before.total, after.total);
  return totalVariation(before, after) * Math.sqrt(Math.min(1, (2 * smaller) / larger));
}

/**
 * Whether an interval's demand is another than before: what moved is far beyond the usual. In a large group a shift of
 * two thirds of the demand moves 0.2 of the choices at once, and requests that come and go much less. One amid an
 * interval shows by half in each of two, so that two intervals back counts too.
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
 * Takes the cumulative counts of the ranks, null for one that didn't answer. Counts that went back
 * are those of a rank that has restarted, and only set a new start.
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

/** Expected share of each expert's load, by set; null before anything was seen. */
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

/** Expected load as other processes of a group keep it: by set, a byte an expert. */
export type PackedDemand = readonly Uint8Array[];

/** Largest packed share; the hottest expert of a set has it. */
const MAX_PACKED_SHARE = 255;

/** Packs expected shares; one expert in 255 of the hottest is the finest difference kept. */
export function packDemand(weights: readonly (readonly number[])[]): PackedDemand {
  return weights.map((set) => {
    const largest = Math.max(...set, Number.MIN_VALUE);
    return Uint8Array.from(set, (weight) => Math.round((weight / largest) * MAX_PACKED_SHARE));
  });
}

/**
 * Takes over what a predecessor expected, as one interval that weighs as little as any that counts.
 *
 * Failure: a coordinator is lost with its group, and its successor has seen no requests yet. Symptom: the
 * group opens with its first map, whose largest rank has 3.7 times the mean, and 1.2 s go until an even one is
 * in use. Enough: demand outlasts the group, so the successor plans from it at the opening; the first counts
 * of its own outweigh it, or show that it has shifted.
 */
export function adoptDemand(state: DemandState, packed: PackedDemand): DemandState {
  const sums = packed.map((set) => set.reduce((sum, share) => sum + share, 0));
  const perSet = MIN_TOTAL / Math.max(1, packed.length);
  const counts = packed.map((set, s) =>
    Array.from(set, (share) => (share / Math.max(1, sums[s] ?? 1)) * perSet),
  );
  return { ...state, intervals: [{ counts, total: MIN_TOTAL }] };
}
