/**
 * Leases as the leader keeps them. Who holds a lease is in the log; that it was renewed is not: 359
 * groups that renew every 2 s would else put 180 entries a second into it.
 */
import type { LeaseState } from '../state/index.js';
import { LEASE_CLOCK_MARGIN_MS, LEASE_MS } from './Lease.js';

/** A renewal that the leader remembers. */
interface Renewal {
  readonly token: number;
  readonly count: number;
  /** ms on the local monotonic clock. */
  readonly at: number;
}

/** What a leader remembers since its election. */
export interface LeaseRenewalsState {
  readonly electedAt: number;
  readonly renewals: ReadonlyMap<string, Renewal>;
}

/** A leader just elected. */
export function initLeaseRenewals(now: number): LeaseRenewalsState {
  return { electedAt: now, renewals: new Map() };
}

/** Remembers that the holder of a lease has renewed it. */
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

/** How often a lease was renewed, as far as this leader knows; a rival sees by it that it lives. */
export function countRenewals(state: LeaseRenewalsState, group: string, token: number): number {
  const known = state.renewals.get(group);
  return known?.token === token ? known.count : 0;
}

/**
 * Tells whether a lease may be granted to someone else.
 *
 * Failure: a new leader knows of no renewals and takes a lease for expired. Symptom: two hosts
 * coordinate one group, each under a lease that runs. Enough: it counts every lease as renewed at
 * its own election, the latest moment at which its predecessor can have done so.
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
