/**
 * A lease on "the configuration held here is the newest". An entry process serves requests with a key
 * only under it.
 *
 * Failure: an entry process is cut off or frozen while a customer's key is withdrawn. Symptom: the key
 * goes on working there. Enough: the lease counts from the moment at which the question was sent that
 * a leader with a fresh quorum answered, is looked at for each request, and is given up where the two
 * clocks of the host disagree on how long that is ago: the steady clock stands still while a host is
 * suspended, the time of day may be set, and neither tells which of the two has happened.
 */

/** Both clocks of a host, read together; ms. */
export interface ClockReading {
  readonly monotonic: number;
  /** Time of day. */
  readonly wall: number;
}

/** What an entry process knows of its configuration's age. */
export interface FreshnessState {
  /** Log index of the configuration held; 0 for none. */
  readonly heldConfigIndex: number;
  /** When the newest question was sent whose answer the configuration held satisfies, ms. */
  readonly provenAt: ClockReading | null;
  /** An answer that names a configuration still on its way here. */
  readonly pending: { readonly index: number; readonly requestedAt: ClockReading } | null;
}

/** Nothing known. */
export const UNPROVEN: FreshnessState = { heldConfigIndex: 0, provenAt: null, pending: null };

/** Part of the time allowed for a withdrawal that a lease lasts; the rest covers clock rates. */
export const FRESHNESS_LEASE_FRACTION = 0.92;

/** Clocks that differ by more have been set or stood still; adjustment is far slower. In ms. */
const MAX_CLOCK_DIVERGENCE_MS = 250;

function newerOf(a: ClockReading | null, b: ClockReading): ClockReading {
  return a !== null && a.monotonic > b.monotonic ? a : b;
}

/** Takes a configuration in. */
export function receiveConfig(state: FreshnessState, index: number): FreshnessState {
  const { pending } = state;
  if (pending === null || index < pending.index) {
    return { ...state, heldConfigIndex: index };
  }
  return {
    heldConfigIndex: index,
    provenAt: newerOf(state.provenAt, pending.requestedAt),
    pending: null,
  };
}

/** Takes the answer to a question that was sent at `askedAt`. */
export function receiveNewestIndex(
  state: FreshnessState,
  newest: number,
  requestedAt: ClockReading,
): FreshnessState {
  if (newest === 0) {
    return state;
  }
  if (state.heldConfigIndex >= newest) {
    return { ...state, provenAt: newerOf(state.provenAt, requestedAt) };
  }
  return { ...state, pending: { index: newest, requestedAt } };
}

/**
 * Tells whether the configuration held was the newest at some time in this life of the process.
 *
 * Failure: hosts return after an outage to control processes of which too few are left to know what was
 * accepted last. Symptom: requests that need no key are handled by a configuration older than one that was
 * acknowledged. Enough: before its first proof a process handles nothing; after it, its configuration
 * never goes back.
 */
export function isProven({ provenAt }: FreshnessState): boolean {
  return provenAt !== null;
}

/** Tells whether the lease holds now. */
export function isFresh(state: FreshnessState, now: ClockReading, leaseMs: number): boolean {
  const { provenAt } = state;
  if (provenAt === null) {
    return false;
  }
  const steady = now.monotonic - provenAt.monotonic;
  const wall = now.wall - provenAt.wall;
  return steady < leaseMs && Math.abs(wall - steady) < MAX_CLOCK_DIVERGENCE_MS;
}
