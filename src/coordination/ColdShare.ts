/**
 * How entry hosts share the requests that a cold endpoint tolerates: a few hosts send to it, each an even part of the
 * rate. As for advertised limits (`LimitShare`), all hosts derive the senders from host names that they all know.
 *
 * Unlike there, the number of senders is chosen so that a bound on the arrivals in each second holds even if no two
 * senders are synchronized. docs/design/cold-endpoints.md gives the reasoning.
 */
import type { IncarnationKey } from './EndpointCrashes.js';
import { FORMER_HOST_TTL_MS, updateHosts, type RecentHosts, type SendRate } from './LimitShare.js';
import { hashText, mixHashes } from './RoutingHash.js';

/** Length of the windows for which the bound holds, ms. */
const WINDOW_MS = 1_000;

/** Maximum difference between the delays of two requests on their way to an endpoint, ms. */
const DELAY_SPREAD_MS = 20;

/** A timer may fire this long before the time for which it was set, ms; measured by a coarser clock. */
const TIMER_ERROR_MS = 10;

/**
 * Hosts that may send beside the intended senders. A host that has just joined on the other side of a partition is
 * unknown here, and each unknown host lets one more host count itself as a sender.
 */
const SPARE_SENDERS = 2;

/** A host sends nothing to cold endpoints for this long after it got its first member list, ms. */
const JOIN_WAIT_MS = 3_000;

/** A host without contact stops sending to cold endpoints this long before the others may forget it, ms. */
const FORGET_MARGIN_MS = 1_000;

/** What a cold endpoint tolerates. */
export interface ColdTolerance {
  /** Average number of requests per second. */
  readonly perSecond: number;
  /** Maximum number of requests that may arrive in any window of one second. */
  readonly maxPerWindow: number;
}

/** Senders to a cold endpoint, and when each of them may send. */
export interface ColdPlan {
  readonly senders: number;
  /** Average time between two requests of one sender, ms. */
  readonly intervalMs: number;
  /** Minimum time between two requests of one sender, ms: a late request doesn't delay those after it. */
  readonly spacingMs: number;
}

const NO_SENDERS: ColdPlan = { senders: 0, intervalMs: Infinity, spacingMs: Infinity };

function planWith(senders: number, spare: number, tolerance: ColdTolerance): ColdPlan {
  const perSender = Math.floor(tolerance.maxPerWindow / (senders + spare));
  const spacingMs = (WINDOW_MS + DELAY_SPREAD_MS) / perSender;
  const evenMs = (senders * 1_000) / tolerance.perSecond;
  return { senders, intervalMs: Math.max(evenMs, spacingMs + TIMER_ERROR_MS), spacingMs };
}

/**
 * Plans the senders to a cold endpoint: as many as possible of those numbers that use the rate best.
 *
 * Requests that arrive in one window were sent in a period that is longer by the spread of delays. With a spacing of
 * 1/k of that period a sender has at most k requests in it, so that n senders have n × k.
 */
export function planColdSenders(tolerance: ColdTolerance, hosts: number): ColdPlan {
  const most = Math.floor(tolerance.maxPerWindow);
  const spare = Math.max(0, Math.min(SPARE_SENDERS, most - 1));
  const counts = Array.from({ length: Math.min(hosts, most - spare) }, (_item, i) => i + 1);
  const rateOf = ({ senders, intervalMs }: ColdPlan): number => senders / intervalMs;
  return counts
    .map((senders) => planWith(senders, spare, tolerance))
    .reduce(
      (best, plan) => (rateOf(plan) >= rateOf(best) * (1 - Number.EPSILON) ? plan : best),
      NO_SENDERS,
    );
}

/** Place of a host in an endpoint's order of all hosts, from 0. */
export function coldPlaceOf(
  self: string,
  incarnationKey: IncarnationKey,
  hosts: ReadonlyMap<string, number>,
): number {
  const key = hashText(incarnationKey);
  const own = mixHashes(key, hosts.get(self) ?? hashText(self));
  let place = 0;
  hosts.forEach((hash, id) => {
    const weight = mixHashes(key, hash);
    if (id !== self && (weight > own || (weight === own && id < self))) {
      place += 1;
    }
  });
  return place;
}

/** One host's part in the requests to a cold endpoint. */
export interface ColdPart {
  /** Infinity for a host that is not a sender. */
  readonly intervalMs: number;
  readonly spacingMs: number;
  /** Offset of the host's first request from that of the first sender, ms: senders take turns. */
  readonly offsetMs: number;
}

/** The part of the host at a place of the order. */
export function coldPartOf(plan: ColdPlan, place: number): ColdPart {
  return place < plan.senders
    ? {
        intervalMs: plan.intervalMs,
        spacingMs: plan.spacingMs,
        offsetMs: (place * plan.intervalMs) / plan.senders,
      }
    : { intervalMs: Infinity, spacingMs: Infinity, offsetMs: 0 };
}

/** Rate of one host's requests to a cold endpoint. */
export interface ColdRate extends SendRate {
  readonly spacingMs: number;
  /** When the last request was sent, ms. */
  readonly sentAt: number;
  /** Time before which nothing may be sent, ms. */
  readonly sendFrom: number;
  /** End of the cold time, ms. */
  readonly until: number;
}

/**
 * The time from which a host process may send to cold endpoints, ms, by when it got its first member list.
 *
 * Its predecessor on the same host may have sent just before it ended. Other hosts have to learn of a new host, and a
 * hub that has restarted together with this process has to learn of the other hosts.
 */
export function coldSendFrom(firstListAt: number): number {
  return firstListAt + JOIN_WAIT_MS;
}

/**
 * Whether a host has been without contact to the control processes for so long that the others may not count it any
 * more. It must not send to cold endpoints then, since another host may have taken its place, and counts as a new host
 * once it has contact again.
 */
export function isForgottenSender(contactAt: number, now: number): boolean {
  return now - contactAt >= FORMER_HOST_TTL_MS - FORGET_MARGIN_MS;
}

/** Hosts known to a process that has just got its first member list, with hosts that have left recently. */
export function initColdHosts(
  members: readonly string[],
  former: readonly string[],
  now: number,
): RecentHosts {
  return updateHosts(updateHosts(new Map(), [...former, ...members], now), members, now);
}

/** Rate to an endpoint that has just become cold. */
export function initColdRate(
  { intervalMs, spacingMs, offsetMs }: ColdPart,
  sendFrom: number,
  until: number,
  now: number,
): ColdRate {
  const lastSendAt = intervalMs === Infinity ? now : now + offsetMs - intervalMs;
  return { intervalMs, spacingMs, lastSendAt, sentAt: -Infinity, sendFrom, until };
}

/** Changes a rate. A host that becomes a sender waits a whole interval, since its place was taken by another one. */
export function updateColdRate(
  rate: ColdRate,
  { intervalMs, spacingMs }: ColdPart,
  sendFrom: number,
  until: number,
  now: number,
): ColdRate {
  const lastSendAt = rate.intervalMs === Infinity ? now : rate.lastSendAt;
  return { ...rate, intervalMs, spacingMs, lastSendAt, sendFrom, until };
}

function nextSlotAt({ lastSendAt, intervalMs, sendFrom }: ColdRate): number {
  return Math.max(lastSendAt + intervalMs, sendFrom);
}

/** Time until the next send slot, ms: the end of the cold time at the latest. */
export function coldWaitMs(rate: ColdRate, now: number): number {
  return Math.max(0, Math.min(nextSlotAt(rate), rate.until) - now);
}

/** Reserves the next send slot, unless that is the end of the cold time. */
export function reserveColdSlot(rate: ColdRate, now: number): ColdRate {
  const slotAt = Math.max(now, nextSlotAt(rate));
  return slotAt < rate.until ? { ...rate, lastSendAt: slotAt } : rate;
}

/** Whether a request that has a send slot may be sent now. */
export function mayStartCold(rate: ColdRate, now: number): boolean {
  const { intervalMs, sentAt, spacingMs, sendFrom, until } = rate;
  const isSender = intervalMs < Infinity && now >= sendFrom;
  return now >= until || (isSender && now - sentAt >= spacingMs);
}

/** Records that a request with a send slot is sent now. */
export function startCold(rate: ColdRate, now: number): ColdRate {
  return { ...rate, sentAt: now };
}
