/** Engines that request relief in their answers: plans when they do, and checks that entry hosts honour it. Pure. */
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

/** Relief requests per run, and the minimum duration of each, ms; a limit is enforced only after 3 s. */
const RELIEF_REQUEST_COUNT = 3;
const MIN_RELIEF_MS = 6_000;

/** Limits that engines name, requests per second. */
const LIMITS = [0.5, 1, 2];

/** Backoff that engines ask for, s. */
export const BACKOFF_S = 2;

/** Requests in flight may reach a refusing engine for this long, ms; later in its backoff at most so many may. */
const IN_FLIGHT_MS = 500;
const MAX_IN_BACKOFF = 2;

/** An entry host has received an answer this long after the request reached the engine, delayed answers too; ms. */
const ANSWER_FORWARDED_MS = 1_500;

/** A leaving engine gets no request that was sent more than this long after its notice was received, ms. */
const LEAVING_GRACE_MS = 2_000;

/** A planned relief request: number of the engine's host, and start (from the start of load) and duration in ms. */
export interface SoakReliefPlan {
  readonly kind: SoakReliefKind;
  readonly host: number;
  readonly perSecond: number;
  readonly at: number;
  readonly forMs: number;
}

/** Relief requests of a seed. They have their own generator, so that the faults of a seed don't change. */
export function planRelief(
  seed: number,
  { endpoints, durationMs }: SoakPlanOptions,
): SoakReliefPlan[] {
  const rng = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(rng);
  const pick = <T>(items: readonly [T, ...T[]]): T =>
    items[Math.floor(next() * items.length)] ?? items[0];
  return Array.from({ length: RELIEF_REQUEST_COUNT }, () => ({
    kind: pick<SoakReliefKind>(['limit', 'limit', 'rest', 'leave']),
    host: 1 + Math.floor(next() * endpoints),
    perSecond: pick(LIMITS as [number, ...number[]]),
    at: Math.round((next() * durationMs) / 2),
    forMs: MIN_RELIEF_MS + Math.round(next() * MIN_RELIEF_MS),
  }));
}

/** Arrival of a request at an engine, the entry host that sent it, and when its caller sent it. */
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
 * Whether a fault was injected into a host in an interval or shortly before it, so that what the host knew may be lost
 * or delayed. Unusual answers don't count: they don't excuse a host from honouring what engines request.
 */
export function hadFault(
  { injectedFaults }: SoakRecord,
  name: string,
  from: number,
  until: number,
): boolean {
  return injectedFaults.some(
    (fault) =>
      fault.target === name &&
      !isUnusualAnswer(fault.kind) &&
      fault.from <= until &&
      fault.until >= from - IN_FLIGHT_MS,
  );
}

function finding(rule: string, detail: string): SoakFinding {
  return { rule, detail };
}

type ReliefCheck = (record: SoakRecord, relief: SoakReliefRequest) => readonly SoakFinding[];

/** Arrivals from entry hosts that an earlier answer has notified, without a fault there since the relief began. */
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

/** Relief requests that entry hosts didn't honour; those of engines whose own host had a fault are left out. */
export function checkRelief(record: SoakRecord): readonly SoakFinding[] {
  return record.reliefRequests
    .filter(({ host, from, until }) =>
      [`endpoint-${host}`, `engine-${host}`].every((name) => !hadFault(record, name, from, until)),
    )
    .flatMap((relief) => CHECKS[relief.kind](record, relief));
}
