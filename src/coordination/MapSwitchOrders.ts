/** The order that each rank of a group lacks, by what it reports and where its coordinator stands. */
import type { EngineOrder, RankReport } from '../protocol/index.js';
import type { MapSwitchPhase, MapSwitchState } from './MapSwitchTypes.js';

/** Reports of all ranks, if each has one of this epoch; null otherwise. */
export function completeReports(state: MapSwitchState): readonly RankReport[] | null {
  const reports = state.reports.flatMap((received) =>
    received !== null &&
    received.receivedAt >= state.validSince &&
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

/** The order that a rank lacks by its newest report, in each phase. */
export const ORDER_BY_PHASE: Readonly<Partial<Record<MapSwitchPhase, OrderSelector>>> = {
  // A hold that comes late, after its change is over, keeps the group from nothing but work.
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

/** Whether a rank's newest report leaves open what its phase waits for, in each phase. */
const AWAITS_REPORT_BY_PHASE: Readonly<Partial<Record<MapSwitchPhase, AwaitsReport>>> = {
  preparing: ({ version }, { prepared }) => prepared !== version,
  voiding: ({ version }, { armed, prepared }) => armed !== null || prepared !== version,
  holding: ({ ownRank }, _report, rank) => rank === ownRank,
  arming: ({ version, step }, { armed }) => armed?.version !== version || armed.step !== step,
  releasing: ({ version }, { mapVersion }) => mapVersion !== version,
};

/**
 * Whether a change under way needs another report of a rank. In a group of 72 ranks a look at all of them
 * each 60 ms was 1,200 questions a second, more than the coordinator's share of a core and link bears.
 */
export function awaitsReport(state: MapSwitchState, rank: number): boolean {
  const received = state.reports[rank] ?? null;
  if (
    received === null ||
    received.receivedAt < state.validSince ||
    received.report.epoch !== state.epoch
  ) {
    return state.phase !== 'off';
  }
  return AWAITS_REPORT_BY_PHASE[state.phase]?.(state, received.report, rank) ?? false;
}
