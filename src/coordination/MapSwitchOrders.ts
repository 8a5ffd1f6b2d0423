/** The order that each rank of a group lacks, by what it reports and where its coordinator stands. */
import type { EngineOrder, RankReport } from '../protocol/index.js';
import type { MapSwitchPhase, MapSwitchState } from './MapSwitchTypes.js';

/** Reports of all ranks, if each has one of this epoch; null otherwise. */
export function fullView(state: MapSwitchState): readonly RankReport[] | null {
  const reports = state.reports.flatMap((seen) =>
    seen !== null && seen.at >= state.since && seen.report.epoch === state.epoch
      ? [seen.report]
      : [],
  );
  return reports.length === state.ranks && reports.every(({ open }) => open) ? reports : null;
}

function orderPrepare(state: MapSwitchState, report: RankReport): EngineOrder | null {
  const { epoch, version, map } = state;
  return report.prepared === version || report.copying || map === null
    ? null
    : { kind: 'prepare', epoch, version, map };
}

type OrderOf = (state: MapSwitchState, report: RankReport, rank: number) => EngineOrder | null;

function orderVoid(state: MapSwitchState, report: RankReport, rank: number): EngineOrder | null {
  const { epoch } = state;
  const reports = fullView(state) ?? [];
  const held = reports.some(({ heldStep }) => heldStep !== null);
  if (!held && reports.some(({ armed }) => armed !== null)) {
    return rank === state.own && report.step < state.step
      ? { kind: 'hold', epoch, step: state.step }
      : null;
  }
  return report.armed === null
    ? orderPrepare(state, report)
    : { kind: 'disarm', epoch, version: report.armed.version };
}

function orderRelease(
  { epoch }: Pick<MapSwitchState, 'epoch'>,
  { heldStep }: RankReport,
): EngineOrder | null {
  return heldStep === null ? null : { kind: 'release', epoch, step: heldStep };
}

/** The order that a rank lacks by its newest report, in each phase. */
export const ORDER_OF: Readonly<Partial<Record<MapSwitchPhase, OrderOf>>> = {
  // A hold that comes late, after its change is over, keeps the group from nothing but work.
  idle: orderRelease,
  preparing: (state, report) => orderRelease(state, report) ?? orderPrepare(state, report),
  voiding: orderVoid,
  holding: ({ epoch, step, own }, report, rank) => {
    if (rank !== own || report.heldStep === step) {
      return null;
    }
    return orderRelease({ epoch }, report) ?? { kind: 'hold', epoch, step };
  },
  arming: ({ epoch, version, step }, { armed }) =>
    armed?.version === version && armed.step === step
      ? null
      : { kind: 'arm', epoch, version, step },
  releasing: orderRelease,
};

type Awaits = (state: MapSwitchState, report: RankReport, rank: number) => boolean;

/** Whether a rank's newest report leaves open what its phase waits for, in each phase. */
const AWAITS: Readonly<Partial<Record<MapSwitchPhase, Awaits>>> = {
  preparing: ({ version }, { prepared }) => prepared !== version,
  voiding: ({ version }, { armed, prepared }) => armed !== null || prepared !== version,
  holding: ({ own }, _report, rank) => rank === own,
  arming: ({ version, step }, { armed }) => armed?.version !== version || armed.step !== step,
  releasing: ({ version }, { mapVersion }) => mapVersion !== version,
};

/**
 * Whether a change under way needs another report of a rank. In a group of 72 ranks a look at all of them
 * each 60 ms was 1,200 questions a second, more than the coordinator's share of a core and link bears.
 */
export function awaitsReport(state: MapSwitchState, rank: number): boolean {
  const seen = state.reports[rank] ?? null;
  if (seen === null || seen.at < state.since || seen.report.epoch !== state.epoch) {
    return state.phase !== 'off';
  }
  return AWAITS[state.phase]?.(state, seen.report, rank) ?? false;
}
