/** What a coordinator of a group's expert maps knows, hears and says. */
import type { EngineOrder, GroupMap, OrderResult, RankReport } from '../protocol/index.js';

/** Where a coordinator stands. */
export type MapSwitchPhase =
  /** Without a lease. */
  | 'off'
  /** Waits for a report of every rank, all of one epoch. */
  | 'observing'
  | 'idle'
  /** Makes an unfinished change of a predecessor impossible before the group goes on. */
  | 'voiding'
  | 'preparing'
  | 'holding'
  | 'arming'
  | 'releasing';

/** A report with the time at which it was taken in, ms. */
export interface ReceivedReport {
  readonly report: RankReport;
  readonly receivedAt: number;
}

/** What a coordinator knows. */
export interface MapSwitchState {
  readonly ranks: number;
  /** Rank on the coordinator's own host, which holds the group. */
  readonly ownRank: number;
  readonly phase: MapSwitchPhase;
  readonly token: number;
  /** When the lease was gained, or a new epoch seen: older reports say nothing. */
  readonly validSince: number;
  readonly epoch: number;
  readonly reports: readonly (ReceivedReport | null)[];
  /** Version in the making, its map, and the pass before which it is switched to. */
  readonly version: number;
  readonly map: GroupMap | null;
  readonly step: number;
  /** Tries of this process; part of each version, so that none is used twice. */
  readonly attempts: number;
  /** Orders on their way: by rank, until when no other is sent, ms. */
  readonly nextOrderAt: readonly (number | null)[];
  /** Orders without an answer lately, which lengthen the way to the switch. */
  readonly unansweredOrders: number;
  readonly startedAt: number;
}

/** What goes in. */
export type MapSwitchInput =
  | { readonly type: 'gained'; readonly token: number }
  | { readonly type: 'lost' }
  | { readonly type: 'report'; readonly rank: number; readonly report: RankReport }
  | { readonly type: 'answer'; readonly rank: number; readonly result: OrderResult }
  | { readonly type: 'propose'; readonly map: GroupMap }
  /** The map in use, as the ranks list it; needs no copies, so it serves to void a change. */
  | { readonly type: 'mapInUse'; readonly map: GroupMap }
  | { readonly type: 'tick' };

/** What comes out. */
export type MapSwitchOutput =
  | { readonly type: 'order'; readonly rank: number; readonly order: EngineOrder }
  | { readonly type: 'phase'; readonly phase: MapSwitchPhase }
  /** All ranks use the version; ms since it was proposed. */
  | { readonly type: 'changed'; readonly version: number; readonly ms: number }
  /** The ranks don't take the version: what they are believed to hold must be read again. */
  | { readonly type: 'abandoned'; readonly version: number }
  /** The group has formed anew, with its first map. */
  | { readonly type: 'reset'; readonly epoch: number };

/** New state and outputs of a step. */
export interface MapSwitchStep {
  readonly state: MapSwitchState;
  readonly outputs: readonly MapSwitchOutput[];
}
