/**
 * How long the passes of a group take at a given load, by the costs that its engines declare, corrected
 * by what was observed. A pass gives each writer a few tokens, one event of its stream, so the pass is
 * the pause between two events; all ranks of a group move together.
 */
import type { EngineCosts } from '../protocol/index.js';

/** Correction while nothing was observed: even maps and usual prompts make passes a third longer. */
export const USUAL_CORRECTION = 1.3;

/** Most that an observed pass may differ from the declared costs: beyond it the figure is a fault. */
const MOST_CORRECTION = 20;

/** Tokens of context that a writer has, on average half through its answer. */
function contextOf(costs: EngineCosts): number {
  return costs.usualPrompt + costs.usualAnswer / 2;
}

/** ms that each writer adds to a token step at its rank. */
function writerCost(costs: EngineCosts): number {
  return costs.writerMs + (costs.contextMsPerK * contextOf(costs)) / 1_000;
}

/** Time of a pass with so many writers on each rank, by the declared costs, ms. */
export function passTime(costs: EngineCosts, writers: number): number {
  return costs.stepsPerPass * (costs.stepMs + writerCost(costs) * writers);
}

/** Observed over declared time of a pass. */
export function passCorrection(
  costs: EngineCosts,
  writers: number,
  observedMs: number | null,
): number {
  if (observedMs === null) {
    return USUAL_CORRECTION;
  }
  return Math.min(MOST_CORRECTION, Math.max(1, observedMs / passTime(costs, writers)));
}

/** How much longer passes take while experts are copied, as the engines declare. */
const COPYING = 1.15;

/** Prompts that the rank with most of them reads in a pass, on average, under a usual load. */
const PROMPTS_READ = 1.5;

/**
 * Writers on each rank that keep a pass under a time while one rank has so many times the mean of the
 * experts' work: all ranks wait for it, set by set, and a change of map that copies experts is on its way.
 */
export function writersUnderSkew(costs: EngineCosts, skew: number, ms: number): number {
  const reading = (PROMPTS_READ * costs.usualPrompt) / costs.readTokensPerMs;
  const stepMs = (ms / COPYING - reading) / costs.stepsPerPass - costs.stepMs;
  return stepMs / (writerCost(costs) * (1 + costs.expertShare * Math.max(0, skew - 1)));
}

/** Writers on each rank that keep a pass under a time; may be a fraction, and below 0. */
export function writersWithin(costs: EngineCosts, correction: number, ms: number): number {
  return (ms / (correction * costs.stepsPerPass) - costs.stepMs) / writerCost(costs);
}

/** Time that an answer of so many tokens takes to write, ms. */
export function writeTime(costs: EngineCosts, tokens: number, passMs: number): number {
  return Math.ceil(tokens / costs.stepsPerPass) * passMs;
}
