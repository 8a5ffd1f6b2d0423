/**
 * The right to coordinate a group, as an endpoint process of the group sees it. The log knows who
 * holds a lease and its fencing token; how long it lasts, each side measures by its own clock.
 */
import type { LeaseGrant } from '../protocol/index.js';
import type { LeaseState } from '../state/index.js';

/**
 * How long a lease lasts from the moment its holder asked for it. A coordinator that dies leaves its
 * group without one for this long, perhaps held, and demand shifts within seconds. Shorter than an
 * election of control: a lease that runs out in one is granted to its holder again. In ms.
 */
export const LEASE_MS = 800;

/** A holder renews this long after its last request; one lost packet is borne. In ms. */
export const RENEW_INTERVAL_MS = 200;

/** A rival waits this much longer than the lease, for clocks that run at different speeds. ms. */
export const LEASE_CLOCK_MARGIN_MS = 150;

/** What an endpoint process knows of its group's lease. */
export interface LeaseView {
  readonly self: string;
  readonly group: string;
  /** The lease held, with the local time until which it may be used; null if not held. */
  readonly held: { readonly token: number; readonly until: number } | null;
  /** The last lease seen, and since when it has been seen unchanged, ms. */
  readonly seen: LeaseState | null;
  readonly unchangedSince: number;
  /** When the open request was sent; null for none. */
  readonly requestedAt: number | null;
  readonly nextRequestAt: number;
}

/** What goes in. */
export type LeaseInput =
  | { readonly type: 'tick' }
  | { readonly type: 'granted'; readonly grant: LeaseGrant; readonly renewals: number }
  | { readonly type: 'held'; readonly lease: LeaseState }
  | { readonly type: 'failed' };

/** What comes out: a request to the log, or news for the coordinator's task. */
export type LeaseOutput =
  | {
      readonly type: 'ask';
      readonly after: { readonly token: number };
      readonly observe: boolean;
    }
  | { readonly type: 'gained'; readonly token: number }
  | { readonly type: 'lost' };

/** New state and outputs of a step. */
export interface LeaseStep {
  readonly state: LeaseView;
  readonly outputs: readonly LeaseOutput[];
}

/** An endpoint process that knows nothing yet. */
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
 * Tells whether the lease may be used now. A process that was frozen asks again before each use;
 * should it freeze between the two, the receiver refuses its token.
 */
export function mayCoordinate(state: LeaseView, now: number): boolean {
  return state.held !== null && now < state.held.until;
}

function dropExpired(state: LeaseView, now: number): LeaseStep {
  return state.held !== null && now >= state.held.until
    ? { state: { ...state, held: null }, outputs: [{ type: 'lost' }] }
    : { state, outputs: [] };
}

/** A rival may ask for the lease once it has seen no renewal for longer than the lease lasts. */
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
  // Counted from the request, not the answer: the answer may have been under way for long.
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

/** One step of a lease's view. */
export function stepLease(state: LeaseView, input: LeaseInput, now: number): LeaseStep {
  const handler = HANDLERS[input.type] as (
    state: LeaseView,
    input: LeaseInput,
    now: number,
  ) => LeaseStep;
  return handler(state, input, now);
}
