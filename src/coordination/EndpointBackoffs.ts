/**
 * Rest that endpoints have asked this host for when they refused its requests: until it is over they get nothing from
 * here. What waits for its end goes one request after the other, as an endpoint that was in need is no more than likely
 * to be well.
 */
import type { IncarnationKey } from './EndpointCrashes.js';
import { sendWaitMs, type SendRate } from './LimitShare.js';

/** Time between two requests to an endpoint whose rest has just ended, ms. */
const INTERVAL_AFTER_BACKOFF_MS = 25;

/** Rests that are kept; more endpoints than any service has. Beyond it the one that ends first is forgotten. */
export const MAX_BACKOFFS = 4_096;

/** The pace of an endpoint at rest. */
export interface EndpointBackoff extends SendRate {
  /** End of its rest, ms. */
  readonly until: number;
}

/** Endpoints at rest, and those for whose end of rest something has waited. */
export type EndpointBackoffs = ReadonlyMap<IncarnationKey, EndpointBackoff>;

function withoutEarliest(backoffs: EndpointBackoffs): EndpointBackoffs {
  const [first] = [...backoffs].sort(([, a], [, b]) => a.until - b.until);
  return new Map([...backoffs].filter(([incarnationKey]) => incarnationKey !== first?.[0]));
}

/** Takes a rest that was asked for now. It may lengthen one that runs, and never shortens it. */
export function recordBackoff(
  backoffs: EndpointBackoffs,
  incarnationKey: IncarnationKey,
  backoffMs: number,
  now: number,
): EndpointBackoffs {
  const known = backoffs.get(incarnationKey);
  const until = Math.max(known?.until ?? -Infinity, now + backoffMs);
  const lastAt = Math.max(known?.lastSendAt ?? -Infinity, until - INTERVAL_AFTER_BACKOFF_MS);
  const next = new Map(backoffs).set(incarnationKey, {
    intervalMs: INTERVAL_AFTER_BACKOFF_MS,
    lastSendAt: lastAt,
    until,
  });
  return next.size > MAX_BACKOFFS ? withoutEarliest(next) : next;
}

/** Drops the paces of rests that are over, with all that waited for their end; the same map where none is. */
export function dropExpiredBackoffs(backoffs: EndpointBackoffs, now: number): EndpointBackoffs {
  const kept = [...backoffs].filter(([, backoff]) => sendWaitMs(backoff, now) > 0);
  return kept.length === backoffs.size ? backoffs : new Map(kept);
}
