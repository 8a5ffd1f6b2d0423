/** Difference between two expert maps: a change moves a few experts of a map that may have thousands. */
import type { GroupMap } from '../protocol/index.js';

/** Experts of one rank in one set. */
export interface MapRow {
  readonly set: number;
  readonly rank: number;
  readonly experts: readonly number[];
}

/** Rows of `after` that differ from `before`; both maps have the same shape. */
export function diffMap(before: GroupMap, after: GroupMap): readonly MapRow[] {
  return after.flatMap((ranks, set) =>
    ranks.flatMap((experts, rank) => {
      const previous = before[set]?.[rank] ?? [];
      const same =
        previous.length === experts.length && previous.every((id, i) => id === experts[i]);
      return same ? [] : [{ set, rank, experts }];
    }),
  );
}

/** Returns `before` with these rows replaced. */
export function applyMapDiff(before: GroupMap, rows: readonly MapRow[]): GroupMap {
  const next = before.map((ranks) => [...ranks]);
  rows.forEach(({ set, rank, experts }) => {
    const ranks = next[set];
    if (ranks !== undefined) {
      ranks[rank] = experts;
    }
  });
  return next;
}
