/**
 * Starts that a group's coordinator has granted to all entry processes, as used by one of them. Each takes a part of
 * the grants in proportion to its own last reported demand.
 */
import type { DemandRow, SlotGrants } from '../../protocol/index.js';
import type { RequestClass } from './DemandReport.js';
import { rowDemand } from './GroupDemands.js';

/** Part of the starts of one class that this process has. */
interface ClassShare {
  /** Starts per interval. */
  readonly share: number;
  /** Starts that are left, including the fraction carried over; negative for starts taken in advance. */
  readonly balance: number;
  /** Recent starts per ms. */
  readonly ratePerMs: number;
}

/** What this process knows of the grants at one group. */
export interface GrantedSlots {
  /** Grants of the last load; null if it had none. */
  readonly grants: SlotGrants | null;
  /** When that load arrived, ms. */
  readonly loadAt: number;
  /** Rows of the last demand message, and since when such messages have been sent without a break; null for none. */
  readonly reported: readonly DemandRow[];
  readonly reportedAt: number;
  readonly reportingSince: number | null;
  /** Shares by class: a priority, or a capped customer of a priority. */
  readonly shares: ReadonlyMap<string, ClassShare>;
  /** Requests of this process at the group up to which it may replace those that end, without a grant. */
  readonly replaceable: number;
  /** Whether the demand of this process was part of the grants. */
  readonly isCounted: boolean;
}

/** State before the first load. */
export const NO_GRANTS: GrantedSlots = {
  grants: null,
  loadAt: -Infinity,
  reported: [],
  reportedAt: -Infinity,
  reportingSince: null,
  shares: new Map(),
  replaceable: 0,
  isCounted: false,
};

/** Minimum time between two demand messages, ms. */
export const REPORT_INTERVAL_MS = 250;

/** Time after the first demand message until it is part of a load, ms: hubs collect messages for up to 100 ms. */
const COUNTED_AFTER_MS = 150;

/** A process that has sent no message for this long isn't counted any more, ms. */
const UNCOUNTED_AFTER_MS = 1_000;

/** The coordinator is considered lost after this many intervals without a load. */
const LOST_AFTER_INTERVALS = 2;

/** Weight of the newest interval in the rate of a class: the granted starts vary with the requests that end. */
const RATE_WEIGHT = 0.3;

/** Grants below the demand by less than this factor are caused by rounding. */
const FULL_SHARE = 0.999;

/** Fraction that spreads the first balances of the classes of one process. */
const GOLDEN_RATIO = 0.618;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Class by which a request is granted a start: its customer's where that is capped and has a row here. */
function classOf({ grants, reported }: GrantedSlots, request: RequestClass): string {
  const { priority, customer } = request;
  const isSame = (row: RequestClass): boolean =>
    row.priority === priority && row.customer === customer;
  return customer !== '' && grants?.capped.some(isSame) === true && reported.some(isSame)
    ? `${priority} ${customer}`
    : String(priority);
}

/** Starts per interval that this process takes of the grants, by class. */
function sharesOf(state: GrantedSlots, grants: SlotGrants): ReadonlyMap<string, number> {
  const own = new Map<string, number>();
  state.reported.forEach((row) => {
    const key = classOf({ ...state, grants }, row);
    own.set(key, (own.get(key) ?? 0) + rowDemand(row, grants.intervalMs));
  });
  const shareOf = (key: string, granted: number, demand: number): readonly [string, number] => [
    key,
    demand > 0 ? granted * Math.min(1, (own.get(key) ?? 0) / demand) : 0,
  ];
  return new Map([
    ...grants.rows.map(({ priority, granted, demand }) => {
      const capped = grants.capped.filter((row) => row.priority === priority);
      return shareOf(
        String(priority),
        granted - sum(capped.map((row) => row.granted)),
        demand - sum(capped.map((row) => row.demand)),
      );
    }),
    ...grants.capped.map(({ priority, customer, granted, demand }) =>
      shareOf(`${priority} ${customer}`, granted, demand),
    ),
  ]);
}

/**
 * Whether a priority gets all that it demands, and so do the more urgent ones. Its requests may then start in advance
 * of the next interval's share, as arrivals at one process vary more than those at all of them. Otherwise a request
 * of a priority that isn't short of slots would wait half a second for its process's next share.
 */
function mayStartInAdvance({ grants }: Pick<GrantedSlots, 'grants'>, priority: number): boolean {
  return (
    grants?.rows.every(
      (row) => row.priority > priority || row.granted >= row.demand * FULL_SHARE,
    ) === true
  );
}

/**
 * Adds the starts of a new interval. A balance is at most the share of one interval and one request.
 *
 * Balances begin with a random fraction: with hundreds of processes the share of each is far below one, and all would
 * start a request in the same interval.
 */
function addShares(
  state: GrantedSlots,
  grants: SlotGrants,
  random: number,
): ReadonlyMap<string, ClassShare> {
  return new Map(
    [...sharesOf(state, grants)].map(([key, share], i) => {
      const known = state.shares.get(key);
      const isFull = mayStartInAdvance({ grants }, Number(key.split(' ', 1)[0]));
      const left = known?.balance ?? (random + i * GOLDEN_RATIO) % 1;
      const balance = isFull ? Math.max(0, left) : left;
      const ratePerMs = share / grants.intervalMs;
      return [
        key,
        {
          share,
          balance: Math.min(balance + share, share + 1),
          ratePerMs:
            known === undefined
              ? ratePerMs
              : known.ratePerMs + RATE_WEIGHT * (ratePerMs - known.ratePerMs),
        },
      ];
    }),
  );
}

/**
 * Applies the grants of a complete load, or that it has none.
 *
 * @param running Requests of this process at the group.
 * @param random From 0 to 1.
 */
export function applyGrants(
  state: GrantedSlots,
  grants: SlotGrants | null,
  running: number,
  now: number,
  random: number,
): GrantedSlots {
  const { reported, reportedAt, reportingSince } = state;
  if (grants === null) {
    return { ...NO_GRANTS, loadAt: now, reported, reportedAt, reportingSince };
  }
  const isCounted = reportingSince !== null && now - reportingSince >= COUNTED_AFTER_MS;
  const isFirst = state.grants === null || state.isCounted;
  return {
    ...state,
    grants,
    loadAt: now,
    isCounted,
    shares: isCounted ? addShares(state, grants, random) : new Map(),
    replaceable: isCounted || isFirst ? running : state.replaceable,
  };
}

/** Records that a demand message was sent. */
export function recordReport(
  state: GrantedSlots,
  rows: readonly DemandRow[],
  now: number,
): GrantedSlots {
  const isContinued = now - state.reportedAt <= UNCOUNTED_AFTER_MS;
  const reportingSince = isContinued ? (state.reportingSince ?? now) : now;
  return { ...state, reported: rows, reportedAt: now, reportingSince };
}

/** Whether a demand message is due: at an interval, while a request waits or the last load had grants. */
export function isReportDue(state: GrantedSlots, waiting: number, now: number): boolean {
  return (waiting > 0 || state.grants !== null) && now - state.reportedAt >= REPORT_INTERVAL_MS;
}

/**
 * How requests start at a group: `shared`, by an even share of the slots; `granted`, only with a grant; or `replacing`,
 * only in place of one that has ended, as the process isn't counted yet or the coordinator is lost.
 */
export type GrantPhase = 'shared' | 'granted' | 'replacing';

/** The present phase at a group. */
export function grantPhase({ grants, loadAt, isCounted }: GrantedSlots, now: number): GrantPhase {
  if (grants === null) {
    return 'shared';
  }
  const isLost = now - loadAt > LOST_AFTER_INTERVALS * grants.intervalMs;
  return isCounted && !isLost ? 'granted' : 'replacing';
}

/**
 * Number of requests that may start in place of ended ones in phase `replacing`.
 *
 * @param running Requests of this process at the group.
 * @param evenShare This process's even share of the group's slots, which holds where the coordinator is lost.
 */
export function replacementSlots(state: GrantedSlots, running: number, evenShare: number): number {
  const most = state.isCounted ? Math.min(state.replaceable, evenShare) : state.replaceable;
  return Math.max(0, Math.floor(most - running));
}

/** Number of requests like this one that may start now in phase `granted`. */
export function grantedStarts(state: GrantedSlots, request: RequestClass): number {
  const { share, balance } = state.shares.get(classOf(state, request)) ?? { share: 0, balance: 0 };
  const advance = mayStartInAdvance(state, request.priority) ? share + 1 : 0;
  return Math.max(0, Math.floor(balance + advance + 1e-9));
}

/** Starts per ms that requests like this one get in phase `granted`. */
export function grantedRate(state: GrantedSlots, request: RequestClass): number {
  return state.shares.get(classOf(state, request))?.ratePerMs ?? 0;
}

/** Grants at the groups of a service that are in phase `granted`, by group. */
export type GroupGrants = ReadonlyMap<string, GrantedSlots>;

/** Takes a grant for a request, at the group that has most for it; null if there is none. */
export function takeGrant(
  groups: GroupGrants,
  request: RequestClass,
): { readonly groups: GroupGrants; readonly group: string } | null {
  const found = [...groups]
    .map(([group, state]) => ({ group, state, starts: grantedStarts(state, request) }))
    .reduce<{ group: string; state: GrantedSlots; starts: number } | null>(
      (best, item) => (item.starts > (best?.starts ?? 0) ? item : best),
      null,
    );
  if (found === null) {
    return null;
  }
  const { group, state } = found;
  const key = classOf(state, request);
  const known = state.shares.get(key) ?? { share: 0, balance: 0, ratePerMs: 0 };
  const shares = new Map(state.shares).set(key, { ...known, balance: known.balance - 1 });
  return { groups: new Map(groups).set(group, { ...state, shares }), group };
}

/** Whether two requests are granted starts from the same shares. */
export function haveSameShares(groups: GroupGrants, a: RequestClass, b: RequestClass): boolean {
  return (
    a.priority === b.priority &&
    (a.customer === b.customer ||
      [...groups.values()].every((state) => classOf(state, a) === classOf(state, b)))
  );
}
