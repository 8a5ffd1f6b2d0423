/**
 * Limits that endpoints have named, as every entry and control process remembers them.
 *
 * A set that merges: of two records of a life the one with the greater logical clock holds, and of two with the same
 * clock the stricter. A record gets a greater clock than another only where it is proven to be later: the request
 * whose answer named it was sent by a process that knew the other. What can't be proven errs towards the limit.
 */
import type { LimitNews, LimitRecord, NamedLimit } from '../protocol/index.js';
import type { IncarnationKey } from './EndpointCrashes.js';
import { hashText } from './RoutingHash.js';

/** A limit as this process holds it; times in ms on the local monotonic clock. */
export interface EndpointLimit extends Omit<LimitRecord, 'ageMs'> {
  /** When it was named, as far as is known here. */
  readonly namedAt: number;
  /** When an answer to this process last named a limit, and which. */
  readonly ownAt: number;
  readonly own: number | null;
}

/** All limits, by life; those that are lifted are kept, so that late news of them changes nothing. */
export type LimitsState = ReadonlyMap<IncarnationKey, EndpointLimit>;

/** No endpoint has named a limit. */
export const NO_LIMITS: LimitsState = new Map();

/** What a process knew of an endpoint's limit when it sent a request. */
export interface LimitMark {
  readonly clock: number;
  /** When it was sent, ms on the local monotonic clock. */
  readonly at: number;
}

/** A set after a change, with the limits that are news. */
export interface LimitsStep {
  readonly state: LimitsState;
  readonly changed: readonly EndpointLimit[];
}

/** A limit that nobody has confirmed for this long is forgotten, and one that holds is confirmed this often; ms. */
export const LIMIT_MS = 600_000;
const CONFIRM_MS = 60_000;

/**
 * A process that an answer has named a limit to within this time doesn't believe others that it is lifted: their
 * proof may be the older one. In ms.
 */
const DOUBT_MS = 2_000;

/** Limits that are kept; more endpoints than any service has. */
export const MOST_LIMITS = 4_096;

/** Limits in one message. */
const RECORDS_A_MESSAGE = 64;

/** The stricter of two; null is no limit. */
function stricter(a: number | null, b: number | null): number | null {
  return a === null || b === null ? (a ?? b) : Math.min(a, b);
}

/** The clock by which a request to an endpoint is marked when it is sent. */
export function clockOf(state: LimitsState, life: IncarnationKey): number {
  return state.get(life)?.clock ?? 0;
}

function replace(state: LimitsState, limit: EndpointLimit): LimitsStep {
  const known = state.get(limit.life);
  const isNews = known?.clock !== limit.clock || known.perSecond !== limit.perSecond;
  if (known === undefined && state.size >= MOST_LIMITS) {
    return { state, changed: [] };
  }
  return { state: new Map(state).set(limit.life, limit), changed: isNews ? [limit] : [] };
}

function mergeOne(state: LimitsState, record: LimitRecord, now: number): LimitsStep {
  const { life, clock, perSecond, ageMs } = record;
  const known = state.get(life);
  if (known === undefined) {
    const limit = { life, clock, perSecond, namedAt: now - ageMs, ownAt: -Infinity, own: null };
    return replace(state, limit);
  }
  if (clock < known.clock) {
    return { state, changed: [] };
  }
  if (clock === known.clock) {
    const strict = stricter(known.perSecond, perSecond);
    return strict === known.perSecond
      ? { state, changed: [] }
      : replace(state, { ...known, perSecond: strict, namedAt: now - ageMs });
  }
  const isDoubted = perSecond === null && now - known.ownAt < DOUBT_MS;
  return replace(state, {
    ...known,
    clock,
    perSecond: isDoubted ? known.own : perSecond,
    namedAt: now - ageMs,
  });
}

/** Takes another process's news, or its whole set. */
export function mergeLimits(state: LimitsState, { records }: LimitNews, now: number): LimitsStep {
  return records
    .filter(({ ageMs }) => ageMs < LIMIT_MS)
    .reduce<LimitsStep>(
      (step, record) => {
        const next = mergeOne(step.state, record, now);
        return { state: next.state, changed: [...step.changed, ...next.changed] };
      },
      { state, changed: [] },
    );
}

function takeLimit(
  state: LimitsState,
  life: IncarnationKey,
  sent: LimitMark,
  perSecond: number,
  now: number,
): LimitsStep {
  const known = state.get(life);
  const own = { ownAt: now, own: perSecond };
  if (known === undefined) {
    return replace(state, { life, clock: 1, perSecond, namedAt: now, ...own });
  }
  const isLater = sent.clock === known.clock && sent.at >= known.ownAt;
  const isDue = now - known.namedAt > CONFIRM_MS;
  if (isLater && (isDue || perSecond !== known.perSecond)) {
    return replace(state, { ...known, clock: known.clock + 1, perSecond, namedAt: now, ...own });
  }
  const strict = stricter(known.perSecond, perSecond);
  return replace(state, { ...known, perSecond: strict, ...own });
}

function takeNone(
  state: LimitsState,
  life: IncarnationKey,
  sent: LimitMark,
  now: number,
): LimitsStep {
  const known = state.get(life);
  const isLimited = known !== undefined && known.perSecond !== null;
  return isLimited && sent.clock === known.clock && sent.at >= known.ownAt
    ? replace(state, { ...known, clock: known.clock + 1, perSecond: null, namedAt: now })
    : { state, changed: [] };
}

/** Takes what an answer of an endpoint names; `sent` is the mark of its request. */
export function takeNamedLimit(
  state: LimitsState,
  life: IncarnationKey,
  sent: LimitMark,
  limit: NamedLimit,
  now: number,
): LimitsStep {
  if (limit === 'unreadable') {
    return { state, changed: [] };
  }
  return limit === 'none'
    ? takeNone(state, life, sent, now)
    : takeLimit(state, life, sent, limit, now);
}

/** Forgets what is too old; the same state where nothing is. */
export function forgetLimits(state: LimitsState, now: number): LimitsState {
  const kept = [...state].filter(([, { namedAt }]) => now - namedAt < LIMIT_MS);
  return kept.length === state.size ? state : new Map(kept);
}

/** Stands for a whole set: two processes that hold the same have the same. 0 for an empty one. */
export function hashLimits(state: LimitsState): number {
  const lines = [...state.values()]
    .map(({ life, clock, perSecond }) => `${life} ${clock} ${perSecond ?? ''}`)
    .sort();
  return lines.length === 0 ? 0 : hashText(lines.join('\n'));
}

/** Limits as they are told to another process, in messages of a bounded size; one at least. */
export function writeLimits(
  state: LimitsState,
  limits: readonly EndpointLimit[],
  now: number,
): readonly LimitNews[] {
  const hash = hashLimits(state);
  const records = limits.map(({ life, clock, perSecond, namedAt }) => ({
    life,
    clock,
    perSecond,
    ageMs: now - namedAt,
  }));
  const messages = Math.max(1, Math.ceil(records.length / RECORDS_A_MESSAGE));
  return Array.from({ length: messages }, (_item, i) => ({
    records: records.slice(i * RECORDS_A_MESSAGE, (i + 1) * RECORDS_A_MESSAGE),
    hash,
  }));
}
