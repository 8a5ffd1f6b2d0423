/**
 * When a request is sent although parts of its prompt are quarantined, to find out whether they are sound.
 *
 * If endpoints crash before any request was answered, the parts that all prompts share were in progress at each crash,
 * whatever its cause. All requests would be held back then, and no answer could clear the parts. So where nothing is
 * answered, one request is tried now and then: its answer clears the parts, or its crash counts like any other.
 */

/** Maximum number of crashes of parts that are still tried; with more of them, the parts stay quarantined. */
export const MAX_TRIED_CRASHES = 5;

/** A customer's parts are tried once none of its requests was answered for this time, ms. */
export const UNANSWERED_MS = 3_000;

/**
 * Time in which each process tries quarantined parts once, ms, at a time of its own: the others learn what comes of it
 * before most of them try the parts too.
 */
export const TRIAL_INTERVAL_MS = 10_000;

/** Maximum number of quarantines that are remembered. */
const MAX_REMEMBERED = 64;

/** Parts that hold a request back. */
export interface HeldParts {
  /** Identifies the parts and their crashes. */
  readonly key: string;
  readonly crashes: number;
  /** Time of the last answer to the customer, ms. */
  readonly answeredAt: number;
}

/** Time of the next trial by key, ms. */
export type TrialTimes = ReadonlyMap<string, number>;

/** Times after a decision, and whether the request is sent. */
export interface TrialStep {
  readonly times: TrialTimes;
  readonly isTrial: boolean;
}

/** Decides whether a request that parts hold back is sent; `random` is a number from 0 to 1. */
export function decideTrial(
  times: TrialTimes,
  { key, crashes, answeredAt }: HeldParts,
  now: number,
  random: number,
): TrialStep {
  const trialAt = times.get(key);
  if (crashes > MAX_TRIED_CRASHES || now - answeredAt < UNANSWERED_MS || now < (trialAt ?? 0)) {
    return { times, isTrial: false };
  }
  const isTrial = trialAt !== undefined;
  const nextInMs = TRIAL_INTERVAL_MS * (isTrial ? 0.5 + random : random);
  const kept = [...times].filter(([known]) => known !== key).slice(1 - MAX_REMEMBERED);
  return { times: new Map([...kept, [key, now + nextInMs]]), isTrial };
}
