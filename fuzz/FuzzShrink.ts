/** Shrinks a failing case by one simplification at a time. */
import type { FuzzAnswer, FuzzCase, FuzzRequest } from './FuzzTypes.js';

/** Maximum number of attempts; each runs a case. */
const MAX_TRIES = 60;

function without<T>(items: readonly T[], i: number): readonly T[] {
  return items.filter((_item, at) => at !== i);
}

function replace<T>(items: readonly T[], i: number, item: T): readonly T[] {
  return items.map((old, at) => (at === i ? item : old));
}

function smallerAnswers(answer: FuzzAnswer): readonly FuzzAnswer[] {
  const { head, edits, extras, cut, splits, pauseMs, end } = answer;
  return [
    ...head.map((_item, i) => ({ ...answer, head: without(head, i) })),
    ...edits.map((_item, i) => ({ ...answer, edits: without(edits, i) })),
    ...extras.map((_item, i) => ({ ...answer, extras: without(extras, i) })),
    ...(cut === null ? [] : [{ ...answer, cut: null }]),
    ...(splits.length === 0 ? [] : [{ ...answer, splits: [] }]),
    ...(pauseMs === 0 ? [] : [{ ...answer, pauseMs: 0 }]),
    ...(end === 'keep' ? [] : [{ ...answer, end: 'keep' as const }]),
  ];
}

function smallerRequests(request: FuzzRequest): readonly FuzzRequest[] {
  const { answers, splits, isChunked, isPipelined, size, lastEvent } = request;
  return [
    ...answers.map((_item, i) => ({ ...request, answers: without(answers, i) })),
    ...(splits.length === 0 ? [] : [{ ...request, splits: [] }]),
    ...(isChunked ? [{ ...request, isChunked: false }] : []),
    ...(isPipelined ? [{ ...request, isPipelined: false }] : []),
    ...(size === 0 ? [] : [{ ...request, size: 0 }]),
    ...(lastEvent === null ? [] : [{ ...request, lastEvent: null }]),
    ...answers.flatMap((answer, i) =>
      smallerAnswers(answer).map((smaller) => ({
        ...request,
        answers: replace(answers, i, smaller),
      })),
    ),
  ];
}

/** Cases with one simplification each. */
export function smallerCases(plan: FuzzCase): readonly FuzzCase[] {
  const { requests, endpoints } = plan;
  return [
    ...(requests.length === 1
      ? []
      : requests.map((_item, i) => ({ ...plan, requests: without(requests, i) }))),
    ...(endpoints === 1 ? [] : [{ ...plan, endpoints: 1 }]),
    ...requests.flatMap((request, i) =>
      smallerRequests(request).map((smaller) => ({
        ...plan,
        requests: replace(requests, i, smaller),
      })),
    ),
  ];
}

/** Returns the smallest case found that still fails. */
export async function shrinkCase(
  plan: FuzzCase,
  fails: (smaller: FuzzCase) => Promise<boolean>,
): Promise<FuzzCase> {
  let smallest = plan;
  let tries = 0;
  let candidates = smallerCases(smallest);
  while (candidates.length > 0 && tries < MAX_TRIES) {
    const [next, ...others] = candidates as readonly [FuzzCase, ...FuzzCase[]];
    tries += 1;
    // eslint-disable-next-line no-await-in-loop
    const stillFails = await fails(next);
    smallest = stillFails ? next : smallest;
    candidates = stillFails ? smallerCases(next) : others;
  }
  return smallest;
}
