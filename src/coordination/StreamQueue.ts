/**
 * Requests of one model service that wait at an entry process for a place.
 *
 * Load pattern: a burst, or a group that is slow for seconds, brings more than can be served on time.
 * Those that can still be on time go first, the earliest useful deadline first; those that no longer
 * can are served late when places are left, for a late answer is worth about half and a refused one
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
  /** Tokens that its answer is expected to have. */
  readonly tokens: number;
  /** Whether it was refused before, as the time it has left tells. */
  readonly returned: boolean;
}

/** What the queue needs to know of the service now. */
export interface QueueOutlook {
  /** Places free for this process. */
  readonly free: number;
  /** Requests a ms that this process can begin, from what its places turn over. */
  readonly ratePerMs: number;
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
const MARGIN_MS = 300;

/** Longest wait that a request is taken in for, ms: by then a burst of some seconds is half over. */
const MOST_WAIT_MS = 2_500;

/** Longest wait of a request that has come back, ms: half of what an outage of a rank takes. */
const MOST_RETURNED_WAIT_MS = 2_000;

/** Where nothing is begun at all, callers are asked to come back after this long, ms. */
const STALLED_RETRY_MS = 1_500;

/** Part of the time that a caller has left at which it comes back at the latest. */
const RETURN_SHARE = 0.3;

/** Whether its first event can still be on time if it is sent now. */
function isOnTime(request: WaitingRequest, outlook: QueueOutlook, now: number): boolean {
  return now + outlook.firstMs <= request.objectiveAt;
}

/** On time before late; among those on time the earliest deadline, among the late who came back. */
function compare(a: WaitingRequest, b: WaitingRequest, outlook: QueueOutlook, now: number): number {
  const onTimeA = isOnTime(a, outlook, now);
  const onTimeB = isOnTime(b, outlook, now);
  if (onTimeA !== onTimeB) {
    return onTimeA ? -1 : 1;
  }
  if (a.priority !== b.priority) {
    return a.priority - b.priority;
  }
  return onTimeA
    ? a.objectiveAt - b.objectiveAt
    : Number(b.returned) - Number(a.returned) || a.arrivedAt - b.arrivedAt;
}

/** Whether it can be answered by its deadline if it is sent after so long. */
function canEnd(
  request: WaitingRequest,
  outlook: QueueOutlook,
  now: number,
  waitMs: number,
): boolean {
  const end = now + waitMs + outlook.firstMs + outlook.writeMs(request.tokens);
  return end + MARGIN_MS <= request.deadline;
}

/** Expected wait behind so many others, ms. */
function waitBehind(ahead: number, { free, ratePerMs }: QueueOutlook): number {
  const blocked = Math.max(0, ahead + 1 - free);
  return blocked === 0 ? 0 : blocked / Math.max(ratePerMs, 1e-6);
}

/**
 * When a refused request should come back: once those that wait now have been begun, later ones later,
 * and while it still has time for an answer.
 */
function returnAfter(
  request: WaitingRequest,
  waiting: number,
  outlook: QueueOutlook,
  now: number,
  random: number,
): number {
  const drained = Math.min(STALLED_RETRY_MS, waitBehind(waiting, outlook));
  const latest = Math.max(50, (request.deadline - now) * RETURN_SHARE);
  return Math.min(latest, 100 + drained * (0.5 + random));
}

/** Begins what there are places for, and refuses what can't be answered any more. */
export function pump(
  queue: StreamQueue,
  outlook: QueueOutlook,
  now: number,
  random: number,
): QueueStep {
  const isStalled = outlook.free < 1 && outlook.ratePerMs === 0;
  const hopeless = queue.filter(
    (request) =>
      !canEnd(request, outlook, now, 0) ||
      (isStalled && now - request.arrivedAt > MOST_RETURNED_WAIT_MS),
  );
  const hopeful = queue.filter((request) => !hopeless.includes(request));
  const order = [...hopeful].sort((a, b) => compare(a, b, outlook, now));
  const admitted = order.slice(0, Math.max(0, Math.floor(outlook.free)));
  return {
    queue: hopeful.filter((request) => !admitted.includes(request)),
    admitted: admitted.map(({ id }) => id),
    refused: hopeless.map((request) => ({
      id: request.id,
      retryAfterMs: returnAfter(request, queue.length, outlook, now, random),
    })),
  };
}

/** Takes a request in, or refuses it at once if it can't be answered behind those that wait. */
export function enqueue(
  queue: StreamQueue,
  request: WaitingRequest,
  outlook: QueueOutlook,
  now: number,
  random: number,
): QueueStep {
  const ahead = queue.filter((other) => compare(other, request, outlook, now) <= 0).length;
  const expected = waitBehind(ahead, outlook);
  // Who came back has no further try: it waits for what may come, within its own bound.
  const waitMs = request.returned ? Math.min(expected, MOST_RETURNED_WAIT_MS) : expected;
  if (waitMs > MOST_WAIT_MS || !canEnd(request, outlook, now, waitMs)) {
    const retryAfterMs = returnAfter(request, queue.length, outlook, now, random);
    return { queue, admitted: [], refused: [{ id: request.id, retryAfterMs }] };
  }
  return pump([...queue, request], outlook, now, random);
}
