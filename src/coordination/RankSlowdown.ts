/** How many times the usual time each rank of a group takes, as plans and requests count it. */

/** Slower ranks than this are planned for as this slow: they are left next to nothing either way. */
const MAX_SLOWDOWN = 16;

/** From this pace on a rank gets no requests while others have places. */
const SLOW_RANK_SLOWDOWN = 2;

/** Ranks that requests are better not sent to: every pass of the group lasts as long as the slowest rank's part. */
export function slowRanks(slowdowns: readonly number[]): readonly number[] {
  return slowdowns.flatMap((slowdown, rank) => (slowdown >= SLOW_RANK_SLOWDOWN ? [rank] : []));
}

/** Pace that a rank is planned for. */
export function slowdownOf(slowdowns: readonly number[], rank: number): number {
  return Math.min(MAX_SLOWDOWN, Math.max(1, slowdowns[rank] ?? 1));
}
