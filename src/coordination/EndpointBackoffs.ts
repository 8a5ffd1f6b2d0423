/**
 * Backoffs that endpoints asked of this host when they refused its requests: until the backoff ends, this host sends
 * the endpoint nothing. Requests that wait for its end are then sent one at a time, since the endpoint has probably,
 * but not certainly, recovered.
 */
import type { IncarnationKey } from './EndpointCrashes.js';
import { sendWaitMs, type SendRate } from './LimitShare.js';

/** Time between two requests to an endpoint whose backoff has just ended, ms. */
const INTERVAL_AFTER_BACKOFF_MS = 25;

/** Maximum number of backoffs kept, more than any service has endpoints; then the one that ends first is dropped. */
export const MAX_BACKOFFS = 4_096;

/** Send rate to an endpoint that asked for a backoff. */
export interface EndpointBackoff extends SendRate {
  /** End of the backoff, ms. */
  readonly until: number;
}

/** Backoffs that have not ended, or after whose end send slots are still reserved, by incarnation. */
export type EndpointBackoffs = ReadonlyMap<IncarnationKey, EndpointBackoff>;

function withoutEarliest(backoffs: EndpointBackoffs): EndpointBackoffs {
  const [first] = [...backoffs].sort(([, a], [, b]) => a.until - b.until);
  return new Map([...backoffs].filter(([incarnationKey]) => incarnationKey !== first?.[0]));
}

/** Records a backoff requested now. It can extend a running one but never shortens it. */
export function recordBackoff(
  backoffs: EndpointBackoffs,
  incarnationKey: IncarnationKey,
  backoffMs: number,
  now: number,
): EndpointBackoffs {
  const known = backoffs.get(incarnationKey);
  const until = Math.max(known?.until ?? -Infinity, now + backoffMs);
  const lastSendAt = Math.max(known?.lastSendAt ?? -Infinity, until - INTERVAL_AFTER_BACKOFF_MS);
  const next = new Map(backoffs).set(incarnationKey, {
    intervalMs: INTERVAL_AFTER_BACKOFF_MS,
    lastSendAt,
    until,
  });
  return next.size > MAX_BACKOFFS ? withoutEarliest(next) : next;
}

/** Drops backoffs that have ended and have no reserved send slot left; returns the same map if there are none. */
export function dropExpiredBackoffs(backoffs: EndpointBackoffs, now: number): EndpointBackoffs {
  const kept = [...backoffs].filter(([, backoff]) => sendWaitMs(backoff, now) > 0);
  return kept.length === backoffs.size ? backoffs : new Map(kept);
}
