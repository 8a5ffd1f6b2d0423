/** Timing of the replicated log, for AZs about 1.5 ms apart and regions up to some 100 ms. */

/** A follower that hears nothing for this long, plus up to as much again, campaigns. In ms. */
export const ELECTION_TIMEOUT_MS = 800;

/**
 * A replica that has just started, or got no answer to its pre-votes, asks for them after this long, plus up to as
 * much again. A pre-vote deposes nobody, so that asking often is safe; more than a heartbeat's time lets a leader be
 * heard first. In ms.
 */
export const PRE_VOTE_INTERVAL_MS = 200;

/** A leader sends at least this often. In ms. */
export const HEARTBEAT_MS = 150;

/** Entries in one message at most, so that one that lags can't hold up the rest. */
export const MAX_APPEND_ENTRIES = 128;
