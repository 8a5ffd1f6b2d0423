/**
 * Decides when a new map is planned, and how much a copied expert must gain, depending on how close the group's
 * pass time is to the longest pause.
 */

/** Pass time, as a share of the longest pause, from which it is worth reducing. */
const MIN_PASS_SHARE = 0.5;

/** Pass time, as a share of the longest pause, from which even the minimum gain is worth a copy. */
const FULL_PASS_SHARE = 0.8;

/** Gain that a copy must bring at {@link MIN_PASS_SHARE}, as a share of the mean rank load. */
const MAX_REQUIRED_GAIN = 0.03;

/** Time after a group has re-formed in which maps are planned regardless of its pass time, ms. */
const NEW_GROUP_MS = 1_500;

/** Conditions that determine the gain that a copied expert must bring. */
export interface PlanConditions {
  /** Recent pass time, ms; null if unknown. */
  readonly passMs: number | null;
  /** Longest pause between two events of a stream that is still on time, ms. */
  readonly pauseMs: number;
  /** Whether the group uses the map that it had when it formed. */
  readonly usesInitialMap: boolean;
  /** Time since the group re-formed, ms; Infinity if it never did. */
  readonly formedMsAgo: number;
}

/**
 * Gain that a copied expert must bring now, as a share of the mean rank load; null if the pass time is unknown or
 * short enough. Answers are late only if the pass time comes close to the longest pause, so the closer it is, the
 * less a copy must gain.
 *
 * The pass time is ignored while the group uses its initial map or has just re-formed. The initial map takes no
 * account of demand, and if planning waited for long passes, new traffic would suffer from them before the planned
 * map is in use.
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

/** State at the last plan and now. */
export interface PlanHistory {
  /** Time since the last plan, ms. */
  readonly plannedMsAgo: number;
  /** Time since the group re-formed, ms; Infinity if it never did. */
  readonly formedMsAgo: number;
  /** Number of demand shifts detected up to the last plan, and up to now. */
  readonly shiftsAtPlan: number;
  readonly shifts: number;
}

/**
 * Whether to plan before the next counts arrive: demand has shifted during a map change that was planned for the
 * earlier demand, or the group has re-formed. The caller checks that its map is known.
 */
export function isPlanDue(history: PlanHistory): boolean {
  return history.formedMsAgo < history.plannedMsAgo || history.shifts > history.shiftsAtPlan;
}
