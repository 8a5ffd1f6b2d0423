/** State, inputs and outputs of the coordinator of a group's expert maps. */
import type { EngineOrder, GroupMap, OrderResult, RankReport } from '../protocol/index.js';

/** Phase of a coordinator. */
export type MapSwitchPhase =
  /** Without a lease. */
  | 'off'
  /** Waits for reports of all ranks, all of one epoch. */
  | 'observing'
  | 'idle'
  /** Makes sure that an unfinished change of a predecessor can't take effect before the group continues. */
  | 'voiding'
  | 'preparing'
  | 'holding'
  | 'arming'
  | 'releasing';

/** A report with the time at which it was asked for, ms: it shows what the rank did before that, or later. */
export interface ReceivedReport {
  readonly report: RankReport;
  readonly askedAt: number;
}

/** State of a coordinator. */
export interface MapSwitchState {
  readonly ranks: number;
  /** Rank on the coordinator's own host, which is ordered to hold the group. */
  readonly ownRank: number;
  readonly phase: MapSwitchPhase;
  readonly token: number;
  /** When the lease was gained or the coordinator started over, ms; reports that were asked for earlier are ignored. */
  readonly validSince: number;
  readonly epoch: number;
  readonly reports: readonly (ReceivedReport | null)[];
  /** Version being introduced, its map, and the pass before which the ranks switch to it. */
  readonly version: number;
  readonly map: GroupMap | null;
  readonly step: number;
  /** Highest pass that an order of an earlier attempt may name; null until the reports of all ranks tell. */
  readonly usedUpTo: number | null;
  /** When a report first showed that the own rank holds the group, ms. */
  readonly heldAt: number;
  /** Number of attempts of this process; part of each version, so that none is used twice. */
  readonly attempts: number;
  /** Time from which the next order may be sent, by rank, ms; null if one may be sent at once. */
  readonly nextOrderAt: readonly (number | null)[];
  /** Recent orders without an answer; many of them make the coordinator choose a later pass for the switch. */
  readonly unansweredOrders: number;
  /** When the version was proposed, ms. */
  readonly startedAt: number;
}

/** Inputs of a coordinator. */
export type MapSwitchInput =
  | { readonly type: 'gained'; readonly token: number }
  | { readonly type: 'lost' }
  | {
      readonly type: 'report';
      readonly rank: number;
      readonly report: RankReport;
      /** When the report was asked for, ms. */
      readonly askedAt: number;
    }
  | { readonly type: 'answer'; readonly rank: number; readonly result: OrderResult }
  | { readonly type: 'propose'; readonly map: GroupMap }
  /** The map in use, as the ranks report it; preparing it needs no copies, so it is used to void a change. */
  | { readonly type: 'mapInUse'; readonly map: GroupMap }
  | { readonly type: 'tick' };

/** Outputs of a coordinator. */
export type MapSwitchOutput =
  | { readonly type: 'order'; readonly rank: number; readonly order: EngineOrder }
  | { readonly type: 'phase'; readonly phase: MapSwitchPhase }
  /** All ranks use the version; `ms` is the time since it was proposed. */
  | { readonly type: 'changed'; readonly version: number; readonly ms: number }
  /** The ranks don't prepare the version: the map that they are assumed to hold must be read again. */
  | { readonly type: 'abandoned'; readonly version: number }
  /** The group has re-formed, with its initial map. */
  | { readonly type: 'reset'; readonly epoch: number };

/** New state and outputs after an input. */
export interface MapSwitchStep {
  readonly state: MapSwitchState;
  readonly outputs: readonly MapSwitchOutput[];
}
