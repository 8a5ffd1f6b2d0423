/** Demand of one entry process for a service: its waiting requests and recent arrivals, as rows of a message. */
import { MAX_ROWS_PER_PRIORITY, type DemandRow } from '../../protocol/index.js';

/** Priority and customer of a request. */
export interface RequestClass {
  readonly priority: number;
  readonly customer: string;
}

/** A request that arrived in the last second. */
export interface Arrival extends RequestClass {
  readonly at: number;
}

/** Window over which arrivals are counted, ms. */
const ARRIVAL_WINDOW_MS = 1_000;

/** Adds an arrival, and drops those that are too old. */
export function recordArrival(arrivals: readonly Arrival[], arrival: Arrival): readonly Arrival[] {
  return [...arrivals.filter(({ at }) => arrival.at - at <= ARRIVAL_WINDOW_MS), arrival];
}

type MutableRow = { -readonly [Key in keyof DemandRow]: DemandRow[Key] };

/** Keeps the rows of the customers with most waiting requests, and sums the others under `''`. */
function limitRows(rows: readonly DemandRow[]): readonly DemandRow[] {
  const named = rows
    .filter(({ customer }) => customer !== '')
    .sort((a, b) => b.waiting - a.waiting || b.perSecond - a.perSecond);
  const unnamed = rows.filter(({ customer }) => customer === '');
  const isWithinLimit = named.length + unnamed.length <= MAX_ROWS_PER_PRIORITY;
  const kept = isWithinLimit ? named : named.slice(0, MAX_ROWS_PER_PRIORITY - 1);
  const rest = [...named.slice(kept.length), ...unnamed];
  const [first] = rest;
  return first === undefined
    ? kept
    : [
        ...kept,
        {
          priority: first.priority,
          customer: '',
          waiting: rest.reduce((total, { waiting }) => total + waiting, 0),
          perSecond: rest.reduce((total, { perSecond }) => total + perSecond, 0),
        },
      ];
}

/**
 * Rows of the demand for each of `groups` open groups, over which it is split evenly.
 *
 * @param waiting The waiting requests of the service.
 */
export function demandRows(
  waiting: readonly RequestClass[],
  arrivals: readonly Arrival[],
  groups: number,
  now: number,
): readonly DemandRow[] {
  const part = 1 / Math.max(1, groups);
  const rows = new Map<string, MutableRow>();
  const rowOf = ({ priority, customer }: RequestClass): MutableRow => {
    const key = `${priority} ${customer}`;
    const row = rows.get(key) ?? { priority, customer, waiting: 0, perSecond: 0 };
    rows.set(key, row);
    return row;
  };
  waiting.forEach((request) => {
    rowOf(request).waiting += part;
  });
  arrivals
    .filter(({ at }) => now - at <= ARRIVAL_WINDOW_MS)
    .forEach((arrival) => {
      rowOf(arrival).perSecond += part;
    });
  const priorities = [...new Set([...rows.values()].map(({ priority }) => priority))];
  return priorities.flatMap((priority) =>
    limitRows([...rows.values()].filter((row) => row.priority === priority)),
  );
}
