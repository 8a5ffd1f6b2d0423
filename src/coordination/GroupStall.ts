/** Detects that a group has stalled, from the events of this process's own streams. */
import type { GroupSlots } from './GroupSlots.js';

/** This process's own streams at a group. */
export interface OwnStreams {
  /** Number of streams whose first event has arrived and whose last has not. */
  readonly writingCount: number;
  /** When the last event of any of them arrived, ms. */
  readonly lastEventAt: number;
}

/** Number of passes without an event of any own stream after which a group counts as stalled. */
const STALL_PASSES = 4;

/** Minimum time for that, ms: events arrive in bursts when a host is busy, and prompts lengthen a pass. */
const MIN_STALL_MS = 300;

/**
 * Whether a group has stalled: each pass brings an event of each stream, and none has arrived for several passes.
 *
 * When a rank is unreachable, the others wait 1.5 s for it before they report it. A request sent meanwhile
 * may have run when it fails, so its caller can't be told to retry and the request is lost; or it hangs
 * on a connection to the unreachable rank until its caller leaves. So the group counts as broken after 0.3 s
 * without an event, and new requests wait here, where they can't have run.
 */
export function isGroupStalled(state: GroupSlots, own: OwnStreams, now: number): boolean {
  const stallMs = Math.max(MIN_STALL_MS, STALL_PASSES * state.passMs);
  return own.writingCount > 0 && now - own.lastEventAt > stallMs;
}
