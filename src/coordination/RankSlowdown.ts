/**
 * Slowdown of each rank of a group: its time as a multiple of the usual one. Used by map plans and for choosing
 * the ranks that get requests.
 */

/** Maximum slowdown in plans: a rank that is this slow already gets almost no load. */
const MAX_SLOWDOWN = 16;

/** Slowdown from which a rank gets no requests while other ranks have free slots. */
const SLOW_RANK_SLOWDOWN = 2;

/** Ranks that requests should not be sent to: every pass of the group takes as long as the slowest rank's part. */
export function slowRanks(slowdowns: readonly number[]): readonly number[] {
  return slowdowns.flatMap((slowdown, rank) => (slowdown >= SLOW_RANK_SLOWDOWN ? [rank] : []));
}

/** Slowdown of a rank in plans, 1 to {@link MAX_SLOWDOWN}. */
export function slowdownOf(slowdowns: readonly number[], rank: number): number {
  return Math.min(MAX_SLOWDOWN, Math.max(1, slowdowns[rank] ?? 1));
}
