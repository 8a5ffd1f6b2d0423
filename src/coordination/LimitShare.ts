/**
 * How entry hosts share the rate limit of an endpoint: a few hosts send to it, each an even part of the limit, and the
 * others send to other endpoints. All hosts derive the senders from host names that they all know.
 *
 * Senders are not synchronized, so in a burst each of them can send one request at the same time. If all hosts were
 * senders, the burst would grow with their number, whatever the limit is. docs/design/limits.md compares alternatives.
 */
import type { IncarnationKey } from './EndpointCrashes.js';
import { hashText, rendezvousOrder } from './RoutingHash.js';

/** Number of senders to an endpoint: this minimum, plus the requests that its limit allows in the window, ms. */
const MIN_SENDERS = 3;
const EXTRA_SENDERS_WINDOW_MS = 2_000;

/** Requests per second that probe whether a lower limit, or a limit of 0, still holds. */
const MIN_PROBES_PER_SECOND = 1 / 30;

/** An entry host that is no longer a member still counts for this long: it may only be unreachable. In ms. */
export const FORMER_HOST_TTL_MS = 60_000;

/** Entry hosts, with when each was last a member, ms; Infinity for current members. */
export type RecentHosts = ReadonlyMap<string, number>;

/** Applies the current member hosts; drops those that left more than {@link FORMER_HOST_TTL_MS} ago. */
export function updateHosts(
  hosts: RecentHosts,
  members: readonly string[],
  now: number,
): RecentHosts {
  const former = [...hosts].map(([id, at]): [string, number] => [id, Math.min(at, now)]);
  const recent = former.filter(([, at]) => now - at <= FORMER_HOST_TTL_MS);
  return new Map([...recent, ...members.map((id): [string, number] => [id, Infinity])]);
}

/** The hosts that may send to an endpoint. */
export function sendersTo(
  incarnationKey: IncarnationKey,
  perSecond: number,
  hosts: readonly string[],
): readonly string[] {
  const count = MIN_SENDERS + Math.floor((perSecond * EXTRA_SENDERS_WINDOW_MS) / 1_000);
  return count >= hosts.length
    ? hosts
    : rendezvousOrder(hashText(incarnationKey), hosts).slice(0, count);
}

/** Rate of one host's requests to one endpoint: a leaky bucket that holds one request. */
export interface SendRate {
  /** Time between two requests, ms; Infinity for a host that is not a sender. */
  readonly intervalMs: number;
  /** When the last request was sent, or is scheduled to be sent, ms. */
  readonly lastSendAt: number;
}

/** Time between two requests of a host to an endpoint, ms; Infinity if the host is not a sender. */
export function sendIntervalOf(
  self: string,
  incarnationKey: IncarnationKey,
  perSecond: number,
  hosts: readonly string[],
): number {
  const senders = sendersTo(incarnationKey, perSecond, hosts);
  const sharedPerSecond = Math.max(MIN_PROBES_PER_SECOND, perSecond);
  return senders.includes(self) ? (senders.length * 1_000) / sharedPerSecond : Infinity;
}

/**
 * Sets the interval of a rate. A host that has just become a sender waits a whole interval first, since it may have
 * sent a request just before.
 */
export function updateInterval(
  rate: SendRate | undefined,
  intervalMs: number,
  now: number,
): SendRate {
  if (rate === undefined || rate.intervalMs === Infinity) {
    return { intervalMs, lastSendAt: now };
  }
  return rate.intervalMs === intervalMs ? rate : { ...rate, intervalMs };
}

/** Time until the next request may be sent, ms; 0 if it may be sent now. */
export function sendWaitMs({ intervalMs, lastSendAt }: SendRate, now: number): number {
  return Math.max(0, lastSendAt + intervalMs - now);
}

/** Reserves the next send slot, which is {@link sendWaitMs} from now. */
export function reserveSendSlot<Rate extends SendRate>(rate: Rate, now: number): Rate {
  return { ...rate, lastSendAt: now + sendWaitMs(rate, now) };
}
