/** Baselines for placement: a static map, and a greedy solution from scratch. */
import type { PlacementMap } from '../src/coordination/index.js';

/** Places experts in order; spare slots hold copies of the experts that follow. */
export function staticMap(ranks: number, experts: number, slots: number): PlacementMap {
  const expertsPerRank = experts / ranks;
  return Array.from({ length: ranks }, (_rank, rank) =>
    Array.from({ length: slots }, (_slot, slot) => (rank * expertsPerRank + slot) % experts),
  );
}

/** Replicates the expert with the highest load per copy while slots are free, then places copies by descending load. */
export function solveGreedily(
  load: readonly number[],
  ranks: number,
  slots: number,
  speeds: readonly number[],
): PlacementMap {
  const replicas = load.map(() => 1);
  const share = (expert: number): number => (load[expert] ?? 0) / (replicas[expert] ?? 1);
  Array.from({ length: ranks * slots - load.length }).forEach(() => {
    const hottest = load.reduce(
      (best, _load, expert) =>
        (replicas[expert] ?? 0) < ranks && share(expert) > share(best) ? expert : best,
      0,
    );
    replicas[hottest] = (replicas[hottest] ?? 0) + 1;
  });
  const items = load
    .flatMap((_load, expert) => Array.from({ length: replicas[expert] ?? 1 }, () => expert))
    .sort((a, b) => share(b) - share(a));
  const rows: number[][] = Array.from({ length: ranks }, () => []);
  const loads = rows.map(() => 0);
  const place = (expert: number): void => {
    const fits = (rank: number, allowDuplicate: boolean): boolean =>
      (rows[rank]?.length ?? 0) < slots && (allowDuplicate || !rows[rank]?.includes(expert));
    const leastLoaded = (allowDuplicate: boolean): number =>
      loads.reduce(
        (best, at, rank) =>
          fits(rank, allowDuplicate) && (best < 0 || at < (loads[best] ?? 0)) ? rank : best,
        -1,
      );
    const chosen = leastLoaded(false);
    const rank = chosen < 0 ? leastLoaded(true) : chosen;
    rows[rank]?.push(expert);
    loads[rank] = (loads[rank] ?? 0) + share(expert) / (speeds[rank] ?? 1);
  };
  items.forEach(place);
  return rows;
}

/** Number of experts that must be copied to change from one map to another. */
export function countMoves(from: PlacementMap, to: PlacementMap): number {
  return to.reduce(
    (sum, row, rank) => sum + row.filter((expert) => !from[rank]?.includes(expert)).length,
    0,
  );
}
