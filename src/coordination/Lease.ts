/**
 * The lease on coordinating a group, as an endpoint process of the group sees it. The log records the holder
 * of a lease and its fencing token; each side measures the duration by its own clock.
 */
import type { LeaseGrant } from '../protocol/index.js';
import type { LeaseState } from '../state/index.js';

/**
 * Duration of a lease from the time at which its holder requested it, in ms. A coordinator that crashes
 * leaves its group without one for this long, possibly held at a step of a map change, while demand shifts
 * within seconds. The lease is shorter than an election of the control processes; one that expires during an
 * election is granted to its holder again.
 */
export const LEASE_MS = 800;

/** Interval from a request of a holder to its next renewal, in ms. One lost packet is tolerated. */
export const RENEW_INTERVAL_MS = 200;

/**
 * Additional wait of a rival beyond the duration of the lease, for clocks that run at different rates, ms.
 */
export const LEASE_CLOCK_MARGIN_MS = 150;

/** State of a group's lease as an endpoint process knows it. */
export interface LeaseView {
  readonly self: string;
  readonly group: string;
  /** The lease held, with the local time until which it may be used; null if not held. */
  readonly held: { readonly token: number; readonly until: number } | null;
  /** The last lease seen, and since when it has been seen unchanged, ms on the local clock. */
  readonly seen: LeaseState | null;
  readonly unchangedSince: number;
  /** Send time of the request in flight, ms; null for none. */
  readonly requestedAt: number | null;
  /** Earliest time of the next request, ms. */
  readonly nextRequestAt: number;
}

/** Inputs of the lease's state machine. */
export type LeaseInput =
  | { readonly type: 'tick' }
  | { readonly type: 'granted'; readonly grant: LeaseGrant; readonly renewals: number }
  | { readonly type: 'held'; readonly lease: LeaseState }
  | { readonly type: 'failed' };

/** Outputs: a request to the leader of the log, or a notification of the coordinator. */
export type LeaseOutput =
  | {
      readonly type: 'ask';
      readonly after: { readonly token: number };
      /** Whether a lease that another process holds is only to be reported, unless that holder has exited. */
      readonly observe: boolean;
    }
  | { readonly type: 'gained'; readonly token: number }
  | { readonly type: 'lost' };

/** New state and outputs of a step. */
export interface LeaseStep {
  readonly state: LeaseView;
  readonly outputs: readonly LeaseOutput[];
}

/** Initial state of an endpoint process. */
export function initLease(self: string, group: string, now: number): LeaseView {
  return {
    self,
    group,
    held: null,
    seen: null,
    unchangedSince: now,
    requestedAt: null,
    nextRequestAt: now,
  };
}

/**
 * Whether the lease may be used now. To be checked before each use, since the process may have been frozen;
 * if it is frozen between the check and the use, the receiver refuses its token.
 */
export function mayCoordinate(state: LeaseView, now: number): boolean {
  return state.held !== null && now < state.held.until;
}

function dropExpired(state: LeaseView, now: number): LeaseStep {
  return state.held !== null && now >= state.held.until
    ? { state: { ...state, held: null }, outputs: [{ type: 'lost' }] }
    : { state, outputs: [] };
}

/**
 * Whether this process may request the lease: it knows of no holder, holds it itself, or has seen no renewal
 * for longer than the lease lasts.
 */
function mayTakeOver(state: LeaseView, now: number): boolean {
  return (
    state.seen === null ||
    state.seen.holder === state.self ||
    now - state.unchangedSince > LEASE_MS + LEASE_CLOCK_MARGIN_MS
  );
}

function onTick(state: LeaseView, now: number): LeaseStep {
  const dropped = dropExpired(state, now);
  if (state.requestedAt !== null || now < state.nextRequestAt) {
    return dropped;
  }
  const request: LeaseOutput = {
    type: 'ask',
    after: { token: state.seen?.token ?? 0 },
    observe: !mayTakeOver(state, now),
  };
  return {
    state: { ...dropped.state, requestedAt: now, nextRequestAt: now + RENEW_INTERVAL_MS },
    outputs: [...dropped.outputs, request],
  };
}

function onGranted(
  state: LeaseView,
  { grant, renewals }: Extract<LeaseInput, { type: 'granted' }>,
  now: number,
): LeaseStep {
  // Counted from the request, since the reply may have been delayed.
  const until = (state.requestedAt ?? now) + grant.durationMs;
  const seen: LeaseState = { holder: grant.holder, token: grant.token, renewals };
  const gained = state.held?.token !== grant.token;
  const next: LeaseView = {
    ...state,
    held: { token: grant.token, until },
    seen,
    unchangedSince: now,
    requestedAt: null,
  };
  return { state: next, outputs: gained ? [{ type: 'gained', token: grant.token }] : [] };
}

function onHeld(
  state: LeaseView,
  { lease }: Extract<LeaseInput, { type: 'held' }>,
  now: number,
): LeaseStep {
  const isUnchanged = state.seen?.token === lease.token && state.seen.renewals === lease.renewals;
  const lost = state.held !== null && lease.token !== state.held.token;
  return {
    state: {
      ...state,
      held: lost ? null : state.held,
      seen: lease,
      unchangedSince: isUnchanged ? state.unchangedSince : now,
      requestedAt: null,
    },
    outputs: lost ? [{ type: 'lost' }] : [],
  };
}

type Handlers = {
  readonly [T in LeaseInput['type']]: (
    state: LeaseView,
    input: Extract<LeaseInput, { type: T }>,
    now: number,
  ) => LeaseStep;
};

const HANDLERS: Handlers = {
  tick: (state, _input, now) => onTick(state, now),
  granted: onGranted,
  held: onHeld,
  failed: (state) => ({ state: { ...state, requestedAt: null }, outputs: [] }),
};

/** Applies one input to the state of a lease. */
export function stepLease(state: LeaseView, input: LeaseInput, now: number): LeaseStep {
  const handler = HANDLERS[input.type] as (
    state: LeaseView,
    input: LeaseInput,
    now: number,
  ) => LeaseStep;
  return handler(state, input, now);
}
