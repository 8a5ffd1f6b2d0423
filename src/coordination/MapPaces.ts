/** How many times the usual time each rank of a group takes, as plans and requests count it. */

/** Slower ranks than this are planned for as this slow: they are left next to nothing either way. */
const SLOWEST_PACE = 16;

/** From this pace on a rank gets no requests while others have places. */
const SLOW_PACE = 2;

/** Ranks that requests are better not sent to: every pass of the group lasts as long as the slowest rank's part. */
export function slowRanks(paces: readonly number[]): readonly number[] {
  return paces.flatMap((pace, rank) => (pace >= SLOW_PACE ? [rank] : []));
}

/** Pace that a rank is planned for. */
export function paceOf(paces: readonly number[], rank: number): number {
  return Math.min(SLOWEST_PACE, Math.max(1, paces[rank] ?? 1));
}
