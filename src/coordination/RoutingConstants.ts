/** Constants of routing. No operator turns them; each says what it stands for. */

/** A report loses half of its weight in this time. Engines report with a lag. In ms. */
export const REPORT_HALF_LIFE_MS = 1_000;

/** Added to the score of an endpoint in another AZ: a way of some 3 ms there and back, and the
 * risk of being cut off in the middle, against calls of a second or so. */
export const REMOTE_ZONE_COST = 0.25;

/** The endpoint that holds a prompt's prefix is used unless it is busier than the least loaded by
 * more than this: the prefill that the cache saves is about this part of a call. */
export const AFFINITY_SLACK = 0.35;

/** A returning endpoint takes its full share only after this time: its caches are cold. In ms. */
export const SLOW_START_MS = 10_000;

/** Failures in a row after which an endpoint is set aside for a while. */
export const EJECT_FAILURES = 3;

/** How long an endpoint is set aside at first; doubles with each further failure. In ms. */
export const EJECT_MS = 1_000;

/** Longest time an endpoint is set aside. In ms. */
export const EJECT_MAX_MS = 30_000;

/** Share of a service's endpoints that may be set aside: beyond it, the fault isn't theirs. */
export const EJECT_SHARE = 0.5;

/** Candidates written to the log with a decision. */
export const LOGGED_CANDIDATES = 4;
