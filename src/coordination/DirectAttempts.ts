/**
 * What follows when an attempt at an endpoint that fences itself comes to nothing. Such an endpoint
 * proves which instance it is and says when it hasn't run a request, so that the entry process calls
 * it without a gate in between.
 */

/** How an attempt failed. */
export type DirectFailure =
  /** No connection was made: nothing was sent. */
  | 'unsent'
  /** Kept back before anything was sent: the endpoint takes no more from here for now. */
  | 'heldBack'
  /** The endpoint says that it has not run the request and never will. */
  | 'notRun'
  /** Sent, and no answer of the endpoint's to this request came: it may have run, or may yet. */
  | 'lost'
  /** The endpoint ran it and answered with a failure of its own. */
  | 'failed'
  /** The answer broke off. */
  | 'broken';

/** What follows. */
export type DirectVerdict =
  /** Send it to another endpoint; a stream that has begun goes on after its last event. */
  | 'retry'
  /** Wait for a place again: no endpoint of the service can take it now, and one soon may. */
  | 'wait'
  /** Pass the endpoint's own failure on. */
  | 'pass'
  /** Refuse it: it has not run and never will. */
  | 'refuse'
  /** Fail it: nobody can tell whether it has run. */
  | 'fail'
  /** End a stream that has begun so that it can't look finished. */
  | 'cut';

/** Where a request stands when an attempt fails. */
export interface DirectProgress {
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Endpoints that it was sent to, and how many it may be sent to. */
  readonly sendCount: number;
  readonly maxSends: number;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Whether the caller has been sent a part of a stream, and whether that can go on elsewhere. */
  readonly responseStarted: boolean;
  readonly canResume: boolean;
  /** Whether all groups of the service are closed, as far as is known. */
  readonly isServiceDown: boolean;
  /** Time left, ms. */
  readonly remainingMs: number;
}

/** Time that a further attempt must have left to be worth starting, ms: a plain call takes 20. */
export const MIN_RETRY_TIME_MS = 60;

/** Attempts that can't be sent are tried elsewhere this often: they cost the endpoints nothing. */
const MAX_UNSENT_ATTEMPTS = 4;

/** Statuses that tell a caller that its request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether an answer with this status promises its caller that the request has not run. */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** Whether nothing was sent. */
export function isUnsent(failure: DirectFailure): boolean {
  return failure === 'unsent' || failure === 'heldBack';
}

function mayRetry(failure: DirectFailure, progress: DirectProgress, unsent: number): boolean {
  const { repeatable, sendCount, maxSends, remainingMs, responseStarted, canResume } = progress;
  if (remainingMs < MIN_RETRY_TIME_MS || (responseStarted && !canResume)) {
    return false;
  }
  if (isUnsent(failure)) {
    return unsent <= MAX_UNSENT_ATTEMPTS;
  }
  return sendCount < maxSends && (repeatable || failure === 'notRun');
}

/**
 * Whether a request goes back to wait for a place.
 *
 * Failure: a rank of a group is lost, and all others refuse or drop what they were sent.
 * Symptom: the second try is spent on another rank of the same group, and the caller's last one on coming
 * back while the group is still closed. Enough: the request waits for the group as long as its caller does,
 * as if it had come while the group was closed.
 */
function mayRequeue(failure: DirectFailure, progress: DirectProgress): boolean {
  const { isServiceDown, responseStarted, mayHaveRun, repeatable, sendCount, maxSends } = progress;
  const mayRunAgain = repeatable || (failure === 'notRun' && !mayHaveRun);
  return (
    isServiceDown && !responseStarted && mayRunAgain && failure !== 'failed' && sendCount < maxSends
  );
}

/**
 * Judges a failed attempt. `takeRetry` takes from the service's budget, and is asked only where a
 * retry would follow; an attempt that was never sent costs nothing of it.
 */
export function judgeFailure(
  failure: DirectFailure,
  progress: DirectProgress,
  unsent: number,
  takeRetry: () => boolean,
): DirectVerdict {
  if (mayRequeue(failure, progress)) {
    return 'wait';
  }
  if (mayRetry(failure, progress, unsent) && (isUnsent(failure) || takeRetry())) {
    return 'retry';
  }
  if (progress.responseStarted) {
    return 'cut';
  }
  const mayRun = progress.mayHaveRun || failure === 'lost' || failure === 'broken';
  if (failure === 'failed') {
    return 'pass';
  }
  return mayRun ? 'fail' : 'refuse';
}
