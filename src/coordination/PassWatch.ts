/** How long a group's passes take, and whether it has stopped making them, from reports of one rank. */
import type { RankReport } from '../protocol/index.js';

/** What was seen of a group's passes. */
export interface PassWatchState {
  /** Pass from which the present measurement counts, and when it was seen, ms. */
  readonly from: { readonly step: number; readonly at: number } | null;
  /** Time of a pass lately, ms; null where the group was idle or began anew. */
  readonly passMs: number | null;
  readonly lastStep: number;
  /** When the last report came, ms. */
  readonly seenAt: number;
  /** When a pass was last seen to have begun, or the rank to be idle, ms. */
  readonly steppedAt: number;
  /** Requests that the rank ran in its last report. */
  readonly active: number;
}

/** A measurement takes this long at least: some four passes. In ms. */
const MEASURE_MS = 200;

/** Across a pause between reports of this length nothing is known of passes, ms. */
const OUTDATED_MS = 500;

/** Without a new pass for this long a group with work is stalled, ms: three of the longest passes. */
const STALL_MS = 650;

/** Nothing seen. */
export const NO_PASSES: PassWatchState = {
  from: null,
  passMs: null,
  lastStep: -1,
  seenAt: 0,
  steppedAt: 0,
  active: 0,
};

/**
 * Takes a report in. A measurement lasts until a pass has begun, and the pass takes at least as long as it has lasted so
 * far: with one slow rank a pass outlasts {@link MEASURE_MS}.
 */
export function watchPass(
  state: PassWatchState,
  { step, active }: RankReport,
  now: number,
): PassWatchState {
  const stepped = active === 0 || step !== state.lastStep;
  const steppedAt = stepped ? now : state.steppedAt;
  const seen = { ...state, active, lastStep: step, seenAt: now, steppedAt };
  const { from } = state;
  if (from === null || step < from.step || now - state.seenAt > OUTDATED_MS) {
    return { ...seen, from: { step, at: now }, passMs: null };
  }
  const forMs = now - from.at;
  if (forMs < MEASURE_MS) {
    return seen;
  }
  const passes = step - from.step;
  if (passes > 0) {
    return { ...seen, from: { step, at: now }, passMs: forMs / passes };
  }
  return active === 0
    ? { ...seen, from: { step, at: now }, passMs: null }
    : { ...seen, passMs: Math.max(state.passMs ?? 0, forMs) };
}

/** The group has formed anew: its passes are counted from the start. */
export function restartPasses(state: PassWatchState): PassWatchState {
  return { ...state, from: null, passMs: null };
}

/**
 * Whether the group has begun no pass for a while though requests run.
 *
 * Failure: a rank is dead, and the engines wait for it before they say so. Symptom: requests go on
 * being sent into a group that answers none. Enough: passes that no longer begin show it at once.
 */
export function isStalled({ active, steppedAt }: PassWatchState, now: number): boolean {
  return active > 0 && now - steppedAt > STALL_MS;
}
