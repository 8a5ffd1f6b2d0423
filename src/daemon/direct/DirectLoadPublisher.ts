/** Publishes the load of a group to the entry processes, on behalf of the group's coordinator. */
import { Counter, Gauge } from 'prom-client';
import {
  describeLoad,
  gainLease,
  INITIAL_SLOT_LIMIT,
  initLoadKnowledge,
  isGroupOpen,
  isLoadComplete,
  noteFirstSkew,
  noteReport,
  noteSkew,
  passTime,
  reformGroup,
  slowdownsOf,
  stepSlotLimit,
  type GroupUsage,
  type LimitParameters,
  type LoadKnowledge,
  type SlotLimit,
} from '../../coordination/index.js';
import type { GroupLoad, RankReport, SlotGrants } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import { COUNTS_INTERVAL_MS } from './DirectRankPolls.js';

/** Options of the publication of loads. */
export interface LoadPublisherOptions {
  readonly group: string;
  readonly ranks: number;
  readonly own: number;
  readonly runtime: Runtime;
  /** Costs and objective from which the group's limit follows; null until a configuration has been read. */
  readonly limitParameters: () => LimitParameters | null;
  /** Sends a load to the entry processes. */
  readonly publish: (load: GroupLoad) => void;
  /** Decides how many requests may start until the next load; null while there are slots for all. */
  readonly grants?: (usage: GroupUsage) => SlotGrants | null;
}

/**
 * Minimum time between a complete load and that of the next round, ms: ranks must have reported the requests that were
 * started by the former, or the latter would give out the same slots again.
 */
const MIN_LOAD_INTERVAL_MS = 150;

/** What a coordinator has published last. */
interface Published {
  readonly at: number;
  readonly open: boolean;
  readonly isComplete: boolean;
}

const NOTHING_PUBLISHED: Published = { at: -Infinity, open: false, isComplete: false };

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Collects the reports of a group's ranks and publishes the group's load. */
export class DirectLoadPublisher {
  readonly #options: LoadPublisherOptions;

  readonly #incomplete: Counter;

  #knowledge: LoadKnowledge;

  /** The limit as entry processes derive it from the loads of this coordinator. */
  #limit: SlotLimit = INITIAL_SLOT_LIMIT;

  #published = NOTHING_PUBLISHED;

  constructor(options: LoadPublisherOptions) {
    this.#options = options;
    this.#knowledge = initLoadKnowledge(options.group, options.ranks);
    const registers = [options.runtime.registry];
    this.#incomplete = new Counter({
      name: 'laburnumgauge_incomplete_loads_published_total',
      help: 'Loads published with reports of too few ranks',
      registers,
    });
    const skew = (): number => this.#knowledge.skew ?? Number.NaN;
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_step_skew',
      help: 'Largest over mean rank load, averaged over sets, of the demand seen lately; NaN while it is unknown',
      registers,
      collect() {
        this.set(skew());
      },
    });
  }

  /** Recent pass time, ms; null if it is unknown. */
  get passMs(): number | null {
    return this.#knowledge.passes.passMs;
  }

  get firstSkew(): number | null {
    return this.#knowledge.firstSkew;
  }

  /** Version of the map in use; null before a report. */
  get mapVersion(): number | null {
    return this.#knowledge.newest?.report.mapVersion ?? null;
  }

  /** Time that each rank takes, as a multiple of the usual time. */
  get slowdowns(): readonly number[] {
    return slowdownsOf(this.#knowledge);
  }

  /** Starts under a lease, without any knowledge of the group but the skew of its first map. */
  onGained(token: number, firstSkew: number | null): void {
    this.#knowledge = gainLease(this.#knowledge, token, firstSkew);
    this.#limit = INITIAL_SLOT_LIMIT;
    this.#published = NOTHING_PUBLISHED;
  }

  onReport(rank: number, report: RankReport): void {
    const { own, runtime } = this.#options;
    this.#knowledge = noteReport(this.#knowledge, rank, report, rank === own, runtime.now());
  }

  /** Records that the group has formed anew. */
  onReset(): void {
    this.#knowledge = reformGroup(this.#knowledge);
  }

  /** Records the skew of the map in use, which may be the group's first map. */
  onSkew(skew: number, isFirstMap: boolean): void {
    const known = noteSkew(this.#knowledge, skew);
    this.#knowledge = isFirstMap ? noteFirstSkew(known, skew) : known;
  }

  /**
   * Publishes a load if the group has opened or closed, or its load has become complete: callers wait at the entry
   * hosts, and their last retry expires within a second or two.
   */
  publishChange(): void {
    const now = this.#options.runtime.now();
    const hasChanged = isGroupOpen(this.#knowledge, now) !== this.#published.open;
    if (hasChanged || (!this.#published.isComplete && isLoadComplete(this.#knowledge, now))) {
      this.#publish();
    }
  }

  /** Publishes the load of a round. */
  publishRound(): void {
    const { at, isComplete } = this.#published;
    if (!isComplete || this.#options.runtime.now() - at >= MIN_LOAD_INTERVAL_MS) {
      this.#publish();
    }
  }

  #publish(): void {
    const { publish, runtime } = this.#options;
    const now = runtime.now();
    const load = describeLoad(this.#knowledge, now);
    if (load === null) {
      return;
    }
    const isComplete = isLoadComplete(this.#knowledge, now);
    if (!isComplete) {
      this.#incomplete.inc();
    }
    this.#logCompleteness(load, isComplete);
    this.#published = { at: now, open: load.open, isComplete };
    const grants = isComplete && load.open ? this.#decideGrants(load, now) : null;
    publish(grants === null ? load : { ...load, grants });
  }

  #decideGrants(load: GroupLoad, now: number): SlotGrants | null {
    const { grants, limitParameters } = this.#options;
    const params = limitParameters();
    if (grants === undefined || params === null) {
      return null;
    }
    const { limit, writers } = stepSlotLimit(this.#limit, load, params, now);
    this.#limit = limit;
    const ranks = load.active.length - (load.slow?.length ?? 0);
    return grants({
      limit: (ranks > 0 ? ranks : load.active.length) * writers,
      running: sum(load.active) + sum(load.queued),
      passMs: load.passMs ?? Math.max(params.pauseMs, passTime(params.costs, writers)),
      intervalMs: COUNTS_INTERVAL_MS,
    });
  }

  /** Logs a line when the loads become complete or incomplete. */
  #logCompleteness(load: GroupLoad, isComplete: boolean): void {
    if (isComplete === this.#published.isComplete) {
      return;
    }
    const { group, token, epoch, reported, open, passMs, skew } = load;
    this.#options.runtime.log.info(
      { event: 'load', group, token, epoch, reported, isComplete, open, passMs, skew },
      isComplete ? 'load of the group is complete' : 'load of the group is incomplete',
    );
  }
}
