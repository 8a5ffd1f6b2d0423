/**
 * Model of the pass times of a group at a given load: the costs that its engines declare, corrected by observed
 * times. A writer is a request that is generating tokens. A pass gives each writer a few tokens, sent as one event
 * of its stream, so the pass time is the pause between two events. All ranks of a group run each pass together.
 */
import type { EngineCosts } from '../protocol/index.js';

/**
 * Correction without an observation: with balanced maps and typical prompts, passes take a third longer than
 * declared.
 */
export const DEFAULT_PASS_CORRECTION = 1.3;

/** Maximum correction; an observed pass time further above the declared one is considered faulty. */
const MAX_PASS_CORRECTION = 20;

/** Average context of a writer, in tokens: its prompt and half of its answer. */
function averageContext(costs: EngineCosts): number {
  return costs.usualPrompt + costs.usualAnswer / 2;
}

/** Time that each writer adds to a token step of its rank, ms. */
function writerStepMs(costs: EngineCosts): number {
  return costs.writerMs + (costs.contextMsPerK * averageContext(costs)) / 1_000;
}

/** Declared time of a pass with this many writers on each rank, ms. */
export function passTime(costs: EngineCosts, writers: number): number {
  return costs.stepsPerPass * (costs.stepMs + writerStepMs(costs) * writers);
}

/** Ratio of the observed to the declared time of a pass, at least 1; a default without an observation. */
export function passCorrection(
  costs: EngineCosts,
  writers: number,
  observedMs: number | null,
): number {
  if (observedMs === null) {
    return DEFAULT_PASS_CORRECTION;
  }
  return Math.min(MAX_PASS_CORRECTION, Math.max(1, observedMs / passTime(costs, writers)));
}

/**
 * Ratio of the expected to the declared time of a pass if the most loaded rank has `skew` times the mean expert
 * load: all ranks wait for it, set by set. Computed for ranks with all slots in use, where it matters.
 */
export function skewCorrection(costs: EngineCosts, skew: number): number {
  const writersMs = writerStepMs(costs) * costs.slots;
  const skewMs = writersMs * costs.expertShare * Math.max(0, skew - 1);
  return 1 + skewMs / (costs.stepMs + writersMs);
}

/** Largest number of writers on each rank with which a pass takes at most `ms`; may be fractional or negative. */
export function maxWritersFor(costs: EngineCosts, correction: number, ms: number): number {
  return (ms / (correction * costs.stepsPerPass) - costs.stepMs) / writerStepMs(costs);
}

/** Time to generate an answer of this many tokens, ms. */
export function generationTime(costs: EngineCosts, tokens: number, passMs: number): number {
  return Math.ceil(tokens / costs.stepsPerPass) * passMs;
}
