/**
 * Endpoints that refuse requests without asking for a backoff. An endpoint that refuses at once has nothing in
 * progress, so choosing the endpoint with the least work would send it each next request. It is avoided for a while
 * instead, as long as there are others.
 */

/** How long an endpoint is avoided after a first refusal, ms; doubles with each further one. */
const INITIAL_AVOID_MS = 100;

/** Longest time that an endpoint is avoided, ms. */
const MAX_AVOID_MS = 800;

/** A refusal this long after the last one counts as the first again, ms. */
const REFUSAL_TTL_MS = 2_000;

/** Consecutive refusals by one endpoint. */
export interface EndpointRefusal {
  readonly count: number;
  /** Time of the last counted refusal, ms. */
  readonly at: number;
  /** The endpoint is avoided until this time, ms. */
  readonly until: number;
}

/** Refusals by endpoint id. */
export type EndpointRefusals = ReadonlyMap<string, EndpointRefusal>;

/** Records a refusal. One that arrives while the endpoint is avoided is of an earlier request and isn't counted. */
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

/** Clears an endpoint's refusals after a complete answer; returns the same map if there are none. */
export function clearRefusals(refusals: EndpointRefusals, endpoint: string): EndpointRefusals {
  return refusals.has(endpoint)
    ? new Map([...refusals].filter(([id]) => id !== endpoint))
    : refusals;
}

/** Drops refusals that are too old to count; returns the same map if there are none. */
export function dropExpiredRefusals(refusals: EndpointRefusals, now: number): EndpointRefusals {
  const kept = [...refusals].filter(([, { at }]) => now - at < REFUSAL_TTL_MS);
  return kept.length === refusals.size ? refusals : new Map(kept);
}

/** Ids of the endpoints that are avoided now. */
export function refusingEndpoints(refusals: EndpointRefusals, now: number): readonly string[] {
  return [...refusals].flatMap(([endpoint, { until }]) => (now < until ? [endpoint] : []));
}
