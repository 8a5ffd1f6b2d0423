/**
 * Measures how long a group's passes take, and detects that it has stopped running them, from reports of one rank.
 */
import type { RankReport } from '../protocol/index.js';

/** Observed passes of a group. */
export interface PassMonitor {
  /** Pass at which the current measurement started, and when it was reported, ms. */
  readonly measuredFrom: { readonly step: number; readonly at: number } | null;
  /** Latest measured pass time, ms; null if unknown, such as after the group was idle or re-formed. */
  readonly passMs: number | null;
  readonly lastStep: number;
  /** Time of the last report, ms. */
  readonly reportedAt: number;
  /** Time of the last report that showed a new pass or an idle rank, ms. */
  readonly progressAt: number;
  /** Requests that the rank was running in its last report. */
  readonly active: number;
}

/** Minimum duration of a measurement: some four passes. In ms. */
const MIN_MEASUREMENT_MS = 200;

/** Longest gap between two reports across which passes are measured, ms. */
const MAX_REPORT_GAP_MS = 500;

/**
 * Time without a new pass after which a group with running requests is stalled, ms: three of the longest passes.
 */
const STALL_MS = 650;

/** State before any report. */
export const INITIAL_PASS_MONITOR: PassMonitor = {
  measuredFrom: null,
  passMs: null,
  lastStep: -1,
  reportedAt: 0,
  progressAt: 0,
  active: 0,
};

/**
 * Applies a report. A measurement lasts until a pass has begun, and a pass takes at least as long as its
 * measurement has lasted so far: with one slow rank a pass takes longer than {@link MIN_MEASUREMENT_MS}.
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

/** Restarts the measurement after the group has re-formed, since its passes are then counted from the start. */
export function resetMeasurement(state: PassMonitor): PassMonitor {
  return { ...state, measuredFrom: null, passMs: null };
}

/**
 * Whether the group hasn't begun a pass for some time although requests run.
 *
 * If a rank has crashed, the engines wait for it before they report the failure, and requests would still be sent
 * to a group that answers none. Missing passes show it sooner.
 */
export function isStalled({ active, progressAt }: PassMonitor, now: number): boolean {
  return active > 0 && now - progressAt > STALL_MS;
}
