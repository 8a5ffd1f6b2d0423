/**
 * Timing and batch size of the replicated log, for availability zones about 1.5 ms and regions up to about
 * 100 ms apart.
 */

/**
 * A follower starts an election after this long without contact from a leader, plus a random delay of up to
 * as much again. In ms.
 */
export const ELECTION_TIMEOUT_MS = 800;

/**
 * Delay before a replica asks for pre-votes after its start, and before it asks again if it got neither a
 * quorum nor a refusal, plus a random delay of up to as much again. Asking often is safe, since a pre-vote
 * deposes no leader; the delay is longer than the heartbeat interval so that an existing leader is heard
 * first. In ms.
 */
export const PRE_VOTE_INTERVAL_MS = 200;

/** Interval of a leader's heartbeats, in ms. */
export const HEARTBEAT_MS = 150;

/**
 * Maximum entries in one append message. Entries may hold whole documents, and heartbeats wait behind them on the
 * link.
 */
export const MAX_APPEND_ENTRIES = 16;

/**
 * Entries or a snapshot without a reply are sent again after this long, ms. They arrive unless their link breaks, so
 * this only has to be well below the election timeout, and longer than a transfer takes.
 */
export const RESEND_AFTER_MS = 450;
