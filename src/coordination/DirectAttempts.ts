/**
 * Decides what to do when an attempt at a self-fencing endpoint fails. Such an endpoint proves which
 * instance it is and reports when it has not run a request, so the entry process calls it directly,
 * without a gate in between.
 */

/** How an attempt failed. */
export type DirectFailure =
  /** No connection was established, so nothing was sent. */
  | 'unsent'
  /** Not sent, because the endpoint currently accepts no more requests from this process. */
  | 'heldBack'
  /** The endpoint reported that it has not run the request and never will. */
  | 'notRun'
  /** Sent, but the endpoint did not answer this request: it may have run, or may still run. */
  | 'lost'
  /** The endpoint ran it and answered with an error of its own. */
  | 'failed'
  /** The answer was truncated. */
  | 'broken';

/** What to do after a failed attempt. */
export type DirectVerdict =
  /** Send it to another endpoint; a stream that has started resumes after its last event. */
  | 'retry'
  /** Wait for a slot again: no endpoint of the service can take it now, but one may soon. */
  | 'wait'
  /** Pass the endpoint's error on to the caller. */
  | 'pass'
  /** Refuse it: it has not run and never will. */
  | 'refuse'
  /** Fail it: it is unknown whether it has run. */
  | 'fail'
  /** Abort a stream that has started, so that it does not look complete. */
  | 'cut';

/** State of a request when an attempt fails. */
export interface DirectProgress {
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** How often it has been sent, and how often it may be sent at most. */
  readonly sendCount: number;
  readonly maxSends: number;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Whether the caller has received part of a stream, and whether it can resume at another endpoint. */
  readonly responseStarted: boolean;
  readonly canResume: boolean;
  /** Whether the service has groups and all of them are closed, as far as this process knows. */
  readonly isServiceDown: boolean;
  /** Time until the deadline, ms. */
  readonly remainingMs: number;
}

/** Minimum time before the deadline for another attempt, ms; a plain call takes 20 ms. */
export const MIN_RETRY_TIME_MS = 60;

/** Attempts that can't be sent are retried elsewhere up to this often, as they cost endpoints nothing. */
const MAX_UNSENT_ATTEMPTS = 4;

/** HTTP statuses that tell a caller that its request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether an answer with this HTTP status tells its caller that the request has not run. */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** Whether the attempt failed before anything was sent. */
export function isUnsent(failure: DirectFailure): boolean {
  return failure === 'unsent' || failure === 'heldBack';
}

function mayRetry(failure: DirectFailure, progress: DirectProgress, unsentCount: number): boolean {
  const { repeatable, sendCount, maxSends, remainingMs, responseStarted, canResume } = progress;
  if (remainingMs < MIN_RETRY_TIME_MS || (responseStarted && !canResume)) {
    return false;
  }
  if (isUnsent(failure)) {
    return unsentCount <= MAX_UNSENT_ATTEMPTS;
  }
  return sendCount < maxSends && (repeatable || failure === 'notRun');
}

/**
 * Whether a request waits for a slot again.
 *
 * When a rank of a group is lost, all other ranks refuse or drop what they were sent. A second attempt at
 * another rank of the group would be wasted, and the caller would use up its last retry while the group is
 * still closed. So the request waits for the group as long as its caller does, as if it had arrived while the
 * group was closed.
 */
function mayRequeue(failure: DirectFailure, progress: DirectProgress): boolean {
  const { isServiceDown, responseStarted, mayHaveRun, repeatable, sendCount, maxSends } = progress;
  const mayRunAgain = repeatable || (failure === 'notRun' && !mayHaveRun);
  return (
    isServiceDown && !responseStarted && mayRunAgain && failure !== 'failed' && sendCount < maxSends
  );
}

/** Decides what to do after a failed attempt if it isn't repeated. */
export function judgeWithoutRetry(failure: DirectFailure, progress: DirectProgress): DirectVerdict {
  if (progress.responseStarted) {
    return 'cut';
  }
  const possiblyRan = progress.mayHaveRun || failure === 'lost' || failure === 'broken';
  if (failure === 'failed') {
    return 'pass';
  }
  return possiblyRan ? 'fail' : 'refuse';
}

/**
 * Decides what to do after a failed attempt. A retry still needs an allowance if the request has reached an endpoint;
 * where there is none, {@link judgeWithoutRetry} decides.
 *
 * @param unsentCount Attempts of the request that failed before anything was sent.
 */
export function judgeFailure(
  failure: DirectFailure,
  progress: DirectProgress,
  unsentCount: number,
): DirectVerdict {
  if (mayRequeue(failure, progress)) {
    return 'wait';
  }
  return mayRetry(failure, progress, unsentCount) ? 'retry' : judgeWithoutRetry(failure, progress);
}
