/** Demand for a group's slots at all entry processes, as its coordinator knows it from their messages. */
import type { GroupDemand } from '../../protocol/index.js';
import type { CustomerDemand } from './SlotGrants.js';

interface HostDemand {
  readonly rows: GroupDemand['rows'];
  readonly receivedAt: number;
}

/** The last message of each entry process, by its id. */
export type GroupDemands = ReadonlyMap<string, HostDemand>;

/**
 * Messages older than this don't count, ms: each process sends one every 250 ms, so this one has nothing to report any
 * more, has ended or is cut off.
 */
export const DEMAND_TTL_MS = 1_000;

/** Records messages; each replaces the last one of its process. */
export function recordDemands(
  state: GroupDemands,
  demands: readonly GroupDemand[],
  now: number,
): GroupDemands {
  const next = new Map(
    [...state].filter(([, { receivedAt }]) => now - receivedAt <= DEMAND_TTL_MS),
  );
  demands.forEach(({ host, rows }) => next.set(host, { rows, receivedAt: now }));
  return next;
}

/** Demand in the next interval by priority and customer, and how old the oldest message in it is. */
export interface DemandSum {
  readonly demands: readonly CustomerDemand[];
  readonly hosts: number;
  readonly waiting: number;
  readonly oldestAgeMs: number;
}

/** Requests of a row that want to start in the next interval: those that wait, and the arrivals expected in it. */
export function rowDemand(
  { waiting, perSecond }: Pick<GroupDemand['rows'][number], 'waiting' | 'perSecond'>,
  intervalMs: number,
): number {
  return waiting + (perSecond * intervalMs) / 1_000;
}

/** Adds up the demand of all processes whose last message still counts. */
export function sumDemands(state: GroupDemands, intervalMs: number, now: number): DemandSum {
  const hosts = [...state.values()].filter(({ receivedAt }) => now - receivedAt <= DEMAND_TTL_MS);
  const byKey = new Map<string, CustomerDemand>();
  hosts.forEach(({ rows }) =>
    rows.forEach((row) => {
      const { priority, customer } = row;
      const key = `${priority} ${customer}`;
      const demand = (byKey.get(key)?.demand ?? 0) + rowDemand(row, intervalMs);
      byKey.set(key, { priority, customer, demand });
    }),
  );
  const rows = hosts.flatMap((host) => host.rows);
  return {
    demands: [...byKey.values()],
    hosts: hosts.length,
    waiting: rows.reduce((total, { waiting }) => total + waiting, 0),
    oldestAgeMs: hosts.reduce((oldest, { receivedAt }) => Math.max(oldest, now - receivedAt), 0),
  };
}
