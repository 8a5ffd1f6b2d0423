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
  readonly advertisedAt: number;
  /** When an answer to this process last named a limit, and which. */
  readonly observedAt: number;
  readonly observedPerSecond: number | null;
}

/** All limits, by life; those that are lifted are kept, so that late news of them changes nothing. */
export type LimitsState = ReadonlyMap<IncarnationKey, EndpointLimit>;

/** No endpoint has named a limit. */
export const NO_LIMITS: LimitsState = new Map();

/** What a process knew of an endpoint's limit when it sent a request. */
export interface LimitTimestamp {
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
export const LIMIT_TTL_MS = 600_000;
const CONFIRM_INTERVAL_MS = 60_000;

/**
 * A process that an answer has named a limit to within this time doesn't believe others that it is lifted: their
 * proof may be the older one. In ms.
 */
const DISTRUST_LIFT_MS = 2_000;

/** Limits that are kept; more endpoints than any service has. */
export const MAX_LIMITS = 4_096;

/** Limits in one message. */
const MAX_RECORDS_PER_MESSAGE = 64;

/** The stricter of two; null is no limit. */
function stricter(a: number | null, b: number | null): number | null {
  return a === null || b === null ? (a ?? b) : Math.min(a, b);
}

/** The clock by which a request to an endpoint is marked when it is sent. */
export function clockOf(state: LimitsState, incarnationKey: IncarnationKey): number {
  return state.get(incarnationKey)?.clock ?? 0;
}

function setLimit(state: LimitsState, limit: EndpointLimit): LimitsStep {
  const known = state.get(limit.life);
  const isUpdate = known?.clock !== limit.clock || known.perSecond !== limit.perSecond;
  if (known === undefined && state.size >= MAX_LIMITS) {
    return { state, changed: [] };
  }
  return { state: new Map(state).set(limit.life, limit), changed: isUpdate ? [limit] : [] };
}

function mergeRecord(state: LimitsState, record: LimitRecord, now: number): LimitsStep {
  const { life: incarnationKey, clock, perSecond, ageMs } = record;
  const known = state.get(incarnationKey);
  if (known === undefined) {
    const limit = {
      life: incarnationKey,
      clock,
      perSecond,
      advertisedAt: now - ageMs,
      observedAt: -Infinity,
      observedPerSecond: null,
    };
    return setLimit(state, limit);
  }
  if (clock < known.clock) {
    return { state, changed: [] };
  }
  if (clock === known.clock) {
    const strict = stricter(known.perSecond, perSecond);
    return strict === known.perSecond
      ? { state, changed: [] }
      : setLimit(state, { ...known, perSecond: strict, advertisedAt: now - ageMs });
  }
  const isLiftDistrusted = perSecond === null && now - known.observedAt < DISTRUST_LIFT_MS;
  return setLimit(state, {
    ...known,
    clock,
    perSecond: isLiftDistrusted ? known.observedPerSecond : perSecond,
    advertisedAt: now - ageMs,
  });
}

/** Takes another process's news, or its whole set. */
export function mergeLimits(state: LimitsState, { records }: LimitNews, now: number): LimitsStep {
  return records
    .filter(({ ageMs }) => ageMs < LIMIT_TTL_MS)
    .reduce<LimitsStep>(
      (step, record) => {
        const next = mergeRecord(step.state, record, now);
        return { state: next.state, changed: [...step.changed, ...next.changed] };
      },
      { state, changed: [] },
    );
}

function applyLimit(
  state: LimitsState,
  incarnationKey: IncarnationKey,
  sent: LimitTimestamp,
  perSecond: number,
  now: number,
): LimitsStep {
  const known = state.get(incarnationKey);
  const observed = { observedAt: now, observedPerSecond: perSecond };
  if (known === undefined) {
    return setLimit(state, {
      life: incarnationKey,
      clock: 1,
      perSecond,
      advertisedAt: now,
      ...observed,
    });
  }
  const isLater = sent.clock === known.clock && sent.at >= known.observedAt;
  const isDue = now - known.advertisedAt > CONFIRM_INTERVAL_MS;
  if (isLater && (isDue || perSecond !== known.perSecond)) {
    return setLimit(state, {
      ...known,
      clock: known.clock + 1,
      perSecond,
      advertisedAt: now,
      ...observed,
    });
  }
  const strict = stricter(known.perSecond, perSecond);
  return setLimit(state, { ...known, perSecond: strict, ...observed });
}

function applyNoLimit(
  state: LimitsState,
  incarnationKey: IncarnationKey,
  sent: LimitTimestamp,
  now: number,
): LimitsStep {
  const known = state.get(incarnationKey);
  const isLimited = known !== undefined && known.perSecond !== null;
  return isLimited && sent.clock === known.clock && sent.at >= known.observedAt
    ? setLimit(state, { ...known, clock: known.clock + 1, perSecond: null, advertisedAt: now })
    : { state, changed: [] };
}

/** Takes what an answer of an endpoint names; `sent` is the mark of its request. */
export function applyAdvertisedLimit(
  state: LimitsState,
  incarnationKey: IncarnationKey,
  sent: LimitTimestamp,
  limit: NamedLimit,
  now: number,
): LimitsStep {
  if (limit === 'unreadable') {
    return { state, changed: [] };
  }
  return limit === 'none'
    ? applyNoLimit(state, incarnationKey, sent, now)
    : applyLimit(state, incarnationKey, sent, limit, now);
}

/** Forgets what is too old; the same state where nothing is. */
export function dropExpiredLimits(state: LimitsState, now: number): LimitsState {
  const kept = [...state].filter(([, { advertisedAt }]) => now - advertisedAt < LIMIT_TTL_MS);
  return kept.length === state.size ? state : new Map(kept);
}

/** Stands for a whole set: two processes that hold the same have the same. 0 for an empty one. */
export function hashLimits(state: LimitsState): number {
  const lines = [...state.values()]
    .map(
      ({ life: incarnationKey, clock, perSecond }) =>
        `${incarnationKey} ${clock} ${perSecond ?? ''}`,
    )
    .sort();
  return lines.length === 0 ? 0 : hashText(lines.join('\n'));
}

/** Limits as they are told to another process, in messages of a bounded size; one at least. */
export function toLimitUpdates(
  state: LimitsState,
  limits: readonly EndpointLimit[],
  now: number,
): readonly LimitNews[] {
  const hash = hashLimits(state);
  const records = limits.map(({ life, clock, perSecond, advertisedAt }) => ({
    life,
    clock,
    perSecond,
    ageMs: now - advertisedAt,
  }));
  const messages = Math.max(1, Math.ceil(records.length / MAX_RECORDS_PER_MESSAGE));
  return Array.from({ length: messages }, (_item, i) => ({
    records: records.slice(i * MAX_RECORDS_PER_MESSAGE, (i + 1) * MAX_RECORDS_PER_MESSAGE),
    hash,
  }));
}
