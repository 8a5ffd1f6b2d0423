/** Time from a demand that the map in use doesn't suit to a map that does, by stages. */
import type { MapSwitchPhase } from './MapSwitchTypes.js';

/** A map whose most loaded rank has this many times the mean is behind the demand. */
const UNEVEN_SKEW = 1.3;

/** Stages of a change of map, ms. */
export interface MapStageTimes {
  /** From the first reading of counts that showed the map to be behind to the one that is planned from. */
  readonly waitMs: number;
  /** Age of the counts that are planned from: from their reading to the plan. */
  readonly countsMs: number;
  readonly planMs: number;
  /** Until all ranks had their copies. */
  readonly copyMs: number;
  readonly holdMs: number;
  readonly armMs: number;
  /** Until all ranks were seen to use the map. */
  readonly releaseMs: number;
}

/** Keeps the times of the change under way. */
export class MapStages {
  #unevenSince: number | null = null;

  #countsMs = 0;

  #waitMs = 0;

  #planMs = 0;

  readonly #enteredAt = new Map<MapSwitchPhase, number>();

  /** Counts have been read, and show this skew under the map in use. */
  onCounts(skew: number, countsMs: number, now: number): void {
    this.#countsMs = countsMs;
    this.#unevenSince = skew < UNEVEN_SKEW ? null : (this.#unevenSince ?? now);
  }

  /** A map is proposed. */
  onPlan(planMs: number, now: number): void {
    this.#planMs = planMs;
    this.#waitMs = Math.max(0, now - planMs - (this.#unevenSince ?? now - planMs));
    this.#enteredAt.clear();
  }

  onPhase(phase: MapSwitchPhase, now: number): void {
    this.#enteredAt.set(phase, this.#enteredAt.get(phase) ?? now);
  }

  /** The map is in use: what its stages took. */
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
