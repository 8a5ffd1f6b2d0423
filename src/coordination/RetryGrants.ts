/**
 * The fixed part of a service's retry allowance, as one control process grants it to entry processes.
 *
 * Each control process has an even share and grants from it one retry at a time, so that an entry process that restarts
 * or is cut off has nothing to remember, and one that gets most of the traffic isn't held to an even part. The share
 * is divided by all control hosts that the log has named in the recent past. docs/design/retries.md gives the reasoning.
 */
import type { RetryAllowance } from '../protocol/index.js';
import { mayHaveBeenSuspended, type ClockReading } from './ConfigFreshness.js';
import { ARRIVAL_MS } from './RetryBudget.js';

/** A process whose list of control hosts hasn't been proven to be the newest for this long grants nothing, ms. */
export const PROOF_TTL_MS = 5_000;

/** Retries granted at one time. */
interface Grant {
  /** ms on the local monotonic clock. */
  readonly at: number;
  readonly count: number;
}

/** What one control process has granted, and the control hosts that share the allowance. */
export interface RetryGrantsState {
  /** Grants by service, in order of time. */
  readonly grants: ReadonlyMap<string, readonly Grant[]>;
  /** Control hosts, with when the log was last known to name each, ms. */
  readonly hosts: ReadonlyMap<string, number>;
  /** When this process first knew that the log names its host, ms; null before. */
  readonly memberSince: number | null;
  /** When the newest proof that the list of hosts is the newest was requested; null for none. */
  readonly provenAt: ClockReading | null;
  /** Whether this process founded the cluster and has been a member since, so that no earlier one has granted anything. */
  readonly isFounder: boolean;
}

/** A process that has just started. */
export const NO_RETRY_GRANTS: RetryGrantsState = {
  grants: new Map(),
  hosts: new Map(),
  memberSince: null,
  provenAt: null,
  isFounder: false,
};

/** Time after a grant until which retries that arrive in one window with it may be granted, ms. */
function grantSpanMs({ windowMs }: RetryAllowance): number {
  return windowMs + ARRIVAL_MS;
}

/** How long a host that the log no longer names still counts, ms: until it grants nothing and its grants have expired. */
function formerHostMs(allowance: RetryAllowance): number {
  return PROOF_TTL_MS + grantSpanMs(allowance);
}

/** Records that this process takes part in founding the cluster. */
export function onFounded(state: RetryGrantsState): RetryGrantsState {
  return { ...state, isFounder: true };
}

/** Records that the log names these control hosts, as proven by a read that was requested at `requestedAt`. */
export function onHostsProven(
  state: RetryGrantsState,
  self: string,
  names: readonly string[],
  requestedAt: ClockReading,
  allowance: RetryAllowance,
): RetryGrantsState {
  const at = requestedAt.monotonic;
  const kept = [...state.hosts].filter(([, seenAt]) => at - seenAt <= formerHostMs(allowance));
  const isMember = names.includes(self);
  // Others count a host that is named again only once they know of it.
  const isFounder = state.isFounder && (isMember || state.memberSince === null);
  return {
    ...state,
    hosts: new Map([...kept, ...names.map((name): [string, number] => [name, at])]),
    memberSince: isMember ? (state.memberSince ?? at) : null,
    isFounder,
    provenAt: requestedAt,
  };
}

/**
 * Whether this process may grant retries now.
 *
 * An earlier process of this host may have granted up to its end, and other control processes count a new host only
 * once they know of it, so a process that isn't a founder waits for both.
 */
export function mayGrantRetries(
  { memberSince, provenAt, isFounder }: RetryGrantsState,
  now: ClockReading,
  allowance: RetryAllowance,
): boolean {
  if (provenAt === null || memberSince === null || mayHaveBeenSuspended(provenAt, now)) {
    return false;
  }
  const hasWaited = now.monotonic - memberSince >= formerHostMs(allowance);
  return (isFounder || hasWaited) && now.monotonic - provenAt.monotonic < PROOF_TTL_MS;
}

/** The number of retries that this process may grant over a window. */
export function retryShareOf({ hosts }: RetryGrantsState, { extra }: RetryAllowance): number {
  return Math.floor(extra / Math.max(1, hosts.size));
}

/** Grants up to `wanted` retries of a service; `count` is the number granted. */
export function grantRetries(
  state: RetryGrantsState,
  service: string,
  wanted: number,
  now: ClockReading,
  allowance: RetryAllowance,
): { readonly state: RetryGrantsState; readonly count: number } {
  const since = now.monotonic - grantSpanMs(allowance);
  const held = (state.grants.get(service) ?? []).filter(({ at }) => at >= since);
  const spent = held.reduce((sum, { count }) => sum + count, 0);
  const free = mayGrantRetries(state, now, allowance)
    ? Math.max(0, retryShareOf(state, allowance) - spent)
    : 0;
  const count = Math.min(wanted, free);
  const grants = new Map(state.grants);
  if (count > 0) {
    grants.set(service, [...held, { at: now.monotonic, count }]);
  } else if (held.length > 0) {
    grants.set(service, held);
  } else {
    grants.delete(service);
  }
  return { state: { ...state, grants }, count };
}
