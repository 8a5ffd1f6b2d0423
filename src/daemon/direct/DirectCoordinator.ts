/**
 * Coordinates one group while it holds the group's lease: polls the ranks, plans expert maps and switches to them.
 */
import { Counter, Gauge } from 'prom-client';
import {
  addIncrements,
  adoptDemand,
  awaitsReport,
  sampledRanks,
  expectedLoad,
  initDemand,
  initMapSwitch,
  isPlanDue,
  isStalled,
  requiredGain,
  MapStages,
  mayCoordinate,
  INITIAL_PASS_MONITOR,
  packDemand,
  planMap,
  resetMeasurement,
  slowRanks,
  stepMapSwitch,
  recordCounts,
  observeReport,
  type DemandState,
  type ExpertCounts,
  type GroupUsage,
  type MapPolicy,
  type MapShape,
  type MapSwitchInput,
  type MapSwitchOutput,
  type MapSwitchState,
  type PassMonitor,
} from '../../coordination/index.js';
import type { GroupLoad, GroupMap, RankReport, SlotGrants } from '../../protocol/index.js';
import type { DaemonCoordinator } from '../DaemonCoordinator.js';
import type { Runtime } from '../DaemonRuntime.js';
import type { GroupForecast } from './DirectRank.js';
import type { DirectRankPeers } from './DirectRankPeers.js';

/** Limits of a change of the expert map. */
export interface MapLimits {
  readonly shape: MapShape;
  readonly policy: MapPolicy;
  /** Objective for the longest pause between two events of a stream, ms. */
  readonly pauseMs: number;
  /** Number of experts over all sets. */
  readonly totalExperts: number;
}

/** Options of a {@link DirectCoordinator}. */
export interface DirectCoordinatorOptions {
  readonly group: string;
  readonly ranks: number;
  readonly own: number;
  readonly lease: DaemonCoordinator;
  readonly peers: DirectRankPeers;
  readonly runtime: Runtime;
  /** Limits of a change; null until a configuration has been read. */
  readonly mapLimits: () => MapLimits | null;
  /** Whether the sidecar of a rank may coordinate the group. */
  readonly isCandidate: (rank: number) => boolean;
  /** Forecast of a coordinator with a later token than this; null if there is none. */
  readonly forecastSince: (token: number) => GroupForecast | null;
  /** Publishes the group's load to the entry processes. */
  readonly publish: (load: GroupLoad) => void;
  /** Decides how many requests may start until the next load; null while there are slots for all. */
  readonly grants?: (usage: GroupUsage) => SlotGrants | null;
}

/** Interval of reading counts, ms: a few hundred thousand expert choices at the usual rate. */
const COUNTS_INTERVAL_MS = 250;

/** A report older than this doesn't show whether the group is open, so no load is published by it. In ms. */
const REPORT_MAX_AGE_MS = 700;

/** Counts that take longer than this to arrive are used in the next round, ms. */
const ROUND_TIMEOUT_MS = 80;

/** Interval of reading reports while a map change is in progress, ms. */
const REPORT_INTERVAL_MS = 60;

/** Interval of {@link DirectCoordinator.tick}, ms: how often unfinished orders are checked. */
export const COORDINATOR_TICK_MS = 20;

/** Version of the map that a newly formed group has. */
const FIRST_MAP_VERSION = 0;

/**
 * Minimum reduction of the skew for which the map is changed. A change keeps the group busy for half a second, in
 * which it can't react to a shift of demand, and a smaller gain shortens passes by only some 2 ms.
 */
const MIN_GAIN = 0.1;

/** Coordinator of one group. */
export class DirectCoordinator {
  readonly #options: DirectCoordinatorOptions;

  readonly #changes: Counter;

  readonly #copies: Counter;

  #switch: MapSwitchState;

  #demand: DemandState;

  #map: GroupMap | null = null;

  #proposed: GroupMap | null = null;

  #requestedAt: (number | null)[];

  /** Expert choices counted by each rank since this process started; null before the first counts. */
  #counts: (ExpertCounts | null)[];

  /** Ranks that have answered with counts in this round. */
  #countedInRound = new Set<number>();

  #reports: (RankReport | null)[];

  /** Newest report of any rank in the newest epoch, and when it was received. */
  #newestReport: RankReport | null = null;

  #newestReportAt = -Infinity;

  #publishedOpen = false;

  #resetAt = -Infinity;

  #countsAt = 0;

  /** Ranks whose counts are outstanding in this round. */
  #awaitedInRound = new Set<number>();

  readonly #stages = new MapStages();

  #passes: PassMonitor = INITIAL_PASS_MONITOR;

  #skew = 1;

  /** Skew under the group's first map, which is in use again each time the group re-forms. */
  #firstSkew = 1;

  #lastToken = 0;

  #plannedAt = -Infinity;

  /** Number of demand shifts detected when a map was last planned. */
  #plannedShifts = 0;

  /** Sent to the other candidates with the next round of counts; null before the first plan. */
  #forecast: GroupForecast | null = null;

  constructor(options: DirectCoordinatorOptions) {
    this.#options = options;
    const { ranks, own, runtime } = options;
    this.#switch = initMapSwitch(ranks, own);
    this.#demand = initDemand(ranks);
    this.#requestedAt = Array.from({ length: ranks }, () => null);
    this.#counts = Array.from({ length: ranks }, () => null);
    this.#reports = Array.from({ length: ranks }, () => null);
    const registers = [runtime.registry];
    this.#changes = new Counter({
      name: 'laburnumgauge_map_changes_total',
      help: 'Expert maps taken into use',
      registers,
    });
    this.#copies = new Counter({
      name: 'laburnumgauge_map_copies_total',
      help: 'Experts that ranks were told to copy',
      registers,
    });
    const skew = (): number => this.#skew;
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_step_skew',
      help: 'Largest over mean rank load, averaged over sets, of the demand seen lately',
      registers,
      collect() {
        this.set(skew());
      },
    });
  }

  /** Follows the lease, polls the ranks and plans maps. To be called every {@link COORDINATOR_TICK_MS}. */
  tick(): void {
    this.#followLease();
    if (this.#switch.phase === 'off') {
      return;
    }
    const now = this.#options.runtime.now();
    const areCountsDue = now - this.#countsAt >= COUNTS_INTERVAL_MS;
    if (areCountsDue) {
      this.#countsAt = now;
      this.#countedInRound.clear();
      this.#awaitedInRound = new Set(this.#ranksToCount);
    } else if (this.#awaitedInRound.size > 0 && now - this.#countsAt >= ROUND_TIMEOUT_MS) {
      this.#endRound();
    }
    this.#requestedAt.forEach((requestedAt, rank) => {
      const awaitsRank = this.#map === null || awaitsReport(this.#switch, rank);
      const isReportDue =
        awaitsRank && requestedAt !== null && now - requestedAt >= REPORT_INTERVAL_MS;
      if (areCountsDue || isReportDue || requestedAt === null) {
        this.#ask(rank, areCountsDue, now);
      }
    });
    this.#stepSwitch({ type: 'tick' });
  }

  /** Ranks whose counts are read: all of a small group, some of a large one. */
  get #ranksToCount(): ReadonlySet<number> {
    const limits = this.#options.mapLimits();
    return sampledRanks(this.#options.ranks, limits?.totalExperts ?? 0);
  }

  #followLease(): void {
    const { lease, runtime } = this.#options;
    const view = lease.lease;
    const holdsLease = mayCoordinate(view, runtime.now());
    const token = view.held?.token ?? 0;
    if (holdsLease && this.#switch.token !== token) {
      this.#adoptForecast(token);
      this.#map = null;
      this.#options.peers.resetTimeouts();
      this.#stepSwitch({ type: 'gained', token });
    } else if (!holdsLease && this.#switch.phase !== 'off') {
      this.#stepSwitch({ type: 'lost' });
      this.#switch = { ...this.#switch, token: 0 };
    }
  }

  /** Adopts the forecast of a coordinator that held the lease after this process last did. */
  #adoptForecast(token: number): void {
    const forecast = this.#options.forecastSince(this.#lastToken);
    this.#lastToken = token;
    if (forecast !== null) {
      this.#demand = adoptDemand(this.#demand, forecast.demand);
      this.#firstSkew = forecast.firstSkew;
    }
  }

  #ask(rank: number, isRound: boolean, now: number): void {
    const { isCandidate, own, peers } = this.#options;
    const { token } = this.#switch;
    const withCounts = isRound && this.#awaitedInRound.has(rank);
    const withExperts = this.#map === null;
    const sendsForecast = isRound && rank !== own && isCandidate(rank);
    const forecast = sendsForecast ? this.#forecast : null;
    this.#requestedAt[rank] = now;
    peers
      .ask(rank, { token, withCounts, withExperts, outlook: forecast })
      .then((reply) => {
        if (reply.fenced || token !== this.#switch.token) {
          return;
        }
        if (reply.counts !== null) {
          this.#counts[rank] = addIncrements(this.#counts[rank] ?? null, reply.counts);
          this.#countedInRound.add(rank);
        }
        if (reply.experts !== null) {
          this.#onExperts(rank, reply.report.epoch, reply.experts);
        }
        this.#onReport(rank, reply.report);
        if (withCounts && this.#awaitedInRound.delete(rank) && this.#awaitedInRound.size === 0) {
          this.#endRound();
        }
      })
      .catch((err: unknown) => {
        this.#options.runtime.log.debug(
          { rank, err: (err as Error).message },
          'no report from a rank',
        );
      });
  }

  readonly #experts = new Map<
    number,
    { readonly epoch: number; readonly experts: readonly (readonly number[])[] }
  >();

  /** Assembles the map in use from the experts that each rank holds. */
  #onExperts(rank: number, epoch: number, experts: readonly (readonly number[])[]): void {
    this.#experts.set(rank, { epoch, experts });
    const { ranks } = this.#options;
    const known = Array.from({ length: ranks }, (_item, i) => this.#experts.get(i));
    if (this.#map !== null || known.some((item) => item?.epoch !== epoch)) {
      return;
    }
    const sets = experts.length;
    this.#map = Array.from({ length: sets }, (_set, s) =>
      known.map((item) => item?.experts[s] ?? []),
    );
    this.#experts.clear();
    this.#stepSwitch({ type: 'mapInUse', map: this.#map });
  }

  #onReport(rank: number, report: RankReport): void {
    this.#reports[rank] = report;
    if (this.#newestReport === null || report.epoch >= this.#newestReport.epoch) {
      this.#newestReport = report;
      this.#newestReportAt = this.#options.runtime.now();
    }
    if (rank === this.#options.own) {
      this.#passes = observeReport(this.#passes, report, this.#options.runtime.now());
    }
    this.#stepSwitch({ type: 'report', rank, report });
    this.#planIfDue();
    // Published at once: callers wait at the entry hosts, and their last retry expires within a second or two.
    if (this.#isOpen !== this.#publishedOpen) {
      this.#publish();
    }
  }

  /** Whether the group is open and not stalled, by the newest report of any rank: each reports on the whole group. */
  get #isOpen(): boolean {
    return this.#newestReport !== null && this.#newestReport.open && !this.#isStalled;
  }

  get #usesFirstMap(): boolean {
    return this.#newestReport?.mapVersion === FIRST_MAP_VERSION;
  }

  get #isStalled(): boolean {
    return isStalled(this.#passes, this.#options.runtime.now());
  }

  /** Ends a round once all ranks have answered or the rest are late, with the counts that have arrived. */
  #endRound(): void {
    this.#awaitedInRound.clear();
    const counts = this.#counts.map((item, rank) => (this.#countedInRound.has(rank) ? item : null));
    this.#demand = recordCounts(this.#demand, counts);
    this.#publish();
    this.#plan();
  }

  #publish(): void {
    const { group, publish } = this.#options;
    const active = this.#valuePerRank(({ active: activeStreams }) => activeStreams);
    const queued = this.#valuePerRank(({ queued: queuedRequests }) => queuedRequests);
    if (
      this.#newestReport === null ||
      this.#options.runtime.now() - this.#newestReportAt > REPORT_MAX_AGE_MS
    ) {
      return;
    }
    this.#publishedOpen = this.#isOpen;
    publish({
      group,
      open: this.#publishedOpen,
      active,
      queued,
      slow: slowRanks(this.#slowdowns),
      passMs: this.#passes.passMs,
      skew: this.#skew,
    });
  }

  /** Plans without waiting for the next counts, if a plan is due with those at hand. */
  #planIfDue(): void {
    const now = this.#options.runtime.now();
    const isDue = isPlanDue({
      plannedMsAgo: now - this.#plannedAt,
      formedMsAgo: now - this.#resetAt,
      shiftsAtPlan: this.#plannedShifts,
      shifts: this.#demand.shifts,
    });
    if (this.#switch.phase === 'idle' && this.#map !== null && isDue) {
      this.#plan();
    }
  }

  /**
   * A value from each rank's report, or the mean of the others for a rank without a report.
   *
   * A new coordinator has reports of a few ranks only. With zero for the others the group would look nearly empty,
   * and many times more slots than it has would be granted. Ranks of a group run alike, so their mean is used.
   */
  #valuePerRank(valueOf: (report: RankReport) => number): readonly number[] {
    const values = this.#reports.flatMap((report) => (report === null ? [] : [valueOf(report)]));
    const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
    return this.#reports.map((report) => (report === null ? mean : valueOf(report)));
  }

  /** Time that each rank takes, as a multiple of the usual time. */
  get #slowdowns(): readonly number[] {
    return this.#reports.map((report) => report?.pace ?? 1);
  }

  #plan(): void {
    const { mapLimits, runtime } = this.#options;
    const limits = mapLimits();
    const weights = expectedLoad(this.#demand);
    if (limits === null || weights === null || this.#map === null) {
      return;
    }
    const planStartedAt = runtime.now();
    const isFirst = this.#plannedAt < this.#resetAt && this.#usesFirstMap;
    this.#plannedAt = planStartedAt;
    const minGainPerCopy = this.#switch.phase === 'idle' ? this.#minGainPerCopy(limits) : null;
    const adjustedPolicy = { ...limits.policy, gainPerCopy: minGainPerCopy ?? Infinity };
    const planned = planMap(this.#map, weights, limits.shape, adjustedPolicy, this.#slowdowns);
    this.#skew = planned.skewBefore;
    this.#stages.onCounts(this.#skew, planStartedAt - this.#countsAt, planStartedAt);
    this.#firstSkew = isFirst ? planned.skewBefore : this.#firstSkew;
    this.#forecast = { demand: packDemand(weights), firstSkew: this.#firstSkew };
    if (this.#switch.phase !== 'idle') {
      return;
    }
    this.#plannedShifts = this.#demand.shifts;
    const gain = planned.skewBefore - planned.skewAfter;
    if (planned.copies === 0 || gain < MIN_GAIN) {
      return;
    }
    const planMs = runtime.now() - planStartedAt;
    this.#stages.onPlan(planMs, runtime.now());
    runtime.log.info(
      {
        event: 'plan',
        group: this.#options.group,
        copies: planned.copies,
        skewBefore: Number(planned.skewBefore.toFixed(3)),
        skewAfter: Number(planned.skewAfter.toFixed(3)),
        intervals: this.#demand.intervals.length,
        shifts: this.#demand.shifts,
        planMs: Math.round(planMs),
      },
      'planned a new expert map',
    );
    this.#copies.inc(planned.copies);
    this.#proposed = planned.map;
    this.#stepSwitch({ type: 'propose', map: planned.map });
  }

  /** Gain that each copy must bring now; null where passes are short enough. */
  #minGainPerCopy({ pauseMs, policy }: MapLimits): number | null {
    const conditions = {
      passMs: this.#passes.passMs,
      pauseMs,
      usesInitialMap: this.#usesFirstMap,
      formedMsAgo: this.#options.runtime.now() - this.#resetAt,
    };
    return requiredGain(conditions, policy.gainPerCopy);
  }

  #stepSwitch(input: MapSwitchInput): void {
    const { state, outputs } = stepMapSwitch(this.#switch, input, this.#options.runtime.now());
    this.#switch = state;
    outputs.forEach((output) => this.#perform(output));
  }

  #perform(output: MapSwitchOutput): void {
    const { group, runtime } = this.#options;
    const { log } = runtime;
    switch (output.type) {
      case 'order':
        this.#order(output);
        return;
      case 'phase':
        this.#stages.onPhase(output.phase, runtime.now());
        log.info(
          {
            event: 'map',
            group,
            phase: output.phase,
            version: this.#switch.version,
            step: this.#switch.step,
          },
          'map change',
        );
        return;
      case 'changed':
        this.#changes.inc();
        this.#map = this.#proposed;
        this.#proposed = null;
        log.info(
          {
            event: 'map_changed',
            group,
            version: output.version,
            ms: Math.round(output.ms),
            ...this.#stages.finish(runtime.now()),
          },
          'map in use',
        );
        return;
      case 'abandoned':
        this.#forgetMap();
        log.warn(
          { event: 'map_abandoned', group, version: output.version },
          'map change abandoned',
        );
        return;
      default:
        this.#forgetMap();
        this.#resetAt = runtime.now();
        this.#skew = this.#usesFirstMap ? this.#firstSkew : this.#skew;
        this.#passes = resetMeasurement(this.#passes);
        log.warn({ event: 'group_reset', group, epoch: output.epoch }, 'group re-formed');
    }
  }

  /** Drops the map, so that it is read from the ranks again before the next plan. */
  #forgetMap(): void {
    this.#map = null;
    this.#proposed = null;
    this.#experts.clear();
  }

  #order({ rank, order }: Extract<MapSwitchOutput, { type: 'order' }>): void {
    const { lease, peers, runtime } = this.#options;
    const { token } = this.#switch;
    // Checked before each order: a process that was frozen must not act on an expired lease.
    if (!mayCoordinate(lease.lease, runtime.now())) {
      return;
    }
    peers
      .order(rank, { token, order })
      .then((reply) => {
        if (reply.fenced || token !== this.#switch.token) {
          return;
        }
        this.#stepSwitch({ type: 'answer', rank, result: reply.result });
        if (reply.report !== null) {
          this.#onReport(rank, reply.report);
        }
      })
      .catch(() => this.#stepSwitch({ type: 'answer', rank, result: 'unknown' }));
  }
}
