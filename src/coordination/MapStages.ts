/**
 * Measures the stages from the first counts that show the map in use to be behind the demand until a new map is in
 * use.
 */
import type { MapSwitchPhase } from './MapSwitchTypes.js';

/** A map is behind the demand if its most loaded rank has this many times the mean load. */
const UNEVEN_SKEW = 1.3;

/** Durations of the stages of a map change, ms. */
export interface MapStageTimes {
  /** From the first counts that showed the map to be behind to the start of the plan. */
  readonly waitMs: number;
  /** Age of the counts at the start of the plan, since they were read. */
  readonly countsMs: number;
  readonly planMs: number;
  /** Until all ranks had their copies. */
  readonly copyMs: number;
  readonly holdMs: number;
  readonly armMs: number;
  /** Until all ranks reported that they use the map. */
  readonly releaseMs: number;
}

/** Records the stage times of the change in progress. */
export class MapStages {
  #unevenSince: number | null = null;

  #countsMs = 0;

  #waitMs = 0;

  #planMs = 0;

  readonly #enteredAt = new Map<MapSwitchPhase, number>();

  /** Records counts of the given age, and the skew that they show under the map in use. */
  onCounts(skew: number, countsMs: number, now: number): void {
    this.#countsMs = countsMs;
    this.#unevenSince = skew < UNEVEN_SKEW ? null : (this.#unevenSince ?? now);
  }

  /** Records a proposed map, and the time that its planning took. */
  onPlan(planMs: number, now: number): void {
    this.#planMs = planMs;
    this.#waitMs = Math.max(0, now - planMs - (this.#unevenSince ?? now - planMs));
    this.#enteredAt.clear();
  }

  onPhase(phase: MapSwitchPhase, now: number): void {
    this.#enteredAt.set(phase, this.#enteredAt.get(phase) ?? now);
  }

  /** Ends the change, once its map is in use, and returns its stage times. */
  finish(now: number): MapStageTimes {
    this.#unevenSince = null;
    const between = (from: MapSwitchPhase, to: MapSwitchPhase): number =>
      Math.round((this.#enteredAt.get(to) ?? now) - (this.#enteredAt.get(from) ?? now));
    return {
      waitMs: Math.round(this.#waitMs),
      countsMs: Math.round(this.#countsMs),
      planMs: Math.round(this.#planMs),
      copyMs: between('preparing', 'holding'),
      holdMs: between('holding', 'arming'),
      armMs: between('arming', 'releasing'),
      releaseMs: between('releasing', 'idle'),
    };
  }
}
