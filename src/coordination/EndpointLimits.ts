/**
 * Rate limits that endpoints have advertised, as every entry and control process stores them.
 *
 * The sets of two processes are merged: of two records of one incarnation the one with the greater logical clock wins,
 * and with equal clocks the stricter limit. A record gets a greater clock than another only if it is proven to be
 * later, that is, if the request whose answer advertised it was sent by a process that knew the other record. Where
 * the order can't be proven, the stricter limit holds.
 */
import type { LimitUpdate, LimitRecord, AdvertisedLimit } from '../protocol/index.js';
import type { IncarnationKey } from './EndpointCrashes.js';
import { hashText } from './RoutingHash.js';

/** A limit as this process stores it; times in ms on the local monotonic clock. */
export interface EndpointLimit extends Omit<LimitRecord, 'ageMs'> {
  /** When it was last advertised, as far as this process knows. */
  readonly advertisedAt: number;
  /** When an answer to this process last advertised a limit, and that limit; -Infinity and null before. */
  readonly observedAt: number;
  readonly observedPerSecond: number | null;
}

/** All limits by incarnation. Lifted limits are kept, so that late updates do not bring them back. */
export type LimitsState = ReadonlyMap<IncarnationKey, EndpointLimit>;

/** No endpoint has advertised a limit. */
export const NO_LIMITS: LimitsState = new Map();

/** When a request was sent, by the logical clock of the endpoint's limit and by the local clock. */
export interface LimitTimestamp {
  /** Logical clock of the limit that the sender knew; 0 if it knew none. */
  readonly clock: number;
  /** When it was sent, ms on the local monotonic clock. */
  readonly at: number;
}

/** State after an input, and the limits that changed and must be sent to other processes. */
export interface LimitsStep {
  readonly state: LimitsState;
  readonly changed: readonly EndpointLimit[];
}

/** A limit that no answer has confirmed for this long expires, ms. */
export const LIMIT_TTL_MS = 600_000;

/** Interval at which a limit that still holds is confirmed to other processes, ms. */
const CONFIRM_INTERVAL_MS = 60_000;

/**
 * For this long after an answer has advertised a limit to this process, it ignores updates that the limit was lifted:
 * their evidence may be older. In ms.
 */
const DISTRUST_LIFT_MS = 2_000;

/** Maximum number of limits kept; more than any service has endpoints. */
export const MAX_LIMITS = 4_096;

/** Maximum number of limits in one message. */
const MAX_RECORDS_PER_MESSAGE = 64;

/** The stricter of two limits; null means no limit. */
function stricter(a: number | null, b: number | null): number | null {
  return a === null || b === null ? (a ?? b) : Math.min(a, b);
}

/** Logical clock for the {@link LimitTimestamp} of a request to an endpoint; 0 if no limit is known. */
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

/** Merges an update or the whole set of another process; expired records are ignored. */
export function mergeLimits(state: LimitsState, { records }: LimitUpdate, now: number): LimitsStep {
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

/** Applies the limit in an endpoint's answer. `sent` is the timestamp of the answered request. */
export function applyAdvertisedLimit(
  state: LimitsState,
  incarnationKey: IncarnationKey,
  sent: LimitTimestamp,
  limit: AdvertisedLimit,
  now: number,
): LimitsStep {
  if (limit === 'unreadable') {
    return { state, changed: [] };
  }
  return limit === 'none'
    ? applyNoLimit(state, incarnationKey, sent, now)
    : applyLimit(state, incarnationKey, sent, limit, now);
}

/** Drops expired limits; returns the same state if none has expired. */
export function dropExpiredLimits(state: LimitsState, now: number): LimitsState {
  const kept = [...state].filter(([, { advertisedAt }]) => now - advertisedAt < LIMIT_TTL_MS);
  return kept.length === state.size ? state : new Map(kept);
}

/** Hash of a whole set, equal in processes with equal sets; 0 for an empty set. */
export function hashLimits(state: LimitsState): number {
  const lines = [...state.values()]
    .map(({ life, clock, perSecond }) => `${life} ${clock} ${perSecond ?? ''}`)
    .sort();
  return lines.length === 0 ? 0 : hashText(lines.join('\n'));
}

/** Messages that send limits to another process: bounded in size, at least one, each with the hash of the whole set. */
export function toLimitUpdates(
  state: LimitsState,
  limits: readonly EndpointLimit[],
  now: number,
): readonly LimitUpdate[] {
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
