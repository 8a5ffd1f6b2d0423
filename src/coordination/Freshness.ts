/**
 * A lease on "the configuration held here is the newest". An entry process serves requests with a key
 * only under it.
 *
 * Failure: an entry process is cut off or frozen while a customer's key is withdrawn. Symptom: the key
 * goes on working there. Enough: the lease counts from the moment at which the question was sent that
 * a leader with a fresh quorum answered, by a clock that runs on while the host is suspended, and is
 * looked at for each request.
 */

/** What an entry process knows of its configuration's age. */
export interface FreshnessState {
  /** Log index of the configuration held; 0 for none. */
  readonly held: number;
  /** When the newest question was sent whose answer the configuration held satisfies, ms. */
  readonly provenAt: number | null;
  /** An answer that names a configuration still on its way here. */
  readonly open: { readonly index: number; readonly askedAt: number } | null;
}

/** Nothing known. */
export const UNPROVEN: FreshnessState = { held: 0, provenAt: null, open: null };

/** Part of the time allowed for a withdrawal that a lease lasts; the rest covers clock rates. */
export const FRESHNESS_SHARE = 0.92;

/** Takes a configuration in. */
export function holdConfig(state: FreshnessState, index: number): FreshnessState {
  const { open } = state;
  if (open === null || index < open.index) {
    return { ...state, held: index };
  }
  return { held: index, provenAt: Math.max(state.provenAt ?? 0, open.askedAt), open: null };
}

/** Takes the answer to a question that was sent at `askedAt`. */
export function proveFresh(state: FreshnessState, newest: number, askedAt: number): FreshnessState {
  if (newest === 0) {
    return state;
  }
  if (state.held >= newest) {
    return { ...state, provenAt: Math.max(state.provenAt ?? 0, askedAt) };
  }
  return { ...state, open: { index: newest, askedAt } };
}

/** Tells whether the lease holds now. */
export function isFresh(state: FreshnessState, now: number, leaseMs: number): boolean {
  return state.provenAt !== null && now - state.provenAt < leaseMs;
}
