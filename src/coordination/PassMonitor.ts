/** How long a group's passes take, and whether it has stopped making them, from reports of one rank. */
import type { RankReport } from '../protocol/index.js';

/** What was seen of a group's passes. */
export interface PassMonitor {
  /** Pass from which the present measurement counts, and when it was seen, ms. */
  readonly measuredFrom: { readonly step: number; readonly at: number } | null;
  /** Time of a pass lately, ms; null where the group was idle or began anew. */
  readonly passMs: number | null;
  readonly lastStep: number;
  /** When the last report came, ms. */
  readonly reportedAt: number;
  /** When a pass was last seen to have begun, or the rank to be idle, ms. */
  readonly progressAt: number;
  /** Requests that the rank ran in its last report. */
  readonly active: number;
}

/** A measurement takes this long at least: some four passes. In ms. */
const MIN_MEASUREMENT_MS = 200;

/** Across a pause between reports of this length nothing is known of passes, ms. */
const MAX_REPORT_GAP_MS = 500;

/** Without a new pass for this long a group with work is stalled, ms: three of the longest passes. */
const STALL_MS = 650;

/** Nothing seen. */
export const INITIAL_PASS_MONITOR: PassMonitor = {
  measuredFrom: null,
  passMs: null,
  lastStep: -1,
  reportedAt: 0,
  progressAt: 0,
  active: 0,
};

/**
 * Takes a report in. A measurement lasts until a pass has begun, and the pass takes at least as long as it has lasted so
 * far: with one slow rank a pass outlasts {@link MIN_MEASUREMENT_MS}.
 */
export function observeReport(
  state: PassMonitor,
  { step, active }: RankReport,
  now: number,
): PassMonitor {
  const hasProgressed = active === 0 || step !== state.lastStep;
  const progressAt = hasProgressed ? now : state.progressAt;
  const observed = { ...state, active, lastStep: step, reportedAt: now, progressAt };
  const { measuredFrom } = state;
  if (
    measuredFrom === null ||
    step < measuredFrom.step ||
    now - state.reportedAt > MAX_REPORT_GAP_MS
  ) {
    return { ...observed, measuredFrom: { step, at: now }, passMs: null };
  }
  const elapsedMs = now - measuredFrom.at;
  if (elapsedMs < MIN_MEASUREMENT_MS) {
    return observed;
  }
  const passes = step - measuredFrom.step;
  if (passes > 0) {
    return { ...observed, measuredFrom: { step, at: now }, passMs: elapsedMs / passes };
  }
  return active === 0
    ? { ...observed, measuredFrom: { step, at: now }, passMs: null }
    : { ...observed, passMs: Math.max(state.passMs ?? 0, elapsedMs) };
}

/** The group has formed anew: its passes are counted from the start. */
export function resetMeasurement(state: PassMonitor): PassMonitor {
  return { ...state, measuredFrom: null, passMs: null };
}

/**
 * Whether the group has begun no pass for a while though requests run.
 *
 * Failure: a rank is dead, and the engines wait for it before they say so. Symptom: requests go on
 * being sent into a group that answers none. Enough: passes that no longer begin show it at once.
 */
export function isStalled({ active, progressAt }: PassMonitor, now: number): boolean {
  return active > 0 && now - progressAt > STALL_MS;
}
