/** Checks that the retries of all entry hosts together stay within the allowance of the service. */
import { arrivalsAt, worstRetryWindow, type RetryWindow } from '../src/protocol/index.js';
import type { SoakFinding, SoakRecord } from './SoakTypes.js';

/** The allowance in the settings of a run, small enough that the faults of a run use it up. */
const ALLOWANCE = { ratio: 0.02, extra: 12, windowMs: 10_000 };

/** Settings of a run. */
export const SOAK_RETRY_SETTINGS = [
  `bounds.retryBudgetRatio=${ALLOWANCE.ratio}`,
  `bounds.retryExtra=${ALLOWANCE.extra}`,
  `bounds.retryWindowS=${ALLOWANCE.windowMs / 1_000}`,
];

type Sends = Pick<SoakRecord, 'attempts' | 'executions' | 'refusals'>;

/** When requests reached an engine that had reached one before, ms, sorted. */
export function retryTimesOf({ executions, refusals }: Sends): readonly number[] {
  const arrivals = [...executions, ...refusals].sort((a, b) => a.at - b.at);
  const ids = new Set<string>();
  return arrivals.filter(({ id }) => ids.has(id) || !ids.add(id)).map(({ at }) => at);
}

/** The window with the most retries of its allowance. */
export function worstRetriesOf(sends: Sends): RetryWindow {
  const requests = sends.attempts.map(({ sentAt }) => sentAt);
  return worstRetryWindow(requests, arrivalsAt(retryTimesOf(sends)), ALLOWANCE);
}

/** Violations of the allowance in a record. */
export function checkRetries(record: SoakRecord): readonly SoakFinding[] {
  const { from, retries, allowed } = worstRetriesOf(record);
  const detail = `${retries} within ${ALLOWANCE.windowMs} ms from ${Math.round(from)}, ${allowed} allowed`;
  return retries > allowed ? [{ rule: 'retries within the allowance', detail }] : [];
}
