/**
 * How long the passes of a group take at a given load, by the costs that its engines declare, corrected
 * by what was observed. A pass gives each writer a few tokens, one event of its stream, so the pass is
 * the pause between two events; all ranks of a group move together.
 */
import type { EngineCosts } from '../protocol/index.js';

/** Correction while nothing was observed: even maps and usual prompts make passes a third longer. */
export const DEFAULT_PASS_CORRECTION = 1.3;

/** Most that an observed pass may differ from the declared costs: beyond it the figure is a fault. */
const MAX_PASS_CORRECTION = 20;

/** Tokens of context that a writer has, on average half through its answer. */
function averageContext(costs: EngineCosts): number {
  return costs.usualPrompt + costs.usualAnswer / 2;
}

/** ms that each writer adds to a token step at its rank. */
function writerStepMs(costs: EngineCosts): number {
  return costs.writerMs + (costs.contextMsPerK * averageContext(costs)) / 1_000;
}

/** Time of a pass with so many writers on each rank, by the declared costs, ms. */
export function passTime(costs: EngineCosts, writers: number): number {
  return costs.stepsPerPass * (costs.stepMs + writerStepMs(costs) * writers);
}

/** Observed over declared time of a pass. */
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
 * Expected over declared time of a pass when one rank has so many times the mean of the experts' work: all
 * ranks wait for it, set by set. Worked out for ranks full of writers, where it matters.
 */
export function skewCorrection(costs: EngineCosts, skew: number): number {
  const writersMs = writerStepMs(costs) * costs.slots;
  const skewMs = writersMs * costs.expertShare * Math.max(0, skew - 1);
  return 1 + skewMs / (costs.stepMs + writersMs);
}

/** Writers on each rank that keep a pass under a time; may be a fraction, and below 0. */
export function maxWritersFor(costs: EngineCosts, correction: number, ms: number): number {
  return (ms / (correction * costs.stepsPerPass) - costs.stepMs) / writerStepMs(costs);
}

/** Time that an answer of so many tokens takes to write, ms. */
export function generationTime(costs: EngineCosts, tokens: number, passMs: number): number {
  return Math.ceil(tokens / costs.stepsPerPass) * passMs;
}
