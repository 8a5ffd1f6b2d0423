/** When a group of ranks that has formed anew is opened to requests. */
import type { MapSwitchPhase } from './MapSwitchTypes.js';

/**
 * A group is kept closed for its first even map for so long at most, ms: copies take some 300, reading the map and
 * orders to all ranks some 200, and a rank that doesn't answer must not keep callers waiting for longer.
 */
const OPENING_MS = 700;

/** Phases of a change before all ranks are told to take the new map at the same pass. */
const BEFORE_RELEASE: readonly MapSwitchPhase[] = ['preparing', 'holding', 'arming'];

/** What a coordinator knows of its group. */
export interface OpeningView {
  /** Whether the group uses the map that it has when it forms. */
  readonly usesFirstMap: boolean;
  /** When it formed anew, and when a map was planned last; ms. */
  readonly formedAt: number;
  readonly plannedAt: number;
  /** Whether any demand was seen, from which a map can be planned. */
  readonly hasDemand: boolean;
  readonly phase: MapSwitchPhase;
}

/**
 * Whether a group gets its first even map before requests are let in.
 *
 * Load pattern: a group opens after an outage, and some hundred callers wait for it. Its first map gives the largest
 * rank three times the mean: for 1.4 s passes take several times as long, few places are given, and all that is begun
 * is late. A group without requests makes no passes, so that its ranks copy what they lack in 0.4 s, and the first
 * requests find the even map after a few passes.
 */
export function isOpening(view: OpeningView, now: number): boolean {
  const { usesFirstMap, formedAt, plannedAt, hasDemand, phase } = view;
  if (!usesFirstMap || now - formedAt > OPENING_MS) {
    return false;
  }
  const isToPlan = plannedAt < formedAt && hasDemand;
  return isToPlan || BEFORE_RELEASE.includes(phase);
}
