/**
 * Endpoints that refuse requests without a time to come back. What refuses at once has nothing in progress, so that by
 * least work it would draw each next request; it is passed over for a while instead, as long as others are left.
 */

/** How long an endpoint is passed over after a first refusal, ms; each further one doubles that. */
const INITIAL_AVOID_MS = 100;

/** Longest time that an endpoint is passed over, ms. */
const MAX_AVOID_MS = 800;

/** A refusal later than this after the last begins anew, ms. */
const REFUSAL_TTL_MS = 2_000;

/** Refusals of one endpoint in a row. */
export interface EndpointRefusal {
  readonly count: number;
  /** When the last one came, ms. */
  readonly at: number;
  /** Passed over until then, ms. */
  readonly until: number;
}

/** Endpoints that have refused requests, by id. */
export type EndpointRefusals = ReadonlyMap<string, EndpointRefusal>;

/** Takes a refusal. One of a request that was on its way with the last counts once with it. */
export function recordRefusal(
  refusals: EndpointRefusals,
  endpoint: string,
  now: number,
): EndpointRefusals {
  const known = refusals.get(endpoint);
  if (known !== undefined && now < known.until) {
    return refusals;
  }
  const count = known !== undefined && now - known.at < REFUSAL_TTL_MS ? known.count + 1 : 1;
  const until = now + Math.min(MAX_AVOID_MS, INITIAL_AVOID_MS * 2 ** (count - 1));
  return new Map(refusals).set(endpoint, { count, at: now, until });
}

/** The endpoint has answered a request whole; the same map where it had refused none. */
export function clearRefusals(refusals: EndpointRefusals, endpoint: string): EndpointRefusals {
  return refusals.has(endpoint)
    ? new Map([...refusals].filter(([id]) => id !== endpoint))
    : refusals;
}

/** Drops what is too old to count; the same map where nothing is. */
export function dropExpiredRefusals(refusals: EndpointRefusals, now: number): EndpointRefusals {
  const kept = [...refusals].filter(([, { at }]) => now - at < REFUSAL_TTL_MS);
  return kept.length === refusals.size ? refusals : new Map(kept);
}

/** Endpoints that are passed over now. */
export function refusingEndpoints(refusals: EndpointRefusals, now: number): readonly string[] {
  return [...refusals].flatMap(([endpoint, { until }]) => (now < until ? [endpoint] : []));
}
