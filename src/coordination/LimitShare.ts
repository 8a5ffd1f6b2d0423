/**
 * How the entry hosts share the requests that an endpoint takes: a few of them send to it, each its even part, and the
 * others send to other endpoints. Which ones follows from names that all hosts know.
 *
 * A host can't send less than one request, so that every sender may have one out of step with the others: with all
 * hosts as senders a burst grows with their number, whatever the limit is. docs/design/limits.md compares the ways.
 */
import type { IncarnationKey } from './EndpointCrashes.js';
import { hashText, rendezvousOrder } from './RoutingHash.js';

/** Senders to an endpoint: this many, and as many as its limit lets through in a time, ms. */
const MIN_SENDERS = 3;
const EXTRA_SENDERS_WINDOW_MS = 2_000;

/** An endpoint that takes less than this, or nothing, is asked this often whether that still holds; a second. */
const MIN_PROBES_PER_SECOND = 1 / 30;

/** An entry host that is no longer a member counts for this long: it may only be out of reach. In ms. */
export const FORMER_HOST_TTL_MS = 60_000;

/** Entry hosts, with when each was last a member, ms; infinite for those that are. */
export type RecentHosts = ReadonlyMap<string, number>;

/** Takes the entry hosts that are members now and drops those that have been none for long. */
export function updateHosts(
  hosts: RecentHosts,
  members: readonly string[],
  now: number,
): RecentHosts {
  const left = [...hosts].map(([id, at]): [string, number] => [id, Math.min(at, now)]);
  const recent = left.filter(([, at]) => now - at <= FORMER_HOST_TTL_MS);
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

/** The pace of one host's requests to one endpoint (a leaky bucket of one request). */
export interface SendRate {
  /** Time between two requests, ms; infinite for a host that is no sender. */
  readonly intervalMs: number;
  /** When the last request was sent, or is to be; ms. */
  readonly lastSendAt: number;
}

/** Time between two requests of a host to an endpoint, ms. */
export function sendIntervalOf(
  self: string,
  incarnationKey: IncarnationKey,
  perSecond: number,
  hosts: readonly string[],
): number {
  const senders = sendersTo(incarnationKey, perSecond, hosts);
  const rate = Math.max(MIN_PROBES_PER_SECOND, perSecond);
  return senders.includes(self) ? (senders.length * 1_000) / rate : Infinity;
}

/**
 * The pace once its interval may have changed. One that has just become a sender waits a whole interval: it may have
 * sent just before.
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

/** Time until the next request may be sent, ms; 0 for now. */
export function sendWaitMs({ intervalMs, lastSendAt }: SendRate, now: number): number {
  return Math.max(0, lastSendAt + intervalMs - now);
}

/** The pace once the next request is sent, or has its time: `paceWait` from now. */
export function reserveSendSlot<Rate extends SendRate>(rate: Rate, now: number): Rate {
  return { ...rate, lastSendAt: now + sendWaitMs(rate, now) };
}
