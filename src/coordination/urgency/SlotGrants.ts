/**
 * Decides how many requests of each priority and customer may start at a group in the next interval.
 *
 * Where the entry processes share the slots evenly, each orders only its own queue, so that under overload a slot
 * goes to a less urgent request at one process while more urgent ones wait at another. Here one process distributes
 * the starts over the demand of all of them.
 */
import type { CappedGrantRow, EngineCosts, GrantRow, SlotGrants } from '../../protocol/index.js';
import { generationTime } from '../EngineModel.js';

/** Use of a group's slots, from which the grants of the next interval are decided. */
export interface GroupUsage {
  /** Maximum number of requests that the group should run. */
  readonly limit: number;
  /** Running requests, and those that wait at ranks. */
  readonly running: number;
  /** Duration of a pass, ms. */
  readonly passMs: number;
  /** Time until the next load is published, ms. */
  readonly intervalMs: number;
}

/** Requests of one priority and customer, over all entry processes, that want to start in the next interval. */
export interface CustomerDemand {
  readonly priority: number;
  /** Empty for the customers without a row of their own. */
  readonly customer: string;
  readonly demand: number;
}

/**
 * Part of its proportional share that each priority gets before the rest is distributed by priority. No class should
 * be served less than a quarter as often as the mean; the difference leaves room for rounding and late reports.
 */
const MIN_SHARE = 0.3;

/** Grants below the demand by less than this are caused by rounding. */
const EPSILON = 1e-6;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Number of requests that may start in the interval: the free slots, and those that become free, from the time to
 * write the usual answer.
 */
export function startableRequests(usage: GroupUsage, costs: EngineCosts): number {
  const { limit, running, passMs, intervalMs } = usage;
  const writeMs = Math.max(1, generationTime(costs, costs.usualAnswer, passMs));
  return Math.max(0, limit - running + (running * intervalMs) / writeMs);
}

/** Level up to which each demand is met, so that the amounts met add up to `amount`; infinite if all are met. */
function fairLevel(
  demands: readonly { readonly demand: number; readonly weight: number }[],
  amount: number,
): number {
  const sorted = [...demands].sort((a, b) => a.demand / a.weight - b.demand / b.weight);
  let left = amount;
  let weightLeft = sum(sorted.map(({ weight }) => weight));
  const limiting = sorted.find(({ demand, weight }) => {
    if (demand > (left * weight) / weightLeft + EPSILON) {
      return true;
    }
    left -= demand;
    weightLeft -= weight;
    return false;
  });
  return limiting === undefined ? Infinity : left / weightLeft;
}

/**
 * Grants of the customers of one priority that are above the fair level. The row `''` counts as many customers, each
 * as large as the smallest named one: at its host none of them is larger.
 */
function capCustomers(
  priority: number,
  customers: readonly CustomerDemand[],
  granted: number,
): readonly CappedGrantRow[] {
  const named = customers.filter(({ customer, demand }) => customer !== '' && demand > 0);
  const smallest = Math.min(...named.map(({ demand }) => demand));
  const weighted = customers
    .filter(({ demand }) => demand > 0)
    .map(({ customer, demand }) => ({
      demand,
      weight: customer === '' && named.length > 0 ? Math.max(1, demand / smallest) : 1,
    }));
  const level = fairLevel(weighted, granted);
  return named
    .filter(({ demand }) => demand > level + EPSILON)
    .map(({ customer, demand }) => ({ priority, customer, demand, granted: level }));
}

/** Grants by priority: at least {@link MIN_SHARE} of the proportional share of each, the rest by urgency. */
function grantPriorities(
  demands: ReadonlyMap<number, number>,
  capacity: number,
): readonly GrantRow[] {
  const total = sum([...demands.values()]);
  const floorOf = (demand: number): number => (MIN_SHARE * capacity * demand) / total;
  let left = capacity * (1 - MIN_SHARE);
  return [...demands]
    .sort(([a], [b]) => a - b)
    .map(([priority, demand]) => {
      const more = Math.min(left, demand - floorOf(demand));
      left -= more;
      return { priority, demand, granted: floorOf(demand) + more };
    });
}

/** Distributes the starts of an interval over the demand; null if there are enough for all of it. */
export function decideGrants(
  demands: readonly CustomerDemand[],
  capacity: number,
  intervalMs: number,
): SlotGrants | null {
  const byPriority = new Map<number, number>();
  demands.forEach(({ priority, demand }) =>
    byPriority.set(priority, (byPriority.get(priority) ?? 0) + demand),
  );
  if (sum([...byPriority.values()]) <= capacity) {
    return null;
  }
  const rows = grantPriorities(byPriority, capacity);
  const capped = rows.flatMap(({ priority, demand, granted }) =>
    granted >= demand - EPSILON
      ? []
      : capCustomers(
          priority,
          demands.filter((item) => item.priority === priority),
          granted,
        ),
  );
  return { intervalMs, rows, capped };
}

/**
 * Reduces grants to what may start where only some ranks of the group are usable, such as while a zone is evacuated:
 * the coordinator counts the slots of all ranks. Every entry process does so alike, from the same load.
 */
export function limitGrants(grants: SlotGrants, capacity: number): SlotGrants {
  if (sum(grants.rows.map(({ granted }) => granted)) <= capacity) {
    return grants;
  }
  const byPriority = new Map(grants.rows.map(({ priority, demand }) => [priority, demand]));
  const rows = grantPriorities(byPriority, capacity);
  const ratioOf = (priority: number): number => {
    const find = (list: readonly GrantRow[]): number =>
      list.find((row) => row.priority === priority)?.granted ?? 0;
    return Math.min(1, find(rows) / Math.max(EPSILON, find(grants.rows)));
  };
  const capped = grants.capped.map((row) => ({
    ...row,
    granted: row.granted * ratioOf(row.priority),
  }));
  return { ...grants, rows, capped };
}
