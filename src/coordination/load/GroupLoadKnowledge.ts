/**
 * What the coordinator of a group knows of the group's load, and the load that it publishes from that.
 *
 * A coordinator that has just taken over knows nothing of its own. Reports that its process received under an earlier
 * lease, and a pass time or skew measured then, may be minutes old, so all of them are dropped.
 */
import type { GroupLoad, RankReport } from '../../protocol/index.js';
import {
  INITIAL_PASS_MONITOR,
  isStalled,
  observeReport,
  resetMeasurement,
  type PassMonitor,
} from '../PassMonitor.js';
import { slowRanks } from '../RankSlowdown.js';
import { isCompleteShare, observeCompleteness, type LoadCompleteness } from './LoadCompleteness.js';
import { DEFAULT_FIRST_SKEW } from './SlotLimit.js';

/** A report, and when it was received, ms. */
interface TimedReport {
  readonly report: RankReport;
  readonly at: number;
}

/** What a coordinator knows of its group. */
export interface LoadKnowledge {
  readonly group: string;
  readonly token: number;
  /** Last report of each rank under the token; null before the first. */
  readonly reports: readonly (TimedReport | null)[];
  /** Newest report of any rank in the newest epoch. */
  readonly newest: TimedReport | null;
  readonly completeness: LoadCompleteness;
  readonly passes: PassMonitor;
  /** Skew of the map in use under the demand seen lately; null if it is unknown. */
  readonly skew: number | null;
  /** Skew under the group's first map, which is in use again each time the group re-forms; null if it is unknown. */
  readonly firstSkew: number | null;
}

/** A report older than this doesn't show the state of its rank or whether the group is open, ms. */
const REPORT_MAX_AGE_MS = 700;

/** State of a coordinator that has never held the lease. */
export function initLoadKnowledge(group: string, ranks: number): LoadKnowledge {
  return {
    group,
    token: 0,
    reports: Array.from({ length: ranks }, () => null),
    newest: null,
    completeness: { token: 0, halfSince: null },
    passes: INITIAL_PASS_MONITOR,
    skew: null,
    firstSkew: null,
  };
}

/** Starts under a lease; `firstSkew` is from the forecast of a predecessor, null without one. */
export function gainLease(
  state: LoadKnowledge,
  token: number,
  firstSkew: number | null,
): LoadKnowledge {
  const { group, reports } = state;
  const fresh = initLoadKnowledge(group, reports.length);
  return { ...fresh, token, firstSkew: firstSkew ?? state.firstSkew };
}

/** Reports that count: of the newest epoch, and recent. */
function recentReports(
  { reports, newest }: LoadKnowledge,
  now: number,
): readonly (RankReport | null)[] {
  const epoch = newest?.report.epoch;
  return reports.map((item) =>
    item !== null && item.report.epoch === epoch && now - item.at <= REPORT_MAX_AGE_MS
      ? item.report
      : null,
  );
}

function reportedShare(state: LoadKnowledge, now: number): number {
  const reported = recentReports(state, now).filter((report) => report !== null).length;
  return reported / Math.max(1, state.reports.length);
}

/** Records the report of a rank; `isOwn` for the rank on the coordinator's own host, which shows the pass time. */
export function noteReport(
  state: LoadKnowledge,
  rank: number,
  report: RankReport,
  isOwn: boolean,
  now: number,
): LoadKnowledge {
  const item = { report, at: now };
  const isNewest = state.newest === null || report.epoch >= state.newest.report.epoch;
  const noted = {
    ...state,
    reports: state.reports.map((known, i) => (i === rank ? item : known)),
    newest: isNewest ? item : state.newest,
    passes: isOwn ? observeReport(state.passes, report, now) : state.passes,
  };
  const completeness = observeCompleteness(
    state.completeness,
    state.token,
    reportedShare(noted, now),
    now,
  );
  return { ...noted, completeness };
}

/** Records that the group has formed anew: its passes are counted from the start, and it uses its first map. */
export function reformGroup(state: LoadKnowledge): LoadKnowledge {
  return { ...state, passes: resetMeasurement(state.passes), skew: null };
}

/** Records the skew of the map in use. */
export function noteSkew(state: LoadKnowledge, skew: number): LoadKnowledge {
  return { ...state, skew };
}

/** Records the skew of the group's first map. */
export function noteFirstSkew(state: LoadKnowledge, firstSkew: number): LoadKnowledge {
  return { ...state, firstSkew };
}

/** Whether the group is open and not stalled, by the newest report of any rank: each reports on the whole group. */
export function isGroupOpen({ newest, passes }: LoadKnowledge, now: number): boolean {
  return newest !== null && newest.report.open && !isStalled(passes, now);
}

/** Whether enough ranks are reported for the load to be used in full. */
export function isLoadComplete(state: LoadKnowledge, now: number): boolean {
  return isCompleteShare(state.completeness, reportedShare(state, now), now);
}

/** Time that each rank takes, as a multiple of the usual time; by its last report, as a slow rank may report late. */
export function slowdownsOf({ reports }: LoadKnowledge): readonly number[] {
  return reports.map((item) => item?.report.pace ?? 1);
}

/** A value from each rank's report, or the mean of the others for a rank without one: ranks of a group run alike. */
function valuePerRank(
  reports: readonly (RankReport | null)[],
  valueOf: (report: RankReport) => number,
): readonly number[] {
  const values = reports.flatMap((report) => (report === null ? [] : [valueOf(report)]));
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  return reports.map((report) => (report === null ? mean : valueOf(report)));
}

/**
 * Load to publish; null if no recent report shows whether the group is open. Where the skew is unknown, that of the
 * first map is stated: a process of an earlier version, or one that knows no limit, takes the stated skew for true.
 */
export function describeLoad(state: LoadKnowledge, now: number): GroupLoad | null {
  const { group, token, newest, passes, skew, firstSkew } = state;
  if (newest === null || now - newest.at > REPORT_MAX_AGE_MS) {
    return null;
  }
  const reports = recentReports(state, now);
  return {
    group,
    open: isGroupOpen(state, now),
    active: valuePerRank(reports, ({ active }) => active),
    queued: valuePerRank(reports, ({ queued }) => queued),
    slow: slowRanks(slowdownsOf(state)),
    passMs: passes.passMs,
    skew: skew ?? firstSkew ?? DEFAULT_FIRST_SKEW,
    token,
    epoch: newest.report.epoch,
    reported: reports.filter((report) => report !== null).length,
    // Rounded, since these numbers travel to every entry host four times a second.
    sentAt: Math.round(now * 10) / 10,
    ...(firstSkew === null ? {} : { firstSkew: Math.round(firstSkew * 100) / 100 }),
  };
}
