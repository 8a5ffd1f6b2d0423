/** What a copied expert must gain, by how near the group's passes come to the longest pause. */

/** Part of the longest pause from which on a pass is worth making shorter. */
const MIN_PASS_SHARE = 0.5;

/** Part of the longest pause from which on shorter passes are worth whatever they cost. */
const FULL_PASS_SHARE = 0.8;

/** Gain a copy must bring where passes are only just worth making shorter. */
const MAX_REQUIRED_GAIN = 0.03;

/** Time after a group has formed anew in which it is planned for whatever its passes take, ms. */
const NEW_GROUP_MS = 1_500;

/** What tells how much a copied expert must gain. */
export interface PlanConditions {
  /** Time of a pass lately; null where none is known. */
  readonly passMs: number | null;
  /** Longest pause between two events of a stream that is on time, ms. */
  readonly pauseMs: number;
  /** Whether the group uses the map that it has when it forms. */
  readonly usesInitialMap: boolean;
  /** Time since the group formed anew, ms; without end where it never did. */
  readonly formedMsAgo: number;
}

/**
 * What a copied expert must gain now; null where passes are short enough as they are. Answers are late only where a pass
 * comes near the longest pause, so the nearer it comes, the less a copy must gain.
 *
 * A group with its first map is not asked for its passes: that map takes no account of demand, and traffic that has
 * just begun makes its passes long before a map that is planned then is in use.
 */
export function requiredGain(conditions: PlanConditions, minGain: number): number | null {
  const { passMs, pauseMs, usesInitialMap, formedMsAgo } = conditions;
  if (usesInitialMap || formedMsAgo < NEW_GROUP_MS) {
    return minGain;
  }
  const share = (passMs ?? 0) / pauseMs;
  if (share < MIN_PASS_SHARE) {
    return null;
  }
  const slack = Math.max(0, (FULL_PASS_SHARE - share) / (FULL_PASS_SHARE - MIN_PASS_SHARE));
  return minGain + (MAX_REQUIRED_GAIN - minGain) * Math.min(1, slack);
}

/** What was known when a map was last planned, and is now. */
export interface PlanHistory {
  /** Time since the last plan, ms. */
  readonly plannedMsAgo: number;
  /** Time since the group formed anew, ms; without end where it never did. */
  readonly formedMsAgo: number;
  /** Shifts of demand seen by then, and by now. */
  readonly shiftsAtPlan: number;
  readonly shifts: number;
}

/**
 * Whether a plan is due before the next counts are in: demand has shifted while a change of map was under way that was
 * planned for what came before, or the group has formed anew and its map is known.
 */
export function isPlanDue(history: PlanHistory): boolean {
  return history.formedMsAgo < history.plannedMsAgo || history.shifts > history.shiftsAtPlan;
}
