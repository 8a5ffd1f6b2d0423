/** Engines that ask for relief in their answers: when they do in a run, and whether entry hosts kept to it. Pure. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  maxAllowedInWindow,
  LIMIT_PROPAGATION_MS,
  maxArrivalsInWindow,
} from '../platform/__tests__/utils/StandInLimits.js';
import { isOddity } from './SoakOddities.js';
import type { SoakShape } from './SoakSchedule.js';
import type { SoakFinding, SoakNeed, SoakNeedKind, SoakRecord } from './SoakTypes.js';

/** Needs in one run, and how long each lasts at least, ms: a limit holds only after 3 s. */
const NEEDS = 3;
const LEAST_NEED_MS = 6_000;

/** Limits that are named, requests a second. */
const LIMITS = [0.5, 1, 2];

/** Rest that is asked for, s. */
export const REST_S = 2;

/** What was on its way may reach an engine in its rest for this long, ms; later so many requests may. */
const ON_THE_WAY_MS = 500;
const MOST_IN_REST = 2;

/** An answer has been passed on this long after its request has reached the engine, late ones too; ms. */
const PASSED_ON_MS = 1_500;

/** An engine that leaves gets nothing that was sent this long after its word was passed on, ms. */
const LEAVING_MS = 2_000;

/** One engine that asks for relief: which host's, and from when on; ms from the start of load. */
export interface SoakNeedPlan {
  readonly kind: SoakNeedKind;
  readonly host: number;
  readonly perSecond: number;
  readonly at: number;
  readonly forMs: number;
}

/** Needs of a seed. Drawn by themselves, so that the disturbances of a seed stay as they are. */
export function planNeeds(seed: number, { endpoints, lengthMs }: SoakShape): SoakNeedPlan[] {
  const rng = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(rng);
  const pick = <T>(items: readonly [T, ...T[]]): T =>
    items[Math.floor(next() * items.length)] ?? items[0];
  return Array.from({ length: NEEDS }, () => ({
    kind: pick<SoakNeedKind>(['limit', 'limit', 'rest', 'leave']),
    host: 1 + Math.floor(next() * endpoints),
    perSecond: pick(LIMITS as [number, ...number[]]),
    at: Math.round((next() * lengthMs) / 2),
    forMs: LEAST_NEED_MS + Math.round(next() * LEAST_NEED_MS),
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
export function isTouched(
  { events }: SoakRecord,
  name: string,
  from: number,
  until: number,
): boolean {
  return events.some(
    (event) =>
      event.target === name &&
      !isOddity(event.kind) &&
      event.from <= until &&
      event.until >= from - ON_THE_WAY_MS,
  );
}

function finding(rule: string, detail: string): SoakFinding {
  return { rule, detail };
}

type NeedCheck = (record: SoakRecord, need: SoakNeed) => readonly SoakFinding[];

/** Arrivals from hosts that an answer has told before, and to which nothing was done since the need began. */
function toldArrivals(record: SoakRecord, need: SoakNeed): readonly Arrival[] {
  const { engine, from, until } = need;
  const runs = record.runs.filter((run) => run.engine === engine && run.at >= from);
  const arrivals = arrivalsOf(record, runs).filter(({ at }) => at <= until);
  const firstAt = new Map<string, number>();
  arrivals.forEach(({ entry, at }) => firstAt.set(entry, firstAt.get(entry) ?? at));
  return arrivals.filter(({ entry, at }) => {
    const toldAt = (firstAt.get(entry) ?? Infinity) + PASSED_ON_MS + ON_THE_WAY_MS;
    return at >= toldAt && !isTouched(record, entry, from, at);
  });
}

const limitKept: NeedCheck = (record, need) => {
  const named = record.runs.filter(({ engine, at }) => engine === need.engine && at >= need.from);
  const firstNamed = Math.min(...named.map(({ at }) => at));
  const known = toldArrivals(record, need).filter(
    ({ at }) => at >= firstNamed + LIMIT_PROPAGATION_MS,
  );
  const most = maxArrivalsInWindow(known.map(({ at }) => at));
  return most > maxAllowedInWindow(need.perSecond)
    ? [finding('a limit is kept', `${most} in 4 s at ${need.engine}, ${need.perSecond} a second`)]
    : [];
};

const restKept: NeedCheck = (record, { engine }) => {
  const refused = arrivalsOf(
    record,
    record.refusals.filter((item) => item.engine === engine),
  );
  const worst = refused.map(({ at: asked, entry }) => {
    const inRest = refused.filter(
      (item) =>
        item.entry === entry &&
        item.at > asked + ON_THE_WAY_MS &&
        item.at < asked + REST_S * 1_000 &&
        !isTouched(record, entry, asked, item.at),
    );
    return inRest.length;
  });
  const most = Math.max(0, ...worst);
  return most > MOST_IN_REST ? [finding('a rest is kept', `${most} at ${engine} in a rest`)] : [];
};

const leaveKept: NeedCheck = (record, need) => {
  const { engine, from } = need;
  const runs = record.runs.filter((run) => run.engine === engine && run.at >= from);
  const arrivals = arrivalsOf(record, runs);
  const firstAt = new Map<string, number>();
  arrivals.forEach(({ entry, at }) => firstAt.set(entry, firstAt.get(entry) ?? at));
  return arrivals
    .filter(({ entry, at, sentAt }) => {
      const passedOnAt = (firstAt.get(entry) ?? Infinity) + PASSED_ON_MS;
      return sentAt > passedOnAt + LEAVING_MS && !isTouched(record, entry, from, at);
    })
    .map(({ at }) =>
      finding('an engine’s word that it leaves is kept', `${engine} ${at - from} ms`),
    );
};

const CHECKS: Readonly<Record<SoakNeedKind, NeedCheck>> = {
  limit: limitKept,
  rest: restKept,
  leave: leaveKept,
};

/** All that entry hosts did not keep; a need of an engine whose own host was touched is left out. */
export function checkNeeds(record: SoakRecord): readonly SoakFinding[] {
  return record.needs
    .filter(({ host, from, until }) =>
      [`endpoint-${host}`, `engine-${host}`].every((name) => !isTouched(record, name, from, until)),
    )
    .flatMap((need) => CHECKS[need.kind](record, need));
}
