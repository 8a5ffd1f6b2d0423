/** Types of the replicated log's state machine (Raft: Ongaro and Ousterhout, 2014). */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Who counts. A learner receives the log and has no vote. */
export interface ConsensusMembers {
  readonly voters: readonly string[];
  readonly learners: readonly string[];
}

/** What a log entry holds. */
export type ConsensusPayload =
  | { readonly kind: 'command'; readonly command: unknown }
  | { readonly kind: 'members'; readonly members: ConsensusMembers };

/** One entry of the log. Indices begin at 1. */
export interface ConsensusEntry {
  readonly index: number;
  readonly term: number;
  readonly payload: ConsensusPayload;
}

/** What stands before the first entry kept: everything up to `index`, compacted. */
export interface ConsensusSnapshot {
  readonly index: number;
  readonly term: number;
  readonly members: ConsensusMembers;
  /** The state machine's image at `index`; opaque here. */
  readonly image: unknown;
}

/** Term and vote: synced before any message that depends on them is sent. */
export interface ConsensusHardState {
  readonly term: number;
  readonly vote: string | null;
}

interface WithTerm {
  readonly term: number;
}

interface VoteRequest extends WithTerm {
  readonly lastIndex: number;
  readonly lastTerm: number;
}

interface VoteReply extends WithTerm {
  readonly granted: boolean;
}

/** Messages between replicas. */
export type ConsensusMessage =
  | ({ readonly type: 'preVote' } & VoteRequest)
  | ({ readonly type: 'preVoteReply' } & VoteReply)
  | ({ readonly type: 'vote' } & VoteRequest)
  | ({ readonly type: 'voteReply' } & VoteReply)
  | ({
      readonly type: 'append';
      readonly prevIndex: number;
      readonly prevTerm: number;
      readonly entries: readonly ConsensusEntry[];
      readonly commit: number;
      readonly round: number;
    } & WithTerm)
  | ({
      readonly type: 'appendReply';
      readonly ok: boolean;
      /** Index up to which the follower's log is known to be the leader's; a hint when not ok. */
      readonly match: number;
      readonly round: number;
    } & WithTerm)
  | ({
      readonly type: 'install';
      readonly snapshot: ConsensusSnapshot;
      readonly round: number;
    } & WithTerm);

/** Role of a replica in its term. */
export type ConsensusRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** What a leader knows of one other replica. */
export interface ConsensusProgress {
  readonly next: number;
  readonly match: number;
  /** When it was last heard from, ms on the local monotonic clock. */
  readonly heardAt: number;
  /** Highest round it has answered; see reads. */
  readonly round: number;
}

/** A read that waits until a quorum has confirmed that this replica still leads. */
export interface ConsensusRead {
  readonly id: string;
  readonly index: number;
  readonly round: number;
}

/** Whole state of a replica. */
export interface ConsensusState extends ConsensusHardState {
  readonly id: string;
  readonly role: ConsensusRole;
  readonly leader: string | null;
  readonly snapshot: ConsensusSnapshot;
  /** Entries after the snapshot. */
  readonly log: readonly ConsensusEntry[];
  readonly commit: number;
  /** Newest members in the log, in force from when they are appended. */
  readonly members: ConsensusMembers;
  /** When to campaign, ms. */
  readonly electionAt: number;
  /** When a current leader was last heard, ms. */
  readonly heardAt: number;
  /** When the leader sends next, ms. */
  readonly heartbeatAt: number;
  readonly votes: readonly string[];
  readonly progress: Readonly<Record<string, ConsensusProgress>>;
  readonly round: number;
  readonly reads: readonly ConsensusRead[];
}

/** What goes in. */
export type ConsensusInput =
  | { readonly type: 'tick' }
  | { readonly type: 'message'; readonly from: string; readonly message: ConsensusMessage }
  | { readonly type: 'propose'; readonly id: string; readonly command: unknown }
  | { readonly type: 'members'; readonly id: string; readonly members: ConsensusMembers }
  | { readonly type: 'read'; readonly id: string }
  | { readonly type: 'compact'; readonly index: number; readonly image: unknown };

/**
 * What comes out. All `persist…` outputs of a step must be synced before any other output of it
 * is carried out: a vote or an acknowledgement that was sent and then forgotten breaks the quorum.
 */
export type ConsensusOutput =
  | { readonly type: 'persistHard'; readonly hard: ConsensusHardState }
  | {
      readonly type: 'persistEntries';
      /** Entries from here on are replaced. */
      readonly from: number;
      readonly entries: readonly ConsensusEntry[];
    }
  | { readonly type: 'persistSnapshot'; readonly snapshot: ConsensusSnapshot }
  | { readonly type: 'send'; readonly to: string; readonly message: ConsensusMessage }
  | { readonly type: 'restore'; readonly snapshot: ConsensusSnapshot }
  | { readonly type: 'commit'; readonly entries: readonly ConsensusEntry[] }
  | {
      readonly type: 'proposed';
      readonly id: string;
      readonly index: number;
      readonly term: number;
    }
  | { readonly type: 'refused'; readonly id: string; readonly leader: string | null }
  | { readonly type: 'readReady'; readonly id: string; readonly index: number }
  | { readonly type: 'role'; readonly role: ConsensusRole; readonly term: number };

/** New state and outputs of a step. */
export interface ConsensusStep {
  readonly state: ConsensusState;
  readonly outputs: readonly ConsensusOutput[];
}

/** Time and randomness of a step. */
export interface ConsensusContext {
  /** ms on the local monotonic clock. */
  readonly now: number;
  readonly rng: RandomGenerator;
}
