/** Engines that ask for relief in their answers: when they do in a run, and whether entry hosts kept to it. Pure. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  maxAllowedInWindow,
  LIMIT_PROPAGATION_MS,
  maxArrivalsInWindow,
} from '../platform/__tests__/utils/StandInLimits.js';
import { isUnusualAnswer } from './SoakUnusualAnswers.js';
import type { SoakPlanOptions } from './SoakSchedule.js';
import type { SoakFinding, SoakReliefRequest, SoakReliefKind, SoakRecord } from './SoakTypes.js';

/** Needs in one run, and how long each lasts at least, ms: a limit holds only after 3 s. */
const RELIEF_REQUESTS = 3;
const MIN_RELIEF_MS = 6_000;

/** Limits that are named, requests a second. */
const LIMITS = [0.5, 1, 2];

/** Rest that is asked for, s. */
export const BACKOFF_S = 2;

/** What was on its way may reach an engine in its rest for this long, ms; later so many requests may. */
const IN_FLIGHT_MS = 500;
const MAX_IN_BACKOFF = 2;

/** An answer has been passed on this long after its request has reached the engine, late ones too; ms. */
const ANSWER_FORWARDED_MS = 1_500;

/** An engine that leaves gets nothing that was sent this long after its word was passed on, ms. */
const LEAVING_GRACE_MS = 2_000;

/** One engine that asks for relief: which host's, and from when on; ms from the start of load. */
export interface SoakReliefPlan {
  readonly kind: SoakReliefKind;
  readonly host: number;
  readonly perSecond: number;
  readonly at: number;
  readonly forMs: number;
}

/** Needs of a seed. Drawn by themselves, so that the disturbances of a seed stay as they are. */
export function planRelief(
  seed: number,
  { endpoints, durationMs }: SoakPlanOptions,
): SoakReliefPlan[] {
  const rng = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(rng);
  const pick = <T>(items: readonly [T, ...T[]]): T =>
    items[Math.floor(next() * items.length)] ?? items[0];
  return Array.from({ length: RELIEF_REQUESTS }, () => ({
    kind: pick<SoakReliefKind>(['limit', 'limit', 'rest', 'leave']),
    host: 1 + Math.floor(next() * endpoints),
    perSecond: pick(LIMITS as [number, ...number[]]),
    at: Math.round((next() * durationMs) / 2),
    forMs: MIN_RELIEF_MS + Math.round(next() * MIN_RELIEF_MS),
  }));
}

/** An arrival at an engine: from which entry host, and when its caller sent it. */
interface Arrival {
  readonly at: number;
  readonly entry: string;
  readonly sentAt: number;
}

function arrivalsOf(
  { attempts }: SoakRecord,
  items: readonly { readonly id: string; readonly at: number }[],
): readonly Arrival[] {
  const byId = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  return items
    .flatMap(({ id, at }) => {
      const attempt = byId.get(id);
      return attempt === undefined ? [] : [{ at, entry: attempt.entry, sentAt: attempt.sentAt }];
    })
    .sort((a, b) => a.at - b.at);
}

/**
 * Whether anything was done to a host in a time: what it knew may be lost, or held up on its way. Unusual answers are
 * no reason not to keep to what others say.
 */
export function hadFault(
  { injectedFaults }: SoakRecord,
  name: string,
  from: number,
  until: number,
): boolean {
  return injectedFaults.some(
    (event) =>
      event.target === name &&
      !isUnusualAnswer(event.kind) &&
      event.from <= until &&
      event.until >= from - IN_FLIGHT_MS,
  );
}

function finding(rule: string, detail: string): SoakFinding {
  return { rule, detail };
}

type ReliefCheck = (record: SoakRecord, relief: SoakReliefRequest) => readonly SoakFinding[];

/** Arrivals from hosts that an answer has told before, and to which nothing was done since the need began. */
function notifiedArrivals(record: SoakRecord, relief: SoakReliefRequest): readonly Arrival[] {
  const { engine, from, until } = relief;
  const executions = record.executions.filter(
    (execution) => execution.engine === engine && execution.at >= from,
  );
  const arrivals = arrivalsOf(record, executions).filter(({ at }) => at <= until);
  const firstAt = new Map<string, number>();
  arrivals.forEach(({ entry, at }) => firstAt.set(entry, firstAt.get(entry) ?? at));
  return arrivals.filter(({ entry, at }) => {
    const notifiedAt = (firstAt.get(entry) ?? Infinity) + ANSWER_FORWARDED_MS + IN_FLIGHT_MS;
    return at >= notifiedAt && !hadFault(record, entry, from, at);
  });
}

const limitKept: ReliefCheck = (record, relief) => {
  const namingExecutions = record.executions.filter(
    ({ engine, at }) => engine === relief.engine && at >= relief.from,
  );
  const firstNamedAt = Math.min(...namingExecutions.map(({ at }) => at));
  const known = notifiedArrivals(record, relief).filter(
    ({ at }) => at >= firstNamedAt + LIMIT_PROPAGATION_MS,
  );
  const busiest = maxArrivalsInWindow(known.map(({ at }) => at));
  return busiest > maxAllowedInWindow(relief.perSecond)
    ? [
        finding(
          'a limit is kept',
          `${busiest} in 4 s at ${relief.engine}, ${relief.perSecond} a second`,
        ),
      ]
    : [];
};

const backoffKept: ReliefCheck = (record, { engine }) => {
  const refusedArrivals = arrivalsOf(
    record,
    record.refusals.filter((item) => item.engine === engine),
  );
  const counts = refusedArrivals.map(({ at: refusedAt, entry }) => {
    const inBackoff = refusedArrivals.filter(
      (item) =>
        item.entry === entry &&
        item.at > refusedAt + IN_FLIGHT_MS &&
        item.at < refusedAt + BACKOFF_S * 1_000 &&
        !hadFault(record, entry, refusedAt, item.at),
    );
    return inBackoff.length;
  });
  const worst = Math.max(0, ...counts);
  return worst > MAX_IN_BACKOFF
    ? [finding('a rest is kept', `${worst} at ${engine} in a rest`)]
    : [];
};

const leavingKept: ReliefCheck = (record, relief) => {
  const { engine, from } = relief;
  const executions = record.executions.filter(
    (execution) => execution.engine === engine && execution.at >= from,
  );
  const arrivals = arrivalsOf(record, executions);
  const firstAt = new Map<string, number>();
  arrivals.forEach(({ entry, at }) => firstAt.set(entry, firstAt.get(entry) ?? at));
  return arrivals
    .filter(({ entry, at, sentAt }) => {
      const forwardedAt = (firstAt.get(entry) ?? Infinity) + ANSWER_FORWARDED_MS;
      return sentAt > forwardedAt + LEAVING_GRACE_MS && !hadFault(record, entry, from, at);
    })
    .map(({ at }) =>
      finding('an engine’s word that it leaves is kept', `${engine} ${at - from} ms`),
    );
};

const CHECKS: Readonly<Record<SoakReliefKind, ReliefCheck>> = {
  limit: limitKept,
  rest: backoffKept,
  leave: leavingKept,
};

/** All that entry hosts did not keep; a need of an engine whose own host was touched is left out. */
export function checkRelief(record: SoakRecord): readonly SoakFinding[] {
  return record.reliefRequests
    .filter(({ host, from, until }) =>
      [`endpoint-${host}`, `engine-${host}`].every((name) => !hadFault(record, name, from, until)),
    )
    .flatMap((relief) => CHECKS[relief.kind](record, relief));
}
