/** Order of waiting requests where the routes of a service have different priorities. */
import type { RequestClass } from './DemandReport.js';

/** A request to be ordered. */
interface OrderedRequest extends RequestClass {
  /** ms on the local monotonic clock. */
  readonly objectiveAt: number;
  readonly isCallerRetry: boolean;
}

/** Objectives that are apart by less than this count as equal, ms: the interval in which starts are granted. */
const EQUAL_OBJECTIVES_MS = 250;

/** Sort keys of a request, the most significant first. */
function sortKeys(request: OrderedRequest, isOnTime: boolean): readonly number[] {
  const { priority, objectiveAt, isCallerRetry } = request;
  return [
    isOnTime || isCallerRetry ? 0 : 1,
    priority,
    isCallerRetry ? 0 : 1,
    Math.floor(objectiveAt / EQUAL_OBJECTIVES_MS),
  ];
}

function compareKeys(a: readonly number[], b: readonly number[]): number {
  const at = a.findIndex((value, i) => value !== b[i]);
  return at < 0 ? 0 : (a[at] ?? 0) - (b[at] ?? 0);
}

/**
 * Sorts requests that can be on time, and retries, before those that can only be late; then by priority; within a
 * priority retries before first tries, since their callers don't retry again; then by objective. Among equals the
 * customers take turns.
 *
 * A retry doesn't go before a more urgent first try: callers of the most urgent class would wait behind the retries of
 * the least urgent one, which is refused most often.
 */
export function sortByUrgency<T extends OrderedRequest>(
  requests: readonly T[],
  isOnTime: (request: T) => boolean,
): readonly T[] {
  const byObjective = [...requests].sort((a, b) => a.objectiveAt - b.objectiveAt);
  const turns = new Map<string, number>();
  return byObjective
    .map((request) => {
      const keys = sortKeys(request, isOnTime(request));
      const customerKey = `${keys.join(' ')} ${request.customer}`;
      const turn = turns.get(customerKey) ?? 0;
      turns.set(customerKey, turn + 1);
      return { request, keys: [...keys, turn, request.objectiveAt] };
    })
    .sort((a, b) => compareKeys(a.keys, b.keys))
    .map(({ request }) => request);
}
