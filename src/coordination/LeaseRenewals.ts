/**
 * Renewals of leases, which the leader keeps in memory. Only the holder of a lease is in the log: 359 groups
 * that renew every 200 ms would otherwise append about 1800 entries a second.
 */
import type { LeaseState } from '../state/index.js';
import { LEASE_CLOCK_MARGIN_MS, LEASE_MS } from './Lease.js';

/** Renewals of a lease under one token, and the time of the last one. */
interface Renewal {
  readonly token: number;
  readonly count: number;
  /** ms on the local monotonic clock. */
  readonly at: number;
}

/** Renewals that a leader has received since its election, by group. */
export interface LeaseRenewalsState {
  /** ms on the local monotonic clock. */
  readonly electedAt: number;
  readonly renewals: ReadonlyMap<string, Renewal>;
}

/** State of a leader that has just been elected. */
export function initLeaseRenewals(now: number): LeaseRenewalsState {
  return { electedAt: now, renewals: new Map() };
}

/** Records that the holder of a lease has renewed it. */
export function recordRenewal(
  state: LeaseRenewalsState,
  group: string,
  token: number,
  now: number,
): LeaseRenewalsState {
  const known = state.renewals.get(group);
  const count = known?.token === token ? known.count + 1 : 1;
  return { ...state, renewals: new Map(state.renewals).set(group, { token, count, at: now }) };
}

/** Number of renewals of a lease known to this leader. A rival sees from it that the holder is alive. */
export function countRenewals(state: LeaseRenewalsState, group: string, token: number): number {
  const known = state.renewals.get(group);
  return known?.token === token ? known.count : 0;
}

/**
 * Whether a lease may be granted to another process.
 *
 * A new leader does not know of earlier renewals. If it took a lease for expired, two hosts could coordinate
 * one group, each under a valid lease. It therefore counts every lease as renewed at its own election, the
 * latest time at which its predecessor can have renewed it.
 */
export function mayGrant(
  state: LeaseRenewalsState,
  group: string,
  held: LeaseState | undefined,
  now: number,
): boolean {
  if (held === undefined) {
    return true;
  }
  const known = state.renewals.get(group);
  const renewedAt = known?.token === held.token ? known.at : state.electedAt;
  return now - renewedAt > LEASE_MS + LEASE_CLOCK_MARGIN_MS;
}
