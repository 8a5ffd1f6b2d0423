/**
 * Coordinates one group while it holds the group's lease: polls the ranks, plans expert maps and switches to them.
 */
import { Counter } from 'prom-client';
import {
  adoptDemand,
  awaitsReport,
  sampledRanks,
  expectedLoad,
  FIRST_MAP_VERSION,
  initDemand,
  initMapSwitch,
  isPlanDue,
  requiredGain,
  MapStages,
  mayCoordinate,
  packDemand,
  planMap,
  stepMapSwitch,
  recordCounts,
  type DemandState,
  type ExpertCounts,
  type GroupUsage,
  type MapPolicy,
  type MapShape,
  type MapSwitchInput,
  type MapSwitchOutput,
  type MapSwitchState,
} from '../../coordination/index.js';
import type {
  EngineCosts,
  GroupLoad,
  GroupMap,
  RankReport,
  SlotGrants,
} from '../../protocol/index.js';
import type { DaemonCoordinator } from '../DaemonCoordinator.js';
import type { Runtime } from '../DaemonRuntime.js';
import { DirectLoadPublisher } from './DirectLoadPublisher.js';
import type { GroupForecast } from './DirectRank.js';
import type { DirectRankPeers } from './DirectRankPeers.js';
import { DirectRankPolls } from './DirectRankPolls.js';

/** Limits of a change of the expert map. */
export interface MapLimits {
  readonly shape: MapShape;
  readonly policy: MapPolicy;
  /** Objective for the longest pause between two events of a stream, ms. */
  readonly pauseMs: number;
  /** Number of experts over all sets. */
  readonly totalExperts: number;
  readonly costs: EngineCosts;
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

/** Interval of {@link DirectCoordinator.tick}, ms: how often unfinished orders are checked. */
export const COORDINATOR_TICK_MS = 20;

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

  readonly #polls: DirectRankPolls;

  readonly #load: DirectLoadPublisher;

  #switch: MapSwitchState;

  #demand: DemandState;

  #map: GroupMap | null = null;

  #proposed: GroupMap | null = null;

  #resetAt = -Infinity;

  readonly #stages = new MapStages();

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
    this.#load = new DirectLoadPublisher({ ...options, limitParameters: options.mapLimits });
    this.#polls = this.#openPolls();
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
  }

  #openPolls(): DirectRankPolls {
    const { isCandidate, mapLimits, own, peers, ranks, runtime } = this.#options;
    return new DirectRankPolls({
      ranks,
      own,
      peers,
      runtime,
      token: () => this.#switch.token,
      ranksToCount: () => sampledRanks(ranks, mapLimits()?.totalExperts ?? 0),
      needsMap: () => this.#map === null,
      awaitsReport: (rank) => awaitsReport(this.#switch, rank),
      forecastFor: (rank) => (rank !== own && isCandidate(rank) ? this.#forecast : null),
      onReport: (rank, report, askedAt) => this.#onReport(rank, report, askedAt),
      onMap: (map) => {
        this.#map = map;
        this.#stepSwitch({ type: 'mapInUse', map });
      },
      onRound: (counts) => this.#onRound(counts),
    });
  }

  /** Follows the lease, polls the ranks and plans maps. To be called every {@link COORDINATOR_TICK_MS}. */
  tick(): void {
    this.#followLease();
    if (this.#switch.phase === 'off') {
      return;
    }
    this.#polls.tick();
    this.#stepSwitch({ type: 'tick' });
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
    }
    const firstSkew = forecast?.firstSkew ?? null;
    // Processes of an earlier version state a skew of 1 where they know none.
    this.#load.onGained(token, firstSkew !== null && firstSkew > 1 ? firstSkew : null);
  }

  #onReport(rank: number, report: RankReport, askedAt: number): void {
    this.#load.onReport(rank, report);
    this.#stepSwitch({ type: 'report', rank, report, askedAt });
    this.#planIfDue();
    this.#load.publishChange();
  }

  get #usesFirstMap(): boolean {
    return this.#load.mapVersion === FIRST_MAP_VERSION;
  }

  /** Uses the counts of a round, with those that have arrived. */
  #onRound(counts: readonly (ExpertCounts | null)[]): void {
    this.#demand = recordCounts(this.#demand, counts);
    this.#load.publishRound();
    this.#plan();
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

  #plan(): void {
    const { mapLimits, runtime } = this.#options;
    const limits = mapLimits();
    const weights = expectedLoad(this.#demand);
    // A plan takes tens of ms, in which a change that a predecessor left unfinished would keep the group held.
    const isRecovering = this.#switch.phase === 'observing' || this.#switch.phase === 'voiding';
    if (limits === null || weights === null || this.#map === null || isRecovering) {
      return;
    }
    const planStartedAt = runtime.now();
    const isFirst = this.#plannedAt < this.#resetAt && this.#usesFirstMap;
    this.#plannedAt = planStartedAt;
    const minGainPerCopy = this.#switch.phase === 'idle' ? this.#minGainPerCopy(limits) : null;
    const adjustedPolicy = { ...limits.policy, gainPerCopy: minGainPerCopy ?? Infinity };
    const planned = planMap(this.#map, weights, limits.shape, adjustedPolicy, this.#load.slowdowns);
    const { skewBefore } = planned;
    this.#load.onSkew(skewBefore, isFirst);
    this.#stages.onCounts(skewBefore, planStartedAt - this.#polls.countsAt, planStartedAt);
    this.#forecast = { demand: packDemand(weights), firstSkew: this.#load.firstSkew };
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
      passMs: this.#load.passMs,
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
        this.#load.onReset();
        log.warn({ event: 'group_reset', group, epoch: output.epoch }, 'group re-formed');
    }
  }

  /** Drops the map, so that it is read from the ranks again before the next plan. */
  #forgetMap(): void {
    this.#map = null;
    this.#proposed = null;
    this.#polls.forgetExperts();
  }

  #order({ rank, order }: Extract<MapSwitchOutput, { type: 'order' }>): void {
    const { lease, peers, runtime } = this.#options;
    const { token } = this.#switch;
    // Checked before each order: a process that was frozen must not act on an expired lease.
    if (!mayCoordinate(lease.lease, runtime.now())) {
      return;
    }
    const askedAt = runtime.now();
    peers
      .order(rank, { token, order })
      .then((reply) => {
        if (reply.fenced || token !== this.#switch.token) {
          return;
        }
        this.#stepSwitch({ type: 'answer', rank, result: reply.result });
        if (reply.report !== null) {
          this.#onReport(rank, reply.report, askedAt);
        }
      })
      .catch(() => this.#stepSwitch({ type: 'answer', rank, result: 'unknown' }));
  }
}
