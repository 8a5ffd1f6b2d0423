/** Constants of routing; they are not configurable. */

/** Half-life of the weight of a load report, ms; engines report with a lag. */
export const REPORT_HALF_LIFE_MS = 1_000;

/**
 * Added to the score of an endpoint in another AZ: for a round trip of about 3 ms and the risk that the
 * connection between AZs fails during the call, against calls of about a second.
 */
export const REMOTE_ZONE_COST = 0.25;

/**
 * The endpoint that caches a prompt's prefix is used unless its score exceeds the best one by more than
 * this: the prefill that the cache saves is about this part of a call.
 */
export const AFFINITY_SLACK = 0.35;

/** A new or restarted endpoint gets its full share only after this time: its caches are cold. In ms. */
export const SLOW_START_MS = 10_000;

/** Consecutive failures after which an endpoint is ejected for a while. */
export const EJECT_FAILURES = 3;

/** How long an endpoint is ejected at first, ms; doubles with each further failure. */
export const EJECT_MS = 1_000;

/** Longest time for which an endpoint is ejected, ms. */
export const EJECT_MAX_MS = 30_000;

/** Share of a service's endpoints that may be ejected: if more fail, the fault is probably not theirs. */
export const EJECT_SHARE = 0.5;

/** Number of candidates that are logged with a decision. */
export const LOGGED_CANDIDATES = 4;
