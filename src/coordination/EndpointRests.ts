/**
 * Rest that endpoints have asked this host for when they refused its requests: until it is over they get nothing from
 * here. What waits for its end goes one request after the other, as an endpoint that was in need is no more than likely
 * to be well.
 */
import type { IncarnationKey } from './EndpointCrashes.js';
import { paceWait, type SendPace } from './LimitShare.js';

/** Time between two requests to an endpoint whose rest has just ended, ms. */
const AFTER_REST_MS = 25;

/** Rests that are kept; more endpoints than any service has. Beyond it the one that ends first is forgotten. */
export const MOST_RESTS = 4_096;

/** The pace of an endpoint at rest. */
export interface RestPace extends SendPace {
  /** End of its rest, ms. */
  readonly until: number;
}

/** Endpoints at rest, and those for whose end of rest something has waited. */
export type RestPaces = ReadonlyMap<IncarnationKey, RestPace>;

function withoutFirst(paces: RestPaces): RestPaces {
  const [first] = [...paces].sort(([, a], [, b]) => a.until - b.until);
  return new Map([...paces].filter(([life]) => life !== first?.[0]));
}

/** Takes a rest that was asked for now. It may lengthen one that runs, and never shortens it. */
export function takeRest(
  paces: RestPaces,
  life: IncarnationKey,
  restMs: number,
  now: number,
): RestPaces {
  const known = paces.get(life);
  const until = Math.max(known?.until ?? -Infinity, now + restMs);
  const lastAt = Math.max(known?.lastAt ?? -Infinity, until - AFTER_REST_MS);
  const next = new Map(paces).set(life, { intervalMs: AFTER_REST_MS, lastAt, until });
  return next.size > MOST_RESTS ? withoutFirst(next) : next;
}

/** Drops the paces of rests that are over, with all that waited for their end; the same map where none is. */
export function dropRested(paces: RestPaces, now: number): RestPaces {
  const kept = [...paces].filter(([, pace]) => paceWait(pace, now) > 0);
  return kept.length === paces.size ? paces : new Map(kept);
}
