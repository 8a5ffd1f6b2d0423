/**
 * How often a rank's requests chose each expert, as it travels to the group's coordinator.
 *
 * Failure: a group of 72 ranks with 12 sets of 144 experts sends 1,700 running totals a rank, four times a
 * second: 1.5 MB/s to a host whose link takes 0.7. Symptom: the coordinator's renewals wait behind them, its
 * lease runs out before a change of map is through, and the group stays on its first map for good. Enough:
 * a byte an expert, what was chosen since the last reading, from as many ranks as a budget allows.
 */
import type { ExpertCounts } from './DemandEstimate.js';

/** Choices since the last reading: `unit` for each step of a byte, by set and expert. */
export interface PackedCounts {
  readonly unit: number;
  readonly sets: readonly Uint8Array[];
}

const MAX_PACKED_COUNT = 255;

/**
 * Bytes of counts that a coordinator takes in a round. Four rounds a second are 0.13 MB/s, a fifth of the
 * smallest link declared so far; with 1.7 kB a rank it hears 18 of 72 ranks, some 100 requests in progress.
 */
const MAX_ROUND_BYTES = 32_000;

/** What was chosen between two readings; null where there is no earlier one, or the rank began anew. */
export function packIncrements(
  previous: ExpertCounts | null,
  current: ExpertCounts,
): PackedCounts | null {
  if (previous === null) {
    return null;
  }
  const increments = current.map((set, s) =>
    set.map((count, e) => count - (previous[s]?.[e] ?? 0)),
  );
  if (increments.some((set) => set.some((count) => count < 0))) {
    return null;
  }
  const largest = Math.max(0, ...increments.map((set) => Math.max(0, ...set)));
  const unit = Math.max(1, largest / MAX_PACKED_COUNT);
  return {
    unit,
    sets: increments.map((set) => Uint8Array.from(set, (count) => Math.round(count / unit))),
  };
}

/** Running totals with what was chosen since. */
export function addIncrements(
  totals: ExpertCounts | null,
  { unit, sets }: PackedCounts,
): ExpertCounts {
  return sets.map((set, s) => {
    // Filled by index: taken one by one from an iterator, the counts of a round took twice as long as its sums.
    const sums = totals?.[s]?.slice() ?? new Array<number>(set.length).fill(0);
    set.forEach((packedCount, e) => {
      sums[e] = (sums[e] ?? 0) + packedCount * unit;
    });
    return sums;
  });
}

/**
 * Ranks whose counts are read, evenly spread: requests come to all ranks alike, so that a part of them
 * tells the demand. Always the same ranks, for counts of a round must be of the same time.
 */
export function sampledRanks(ranks: number, totalExperts: number): ReadonlySet<number> {
  const sampleSize = Math.max(
    1,
    Math.min(ranks, Math.floor(MAX_ROUND_BYTES / Math.max(1, totalExperts))),
  );
  return new Set(
    Array.from({ length: sampleSize }, (_item, i) => Math.floor((i * ranks) / sampleSize)),
  );
}
