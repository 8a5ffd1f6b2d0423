/**
 * Requests of one model service that wait at an entry process for a place.
 *
 * Load pattern: a burst, or a group that is slow or gone for seconds, brings more than can be served on
 * time. Those that were refused and came back go first, for they have no further try; then those that
 * can still be on time, the earliest useful deadline first; those that no longer can are served late
 * when places are left, for a late answer is worth about half and a refused one
 * nothing. What can't be answered by its deadline any more is refused at once, with a time to come
 * back at which the queue will have drained.
 */

/** One request that waits. */
export interface WaitingRequest {
  readonly id: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: number;
  /** Until when a first event is on time, ms. */
  readonly objectiveAt: number;
  readonly deadline: number;
  /** Until when its caller waits for a first event, ms. */
  readonly firstEventDeadline: number;
  /** Tokens that its answer may have at most, beyond what its caller has of it. */
  readonly tokens: number;
  /** Tokens that its answer is likely to have, beyond what its caller has of it. */
  readonly likelyTokens: number;
  /** Whether it was refused before, as the time it has left tells. */
  readonly isCallerRetry: boolean;
}

/** What the queue needs to know of the service now. */
export interface QueueForecast {
  /** Places free for this process. */
  readonly free: number;
  /** Requests a ms that this process can begin, from what its places turn over. */
  readonly ratePerMs: number;
  /** Whether the service answers nothing, or has done so only for a moment. */
  readonly isRecovering: boolean;
  /** Whether the service has answered nothing for longer than any caller waits. */
  readonly isLongDown: boolean;
  /** Time from sending to the first event, ms. */
  readonly firstMs: number;
  /** Time that the answer of a request takes to write, ms. */
  readonly writeMs: (tokens: number) => number;
}

/** The queue. */
export type StreamQueue = readonly WaitingRequest[];

/** A request that is refused, and when it should come back. */
export interface QueueRefusal {
  readonly id: number;
  readonly retryAfterMs: number;
}

/** What a look at the queue brings. */
export interface QueueStep {
  readonly queue: StreamQueue;
  readonly admitted: readonly number[];
  readonly refused: readonly QueueRefusal[];
}

/** Time beyond its expected end that a request must have left: estimates of length are rough. In ms. */
const DEADLINE_MARGIN_MS = 300;

/**
 * Part of that time over which returns are spread where nothing is begun at all: those that are back wait
 * in order here, so that the spread only keeps their connections from coming in one millisecond.
 */
const STALLED_JITTER = 0.03;

/** Part of the time that a caller has left at which it comes back at the latest; a third is honoured. */
const MAX_RETRY_DELAY_SHARE = 0.333;

/** Whether its first event can still be on time if it is sent now. */
function isOnTime(request: WaitingRequest, forecast: QueueForecast, now: number): boolean {
  return now + forecast.firstMs <= request.objectiveAt;
}

/**
 * Who came back before all others, then on time before late, the earliest deadline first.
 *
 * A caller that came back is late already, has no further try, and has little time left; a new one that
 * gives way to it may still be answered late, or come back itself. Once no queue is left nobody gives way.
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
 * Whether it can be answered if it is sent after so long: its first event before the caller leaves,
 * its last by the deadline.
 *
 * Load pattern: callers wait out a group that is down, and have half of their time left when it opens. Judged by the
 * longest answer that they allow, most are sent away though their answers are short. While the service recovers the
 * likely length counts; otherwise the longest, since whoever is late takes a place from one who is not.
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
  const first = now + waitMs + forecast.firstMs;
  const tokens = forecast.isRecovering ? request.likelyTokens : request.tokens;
  const end = first + forecast.writeMs(tokens);
  return first <= request.firstEventDeadline && end + DEADLINE_MARGIN_MS <= request.deadline;
}

/** Expected wait behind so many others, ms. */
function expectedWaitMs(ahead: number, { free, ratePerMs }: QueueForecast): number {
  const blocked = Math.max(0, ahead + 1 - free);
  return blocked === 0 ? 0 : blocked / Math.max(ratePerMs, 1e-6);
}

/**
 * When a refused request should come back: once those that wait now have been begun, later ones later,
 * and while it still has time for an answer. Where nothing is begun at all nobody knows when that will
 * be, and the later a caller comes back, the likelier the service serves again.
 */
export function retryDelayMs(
  leftMs: number,
  waiting: number,
  forecast: QueueForecast,
  random: number,
): number {
  const latest = Math.max(50, leftMs * MAX_RETRY_DELAY_SHARE);
  if (forecast.ratePerMs === 0) {
    return latest * (1 - STALLED_JITTER * random);
  }
  return Math.min(latest, 100 + expectedWaitMs(waiting, forecast) * (0.5 + random));
}

/** Begins what there are places for, and refuses what can't be answered any more. */
export function admitWaiting(
  queue: StreamQueue,
  forecast: QueueForecast,
  now: number,
  random: number,
): QueueStep {
  const unservable = queue.filter((request) => !canFinish(request, forecast, now, 0));
  const servable = queue.filter((request) => !unservable.includes(request));
  const order = [...servable].sort((a, b) => compareUrgency(a, b, forecast, now));
  const admitted = order.slice(0, Math.max(0, Math.floor(forecast.free)));
  return {
    queue: servable.filter((request) => !admitted.includes(request)),
    admitted: admitted.map(({ id }) => id),
    refused: unservable.map((request) => ({
      id: request.id,
      retryAfterMs: retryDelayMs(request.deadline - now, queue.length, forecast, random),
    })),
  };
}

/**
 * Takes a request in, or refuses it at once if it can't be answered behind those that wait.
 *
 * Load pattern: a group is down for 2 to 7 s, and nobody can tell when it opens. A caller that is sent away
 * at once comes back for the last time after a third of the time it has left, and waits two seconds: it
 * reaches an opening up to 4.6 s after it first came. One that waits its two seconds first, while the
 * group may open any moment, and is then sent away, reaches one up to 5.9 s after.
 */
export function enqueue(
  queue: StreamQueue,
  request: WaitingRequest,
  forecast: QueueForecast,
  now: number,
  random: number,
): QueueStep {
  const ahead = queue.filter((other) => compareUrgency(other, request, forecast, now) <= 0).length;
  const expected = expectedWaitMs(ahead, forecast);
  // Who came back has no further try: it waits for what may come, within its own bound.
  const waitMs = request.isCallerRetry || forecast.ratePerMs === 0 ? 0 : expected;
  if (!canFinish(request, forecast, now, waitMs)) {
    const retryAfterMs = retryDelayMs(request.deadline - now, queue.length, forecast, random);
    return { queue, admitted: [], refused: [{ id: request.id, retryAfterMs }] };
  }
  return admitWaiting([...queue, request], forecast, now, random);
}
