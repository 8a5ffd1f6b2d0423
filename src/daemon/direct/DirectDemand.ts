/** Coordinator's side of admission by urgency: collects the demand of the entry processes and decides the grants. */
import { Gauge } from 'prom-client';
import {
  decideGrants,
  recordDemands,
  startableRequests,
  sumDemands,
  type DemandSum,
  type GroupDemands,
  type GroupUsage,
} from '../../coordination/index.js';
import {
  isGroupDemand,
  type EngineCosts,
  type GroupDemand,
  type SlotGrants,
} from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** Options of a {@link DirectDemand}. */
export interface DemandOptions {
  readonly group: string;
  readonly runtime: Runtime;
  /** Costs of the group's engines; null until a configuration has been read. */
  readonly costs: () => EngineCosts | null;
}

/** Minimum time between two log lines, ms. */
const LOG_INTERVAL_MS = 1_000;

/** Grants below the demand by less than this factor are caused by rounding. */
const FULL_SHARE = 0.999;

/** Part of the interval after a decision in which a further load carries no new grants. */
const REPEAT_SHARE = 0.5;

/** Age of a decision from which the gauges no longer show it, ms: several intervals between loads. */
const DECISION_TTL_MS = 1_500;

interface Decision {
  readonly grants: SlotGrants;
  readonly at: number;
}

/**
 * Grants for a load that follows the last one at once, since the group has opened: no further starts. Priorities that
 * get all that they demand still do.
 */
function withoutStarts({ intervalMs, rows }: SlotGrants): SlotGrants {
  return {
    intervalMs,
    rows: rows.map(({ priority, demand, granted }) => ({
      priority,
      demand: granted < demand * FULL_SHARE ? demand : 0,
      granted: 0,
    })),
    capped: [],
  };
}

/** Demand for the slots of one group, as known by its coordinator. */
export class DirectDemand {
  readonly #options: DemandOptions;

  #demands: GroupDemands = new Map();

  #decision: Decision | null = null;

  #loggedAt = -Infinity;

  #wasOverloaded = false;

  constructor(options: DemandOptions) {
    this.#options = options;
    const rows = (): SlotGrants['rows'] => this.#recentRows();
    const registers = [options.runtime.registry];
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_demanded_requests',
      help: 'Requests that want to start in the interval of the last load with grants, by priority',
      labelNames: ['priority'],
      registers,
      collect() {
        this.reset();
        rows().forEach(({ priority, demand }) => this.set({ priority }, demand));
      },
    });
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_granted_requests',
      help: 'Requests that may start in the interval of the last load with grants, by priority',
      labelNames: ['priority'],
      registers,
      collect() {
        this.reset();
        rows().forEach(({ priority, granted }) => this.set({ priority }, granted));
      },
    });
  }

  /** Records messages that a control process has passed on. Invalid ones and those for other groups aren't used. */
  onDemands(params: unknown): void {
    const { group, runtime } = this.#options;
    const all: readonly unknown[] = Array.isArray(params) ? params : [];
    const used = all.filter(
      (item): item is GroupDemand => isGroupDemand(item) && item.group === group,
    );
    if (used.length < all.length || !Array.isArray(params)) {
      runtime.log.warn(
        { event: 'demand_invalid', group, dropped: all.length - used.length },
        'demand messages are invalid and are not used',
      );
    }
    this.#demands = recordDemands(this.#demands, used, runtime.now());
  }

  /** Rows of the last decision; none once another process coordinates the group. */
  #recentRows(): SlotGrants['rows'] {
    const { now } = this.#options.runtime;
    const decision = this.#decision;
    return decision !== null && now() - decision.at <= DECISION_TTL_MS ? decision.grants.rows : [];
  }

  /** Decides how many requests may start until the next load; null while there are slots for all. */
  grants(usage: GroupUsage): SlotGrants | null {
    const now = this.#options.runtime.now();
    const last = this.#decision;
    if (last !== null && now - last.at < usage.intervalMs * REPEAT_SHARE) {
      return withoutStarts(last.grants);
    }
    const costs = this.#options.costs();
    const demand = sumDemands(this.#demands, usage.intervalMs, now);
    const startable = costs === null ? 0 : startableRequests(usage, costs);
    const grants =
      costs === null ? null : decideGrants(demand.demands, startable, usage.intervalMs);
    this.#decision = grants === null ? null : { grants, at: now };
    this.#log(usage, demand, startable, grants);
    return grants;
  }

  /** Logs when grants begin and end, and at an interval in between. */
  #log(usage: GroupUsage, demand: DemandSum, startable: number, grants: SlotGrants | null): void {
    const { group, runtime } = this.#options;
    const now = runtime.now();
    const isOverloaded = grants !== null;
    const isDue = isOverloaded || this.#wasOverloaded;
    if (!isDue || now - this.#loggedAt < LOG_INTERVAL_MS) {
      return;
    }
    this.#wasOverloaded = isOverloaded;
    this.#loggedAt = now;
    runtime.log.info(
      {
        event: 'grants',
        group,
        rows: (grants?.rows ?? []).map((row) => ({
          priority: row.priority,
          demand: Number(row.demand.toFixed(1)),
          granted: Number(row.granted.toFixed(1)),
        })),
        capped: grants?.capped.length ?? 0,
        startable: Math.round(startable),
        limit: Math.round(usage.limit),
        running: Math.round(usage.running),
        hosts: demand.hosts,
        waiting: Math.round(demand.waiting),
        oldestMs: Math.round(demand.oldestAgeMs),
      },
      isOverloaded ? 'starts granted by urgency' : 'slots are sufficient again',
    );
  }
}
