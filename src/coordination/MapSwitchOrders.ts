/** Selects the order that each rank of a group still needs, from its report and the coordinator's phase. */
import type { EngineOrder, RankReport } from '../protocol/index.js';
import type { MapSwitchPhase, MapSwitchState } from './MapSwitchTypes.js';

/** Reports of all ranks; null unless each rank has a current one of this epoch and is open. */
export function completeReports(state: MapSwitchState): readonly RankReport[] | null {
  const reports = state.reports.flatMap((received) =>
    received !== null &&
    received.askedAt >= state.validSince &&
    received.report.epoch === state.epoch
      ? [received.report]
      : [],
  );
  return reports.length === state.ranks && reports.every(({ open }) => open) ? reports : null;
}

function prepareOrder(state: MapSwitchState, report: RankReport): EngineOrder | null {
  const { epoch, version, map } = state;
  return report.prepared === version || report.copying || map === null
    ? null
    : { kind: 'prepare', epoch, version, map };
}

type OrderSelector = (
  state: MapSwitchState,
  report: RankReport,
  rank: number,
) => EngineOrder | null;

function voidOrder(state: MapSwitchState, report: RankReport, rank: number): EngineOrder | null {
  const { epoch } = state;
  const reports = completeReports(state) ?? [];
  const isHeld = reports.some(({ heldStep }) => heldStep !== null);
  if (!isHeld && reports.some(({ armed }) => armed !== null)) {
    return rank === state.ownRank && report.step < state.step
      ? { kind: 'hold', epoch, step: state.step }
      : null;
  }
  return report.armed === null
    ? prepareOrder(state, report)
    : { kind: 'disarm', epoch, version: report.armed.version };
}

function releaseOrder(
  { epoch }: Pick<MapSwitchState, 'epoch'>,
  { heldStep }: RankReport,
): EngineOrder | null {
  return heldStep === null ? null : { kind: 'release', epoch, step: heldStep };
}

/** Selects the order that a rank still needs according to its latest report, by phase. */
export const ORDER_BY_PHASE: Readonly<Partial<Record<MapSwitchPhase, OrderSelector>>> = {
  // A hold that is carried out late, after its change has ended, only blocks the group and is released.
  idle: releaseOrder,
  preparing: (state, report) => releaseOrder(state, report) ?? prepareOrder(state, report),
  voiding: voidOrder,
  holding: ({ epoch, step, ownRank }, report, rank) => {
    if (rank !== ownRank || report.heldStep === step) {
      return null;
    }
    return releaseOrder({ epoch }, report) ?? { kind: 'hold', epoch, step };
  },
  arming: ({ epoch, version, step }, { armed }) =>
    armed?.version === version && armed.step === step
      ? null
      : { kind: 'arm', epoch, version, step },
  releasing: releaseOrder,
};

type AwaitsReport = (state: MapSwitchState, report: RankReport, rank: number) => boolean;

/** Whether a rank's latest report still lacks what the phase waits for, by phase. */
const AWAITS_REPORT_BY_PHASE: Readonly<Partial<Record<MapSwitchPhase, AwaitsReport>>> = {
  // The own rank also while all have prepared the version, but a late order may name a pass that is still to begin.
  preparing: ({ version, ownRank }, { prepared }, rank) => prepared !== version || rank === ownRank,
  voiding: ({ version }, { armed, prepared }) => armed !== null || prepared !== version,
  holding: ({ ownRank }, _report, rank) => rank === ownRank,
  arming: ({ version, step, ownRank }, { armed }, rank) =>
    armed?.version !== version || armed.step !== step || rank === ownRank,
  releasing: ({ version }, { mapVersion }) => mapVersion !== version,
};

/**
 * Whether a change in progress needs another report of a rank. In a group of 72 ranks, reading all of them every
 * 60 ms takes 1,200 requests a second, more than the coordinator's share of a core and link allows.
 */
export function awaitsReport(state: MapSwitchState, rank: number): boolean {
  const received = state.reports[rank] ?? null;
  if (
    received === null ||
    received.askedAt < state.validSince ||
    received.report.epoch !== state.epoch
  ) {
    return state.phase !== 'off';
  }
  return AWAITS_REPORT_BY_PHASE[state.phase]?.(state, received.report, rank) ?? false;
}
