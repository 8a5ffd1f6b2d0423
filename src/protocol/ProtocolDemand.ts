/** Demand for the slots of a group, which entry processes report to the group's coordinator by way of the hubs. */

/** Requests of one priority and customer at one entry process. */
export interface DemandRow {
  readonly priority: number;
  /** Empty for all customers that have no row of their own, and for requests without a customer. */
  readonly customer: string;
  /** Number of requests that wait for a slot. */
  readonly waiting: number;
  /** Arrivals over the last second, retries included. */
  readonly perSecond: number;
}

/** Demand of one entry process for one group; replaces the last one of that process. */
export interface GroupDemand {
  readonly group: string;
  /** Id of the entry process. */
  readonly host: string;
  readonly rows: readonly DemandRow[];
}

/** Maximum number of rows of one priority in a {@link GroupDemand}. */
export const MAX_ROWS_PER_PRIORITY = 8;

/** Maximum number of rows of a {@link GroupDemand}: one with more isn't from this system. */
const MAX_ROWS = 128;

function isAmount(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isDemandRow(value: unknown): value is DemandRow {
  const { priority, customer, waiting, perSecond } = (value ?? {}) as Partial<DemandRow>;
  return (
    // A document may have priorities below 0, which are more urgent still.
    Number.isFinite(priority) &&
    typeof customer === 'string' &&
    isAmount(waiting) &&
    isAmount(perSecond)
  );
}

/** Whether a value received from another process is a {@link GroupDemand} with valid fields. */
export function isGroupDemand(value: unknown): value is GroupDemand {
  const { group, host, rows } = (value ?? {}) as Partial<GroupDemand>;
  return (
    typeof group === 'string' &&
    typeof host === 'string' &&
    host !== '' &&
    Array.isArray(rows) &&
    rows.length <= MAX_ROWS &&
    rows.every(isDemandRow)
  );
}
