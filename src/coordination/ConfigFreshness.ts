/**
 * A lease of an entry process that shows that the configuration which it holds is the newest. Requests with a
 * key are served only while the lease is valid. Otherwise a key that is revoked while the entry process is
 * partitioned or frozen would go on working there.
 *
 * To renew the lease, the entry process asks for the log index of the newest configuration, and a leader
 * replies after a quorum has confirmed it. The lease counts from when that request was sent, and is checked
 * for each request of a caller. It is invalid when the two clocks of the host disagree on how long ago that
 * was: the monotonic clock stops while a host is suspended, the time of day may be set, and neither shows
 * which of the two has happened.
 */

/** Both clocks of a host, read together; ms. */
export interface ClockReading {
  readonly monotonic: number;
  /** Time of day. */
  readonly wall: number;
}

/**
 * If the times elapsed by the two clocks differ by more, one of the clocks was set or has stopped; clock
 * adjustment is far slower. In ms.
 */
const MAX_CLOCK_DIVERGENCE_MS = 250;

/** Whether a process may have been suspended between two readings of its clocks; also if one of them was set. */
export function mayHaveBeenSuspended(before: ClockReading, now: ClockReading): boolean {
  const elapsedMs = now.monotonic - before.monotonic;
  return Math.abs(now.wall - before.wall - elapsedMs) >= MAX_CLOCK_DIVERGENCE_MS;
}

/** Log index of the newest configuration in a leader's reply, and the send time of the request for it. */
export interface NewestReply {
  readonly index: number;
  readonly requestedAt: ClockReading;
}

/** How recent the configuration of an entry process is known to be. */
export interface FreshnessState {
  /** Log index of the configuration held; 0 for none. */
  readonly heldConfigIndex: number;
  /**
   * Send time of the newest request whose reply named no newer configuration than the one held; null for
   * none.
   */
  readonly provenAt: ClockReading | null;
  /** Replies that name configurations which have not arrived yet, at most one for each, in order of index. */
  readonly pending: readonly NewestReply[];
}

/** Initial state: no configuration held, nothing proven. */
export const UNPROVEN: FreshnessState = { heldConfigIndex: 0, provenAt: null, pending: [] };

/**
 * Duration of a lease as a fraction of the time allowed for revoking a key; the rest covers differing clock
 * rates.
 */
export const FRESHNESS_LEASE_FRACTION = 0.92;

/** Maximum number of pending replies; the oldest ones prove least. */
const MAX_PENDING = 32;

function newerOf(a: ClockReading | null, b: ClockReading): ClockReading {
  return a !== null && a.monotonic > b.monotonic ? a : b;
}

/**
 * Records that a configuration has arrived. Each pending reply that names it or an earlier one proves that it was the
 * newest at that time: in a series of changes, the next one is often named before the one before it has arrived.
 */
export function receiveConfig(state: FreshnessState, index: number): FreshnessState {
  const met = state.pending.filter((reply) => reply.index <= index);
  return {
    heldConfigIndex: index,
    provenAt: met.reduce((at, reply) => newerOf(at, reply.requestedAt), state.provenAt),
    pending: state.pending.filter((reply) => reply.index > index),
  };
}

/**
 * Records a leader's reply to a request that was sent at `requestedAt`; `newest` is the log index of the
 * newest configuration, 0 for none.
 */
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
  const earlier = state.pending.filter(({ index }) => index < newest);
  const pending = [...earlier, { index: newest, requestedAt }].slice(-MAX_PENDING);
  return { ...state, pending };
}

/**
 * Whether the configuration held was the newest at some time since this process started.
 *
 * After an outage, hosts may return to control processes of which too few are left to know what was accepted
 * last. Requests that need no key would then be handled by a configuration older than one that was
 * acknowledged. A process therefore handles nothing before the first proof; after it, its configuration never
 * goes back.
 */
export function isProven({ provenAt }: FreshnessState): boolean {
  return provenAt !== null;
}

/** Whether the lease is valid now. */
export function isFresh(state: FreshnessState, now: ClockReading, leaseMs: number): boolean {
  const { provenAt } = state;
  if (provenAt === null) {
    return false;
  }
  return now.monotonic - provenAt.monotonic < leaseMs && !mayHaveBeenSuspended(provenAt, now);
}

/**
 * Whether a newer configuration is known of that has to be in force by now. It was accepted after the one held was
 * last proven to be the newest, at most `applyMs` before it must be used for every request.
 */
export function isOutdated(
  { provenAt, pending }: FreshnessState,
  now: ClockReading,
  applyMs: number,
): boolean {
  if (provenAt === null || pending.length === 0) {
    return false;
  }
  // The later of two clocks counts, since the monotonic one stops while the host is suspended.
  const elapsedMs = Math.max(now.monotonic - provenAt.monotonic, now.wall - provenAt.wall);
  return elapsedMs >= applyMs;
}
