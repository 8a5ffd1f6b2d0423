/**
 * Requests of one model service that wait at an entry process for a slot.
 *
 * A burst, or a group that is slow or down for seconds, brings more requests than can be served on time. Retries of
 * callers that were refused before go first, since those callers don't retry again. Next are requests that can
 * still be on time, those with the earliest objective first. Requests that can only be late get the remaining
 * slots, since a late answer is worth about half and a refusal nothing. A request that can't be answered by its
 * deadline is refused at once, with a retry delay after which the queue will have drained.
 *
 * Where the routes of the service have different priorities, the order is that of {@link sortByUrgency}, and while the
 * group's coordinator grants starts, a request starts only with a grant.
 */
import {
  grantedRate,
  grantedStarts,
  haveSameShares,
  sortByUrgency,
  takeGrant,
  type GroupGrants,
} from './urgency/index.js';

/** A waiting request; times in ms on the local monotonic clock. */
export interface WaitingRequest {
  readonly id: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Empty for a request without a customer. */
  readonly customer: string;
  readonly arrivedAt: number;
  /** A first event is on time until then, ms. */
  readonly objectiveAt: number;
  readonly deadline: number;
  /** The caller waits for a first event until then, ms. */
  readonly firstEventDeadline: number;
  /** Maximum number of tokens of the answer, without those that the caller already has. */
  readonly tokens: number;
  /** Likely number of tokens of the answer, without those that the caller already has. */
  readonly likelyTokens: number;
  /** Whether the caller was refused before and retries, as its remaining time suggests. */
  readonly isCallerRetry: boolean;
}

/** Current capacity and expected speed of the service. */
export interface QueueForecast {
  /** Slots that are free for this process. */
  readonly free: number;
  /** Requests per ms that this process can start, from how fast its slots become free; 0 if no group is open. */
  readonly ratePerMs: number;
  /** Whether the service answers nothing, or has only just begun to answer again. */
  readonly isRecovering: boolean;
  /** Whether the service has answered nothing for longer than callers wait. */
  readonly isLongDown: boolean;
  /** Time from sending a request to its first event, ms. */
  readonly firstMs: number;
  /** Time to generate an answer of this many tokens, ms. */
  readonly writeMs: (tokens: number) => number;
  /** Groups that start requests only with a grant; null where all routes of the service have one priority. */
  readonly grants: GroupGrants | null;
}

/** Waiting requests, in no particular order. */
export type StreamQueue = readonly WaitingRequest[];

/** A refused request, and the time after which its caller should retry. */
export interface QueueRefusal {
  readonly id: number;
  readonly retryAfterMs: number;
}

/** New queue, and the ids of the requests that left it. */
export interface QueueStep {
  readonly queue: StreamQueue;
  readonly admitted: readonly number[];
  readonly refused: readonly QueueRefusal[];
  /** Groups after the starts taken for the admitted requests, and the group by request for those with a grant. */
  readonly grants: GroupGrants;
  readonly grantedAt: ReadonlyMap<number, string>;
}

/** Minimum time between the expected end of an answer and its deadline, as estimates of length are rough. In ms. */
const DEADLINE_MARGIN_MS = 300;

/**
 * Part of the retry delay that is random while no requests can be started. Callers that have retried wait in
 * order here, so this only keeps their connections from arriving in the same millisecond.
 */
const STALLED_JITTER = 0.03;

/** Longest retry delay, as a part of the caller's remaining time; callers honor up to a third of it. */
const MAX_RETRY_DELAY_SHARE = 0.333;

/** Shortest retry delay, ms. */
const MIN_RETRY_DELAY_MS = 50;

const NO_GROUPS: GroupGrants = new Map();

/** Whether the first event can still be on time if the request is sent now. */
function isOnTime(request: WaitingRequest, forecast: QueueForecast, now: number): boolean {
  return now + forecast.firstMs <= request.objectiveAt;
}

/**
 * Sorts retries before all others, then requests that can be on time before late ones, then by priority, then
 * by objective, or by arrival if they are late.
 *
 * A caller that retries is already late, doesn't retry again and has little time left. A new request that yields to
 * it can still be answered late, or be retried itself. Without a queue, no request has to yield.
 */
function compareUrgency(
  a: WaitingRequest,
  b: WaitingRequest,
  forecast: QueueForecast,
  now: number,
): number {
  if (a.isCallerRetry !== b.isCallerRetry) {
    return a.isCallerRetry ? -1 : 1;
  }
  const onTimeA = isOnTime(a, forecast, now);
  const onTimeB = isOnTime(b, forecast, now);
  if (onTimeA !== onTimeB) {
    return onTimeA ? -1 : 1;
  }
  if (a.priority !== b.priority) {
    return a.priority - b.priority;
  }
  return onTimeA ? a.objectiveAt - b.objectiveAt : a.arrivedAt - b.arrivedAt;
}

/**
 * Whether a request can be answered if it is sent after `waitMs`: its first event before the caller leaves, and its
 * last by the deadline.
 *
 * Callers that have waited for a group that was down have half of their time left when it opens. By the longest
 * answer that they allow, most would be refused, though their answers are short. So the likely length is used while
 * the service recovers, and otherwise the longest, since a late request takes a slot from one that is on time.
 */
function canFinish(
  request: WaitingRequest,
  forecast: QueueForecast,
  now: number,
  waitMs: number,
): boolean {
  if (forecast.isLongDown) {
    return false;
  }
  const firstEventAt = now + waitMs + forecast.firstMs;
  const tokens = forecast.isRecovering ? request.likelyTokens : request.tokens;
  const endsAt = firstEventAt + forecast.writeMs(tokens);
  return (
    firstEventAt <= request.firstEventDeadline && endsAt + DEADLINE_MARGIN_MS <= request.deadline
  );
}

/** Expected wait behind `ahead` other requests, ms. */
function expectedWaitMs(ahead: number, { free, ratePerMs }: QueueForecast): number {
  const blocked = Math.max(0, ahead + 1 - free);
  return blocked === 0 ? 0 : blocked / Math.max(ratePerMs, 1e-6);
}

/**
 * Time after which a refused request should be retried, ms: once the requests that wait now have been started,
 * but while there is still time for an answer. If no requests can be started, it is unknown when that changes,
 * and the later the retry, the more likely the service answers again.
 *
 * @param remainingMs Time until the request's deadline.
 * @param waiting Number of requests in the queue.
 * @param random From 0 to 1.
 */
export function retryDelayMs(
  remainingMs: number,
  waiting: number,
  forecast: QueueForecast,
  random: number,
): number {
  const latest = Math.max(MIN_RETRY_DELAY_MS, remainingMs * MAX_RETRY_DELAY_SHARE);
  if (forecast.ratePerMs === 0) {
    return latest * (1 - STALLED_JITTER * random);
  }
  return Math.min(latest, 100 + expectedWaitMs(waiting, forecast) * (0.5 + random));
}

/** Expected wait, ms, of a request where starts are granted, behind those that wait for the same grants. */
function grantedWaitMs(
  ahead: StreamQueue,
  request: WaitingRequest,
  { free }: QueueForecast,
  grants: GroupGrants,
): number {
  const states = [...grants.values()];
  const starts = states.reduce((total, state) => total + grantedStarts(state, request), 0);
  const rate = states.reduce((total, state) => total + grantedRate(state, request), 0);
  const same = ahead.filter((other) => haveSameShares(grants, other, request)).length;
  return Math.max(0, same + 1 - starts - free) / Math.max(rate, 1e-6);
}

function orderByUrgency(queue: StreamQueue, forecast: QueueForecast, now: number): StreamQueue {
  return sortByUrgency(queue, (request) => isOnTime(request, forecast, now));
}

/** Expected wait, ms, of one of the ordered requests, behind those of its own or a more urgent priority. */
function urgentWaitMs(
  ordered: StreamQueue,
  request: WaitingRequest,
  forecast: QueueForecast,
): number {
  const ahead = ordered
    .slice(0, ordered.indexOf(request))
    .filter(({ priority }) => priority <= request.priority);
  const { grants } = forecast;
  return grants !== null && grants.size > 0
    ? grantedWaitMs(ahead, request, forecast, grants)
    : expectedWaitMs(ahead.length, forecast);
}

/** Expected wait, ms, of a request that joins the queue. */
function waitInQueueMs(
  queue: StreamQueue,
  request: WaitingRequest,
  forecast: QueueForecast,
  now: number,
): number {
  if (forecast.grants !== null) {
    return urgentWaitMs(orderByUrgency([...queue, request], forecast, now), request, forecast);
  }
  const ahead = queue.filter((other) => compareUrgency(other, request, forecast, now) <= 0).length;
  return expectedWaitMs(ahead, forecast);
}

/**
 * Refusals, with a retry delay for each. By urgency it is the wait until the requests ahead have started, at the rate
 * that its priority gets, but at most a third of the remaining time. The queue is ordered once for all of them, as
 * hundreds may be refused at once after a group was down.
 */
function refuse(
  queue: StreamQueue,
  refused: StreamQueue,
  forecast: QueueForecast,
  now: number,
  random: number,
): readonly QueueRefusal[] {
  const isByUrgency = refused.length > 0 && forecast.grants !== null && forecast.ratePerMs > 0;
  const ordered = isByUrgency
    ? orderByUrgency([...new Set([...queue, ...refused])], forecast, now)
    : [];
  return refused.map((request) => {
    const { id, deadline } = request;
    const remainingMs = deadline - now;
    if (!isByUrgency) {
      return { id, retryAfterMs: retryDelayMs(remainingMs, queue.length, forecast, random) };
    }
    const waitMs = urgentWaitMs(ordered, request, forecast);
    const latestMs = remainingMs * MAX_RETRY_DELAY_SHARE;
    return { id, retryAfterMs: Math.max(MIN_RETRY_DELAY_MS, Math.min(latestMs, waitMs)) };
  });
}

/** Requests that start now: with a grant, or in a free slot. */
function startable(
  ordered: StreamQueue,
  free: number,
  grants: GroupGrants,
): Pick<QueueStep, 'admitted' | 'grants' | 'grantedAt'> {
  let left = Math.max(0, Math.floor(free));
  let groups = grants;
  const grantedAt = new Map<number, string>();
  const admitted = ordered.filter((request) => {
    const taken = takeGrant(groups, request);
    if (taken !== null) {
      groups = taken.groups;
      grantedAt.set(request.id, taken.group);
      return true;
    }
    left -= 1;
    return left >= 0;
  });
  return { admitted: admitted.map(({ id }) => id), grants: groups, grantedAt };
}

/** Admits as many requests as there are free slots, and refuses those that can no longer be answered. */
export function admitWaiting(
  queue: StreamQueue,
  forecast: QueueForecast,
  now: number,
  random: number,
): QueueStep {
  const unservable = queue.filter((request) => !canFinish(request, forecast, now, 0));
  const servable = queue.filter((request) => !unservable.includes(request));
  const ordered =
    forecast.grants === null
      ? [...servable].sort((a, b) => compareUrgency(a, b, forecast, now))
      : orderByUrgency(servable, forecast, now);
  const started = startable(ordered, forecast.free, forecast.grants ?? NO_GROUPS);
  return {
    ...started,
    queue: servable.filter(({ id }) => !started.admitted.includes(id)),
    refused: refuse(queue, unservable, forecast, now, random),
  };
}

/**
 * Adds a request to the queue, or refuses it at once if it can't be answered behind those that wait.
 *
 * While all groups are down, requests are queued. A group is down for 2 to 7 s, and it is unknown when it opens. A
 * caller that is refused at once retries for the last time after a third of its remaining time and then waits two
 * seconds, so it is served if the group opens within 4.6 s of its arrival. One that first waits two seconds and is
 * then refused is served if the group opens within 5.9 s.
 */
export function enqueue(
  queue: StreamQueue,
  request: WaitingRequest,
  forecast: QueueForecast,
  now: number,
  random: number,
): QueueStep {
  const queueWaitMs = waitInQueueMs(queue, request, forecast, now);
  // A caller that retries doesn't do so again, so its request waits as long as it can.
  const waitMs = request.isCallerRetry || forecast.ratePerMs === 0 ? 0 : queueWaitMs;
  if (!canFinish(request, forecast, now, waitMs)) {
    return {
      queue,
      admitted: [],
      refused: refuse(queue, [request], forecast, now, random),
      grants: forecast.grants ?? NO_GROUPS,
      grantedAt: new Map(),
    };
  }
  return admitWaiting([...queue, request], forecast, now, random);
}
