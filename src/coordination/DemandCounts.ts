/**
 * Compact encoding of expert counts, which ranks send to their group's coordinator.
 *
 * A reading carries one byte per expert, the choices since the previous reading, and comes only from as many ranks
 * as a byte budget allows. Full running totals of 72 ranks with 12 sets of 144 experts (1,700 totals a rank, four
 * times a second) take 1.5 MB/s, while the coordinator's link carries 0.7 MB/s: its lease renewals queue behind
 * them, the lease expires before a map change completes, and the group never leaves its initial map.
 */
import type { ExpertCounts } from './DemandEstimate.js';

/** Choices since the previous reading, by set and expert: the number of choices is the byte times `unit`. */
export interface PackedCounts {
  readonly unit: number;
  readonly sets: readonly Uint8Array[];
}

const MAX_PACKED_COUNT = 255;

/**
 * Bytes of counts that a coordinator reads per round. Four rounds a second take 0.13 MB/s, a fifth of the slowest
 * declared link; at 1.7 kB a rank they cover 18 of 72 ranks, with some 100 requests in progress.
 */
const MAX_ROUND_BYTES = 32_000;

/**
 * Packs the choices between two readings; null without an earlier reading, or if a count decreased, as after a
 * restart of the rank.
 */
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

/** Adds packed increments to running totals; null stands for totals of 0. */
export function addIncrements(
  totals: ExpertCounts | null,
  { unit, sets }: PackedCounts,
): ExpertCounts {
  return sets.map((set, s) => {
    // Added by index: reading the counts through an iterator takes twice as long as the additions.
    const sums = totals?.[s]?.slice() ?? new Array<number>(set.length).fill(0);
    set.forEach((packedCount, e) => {
      sums[e] = (sums[e] ?? 0) + packedCount * unit;
    });
    return sums;
  });
}

/**
 * Selects the ranks whose counts are read, evenly spaced. Requests are spread evenly over all ranks, so that a
 * part of the ranks represents the demand. The selection is always the same, because the counts of a round must
 * cover the same time.
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
