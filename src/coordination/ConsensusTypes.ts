/** Types of the replicated log's state machine (Raft: Ongaro and Ousterhout, 2014). */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Replicas of the log. A learner receives the log and has no vote. */
export interface ConsensusMembers {
  readonly voters: readonly string[];
  readonly learners: readonly string[];
}

/** Content of a log entry. */
export type ConsensusPayload =
  | { readonly kind: 'command'; readonly command: unknown }
  | { readonly kind: 'members'; readonly members: ConsensusMembers };

/** One entry of the log. Indices start at 1. */
export interface ConsensusEntry {
  readonly index: number;
  readonly term: number;
  readonly payload: ConsensusPayload;
}

/** State compacted from all entries up to and including `index`; the log continues after it. */
export interface ConsensusSnapshot {
  readonly index: number;
  readonly term: number;
  readonly members: ConsensusMembers;
  /** The state machine's image at `index`; opaque here. */
  readonly image: unknown;
}

/** Term and vote. They are synced before any message that depends on them is sent. */
export interface ConsensusHardState {
  readonly term: number;
  readonly vote: string | null;
}

interface WithTerm {
  readonly term: number;
}

/** Contact of a process with the host of a replica over the links between them. */
export interface ReplicaContact {
  /** Time of the last contact or, if there was none yet, of the first attempt; ms on the local monotonic clock. */
  readonly at: number;
  /** Whether there was any contact in the life of the process. */
  readonly heard: boolean;
}

/** Contacts of a replica with voters, in its reply to a leader. Clocks differ, so it states ages. */
export interface ContactReport {
  /** `sentAt` of the message that it replies to. */
  readonly askedAt: number;
  /** Ages of its contacts in ms, by voter. */
  readonly ages: Readonly<Record<string, { readonly ms: number; readonly heard: boolean }>>;
}

/** A contact that a replica has reported in this term, on the leader's clock. */
export interface ReportedContact extends ReplicaContact {
  /** Time up to which the report is known to hold: when the leader sent the message that it answers, ms. */
  readonly asOf: number;
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
      /** Time on the leader's clock, ms; see {@link ContactReport}. */
      readonly sentAt?: number;
    } & WithTerm)
  | ({
      readonly type: 'appendReply';
      readonly ok: boolean;
      /**
       * Index up to which the follower's log is known to match the leader's; if not ok, a hint where it may
       * match.
       */
      readonly match: number;
      readonly round: number;
      /** The follower's commit index. */
      readonly commit?: number;
      readonly contacts?: ContactReport;
    } & WithTerm)
  | ({
      readonly type: 'install';
      readonly snapshot: ConsensusSnapshot;
      readonly round: number;
      readonly sentAt?: number;
    } & WithTerm);

/** Role of a replica in its term. */
export type ConsensusRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** Replication progress of another replica, as the leader knows it. */
export interface ConsensusProgress {
  readonly next: number;
  readonly match: number;
  /** Time of its last reply; before the first one, of the election. ms on the local monotonic clock. */
  readonly heardAt: number;
  readonly hasReplied?: boolean;
  /** Its contacts by voter, as reported in this term. */
  readonly contacts?: Readonly<Record<string, ReportedContact>>;
  /** Highest round that it has replied to; see {@link ConsensusRead}. */
  readonly round: number;
  /** Entries or a snapshot sent to it that it has not replied to yet; null if there are none. */
  readonly inFlight: ConsensusTransfer | null;
}

/** A transfer of entries or of a snapshot to a replica. */
export interface ConsensusTransfer {
  /** Index of the last entry that it contains. */
  readonly upTo: number;
  /** ms on the local monotonic clock. */
  readonly sentAt: number;
}

/** A read that waits until a quorum has confirmed this replica as leader in `round`. */
export interface ConsensusRead {
  readonly id: string;
  readonly index: number;
  readonly round: number;
}

/** Complete state of a replica. */
export interface ConsensusState extends ConsensusHardState {
  readonly id: string;
  readonly role: ConsensusRole;
  readonly leader: string | null;
  readonly snapshot: ConsensusSnapshot;
  /** Entries after the snapshot. */
  readonly log: readonly ConsensusEntry[];
  readonly commit: number;
  /** Newest members in the log; they take effect when appended, before they are committed. */
  readonly members: ConsensusMembers;
  /** Time of the next election attempt, ms. */
  readonly electionAt: number;
  /** Time of the last message from a current leader, ms. */
  readonly heardAt: number;
  /** Time of the leader's next heartbeat, ms. */
  readonly heartbeatAt: number;
  readonly votes: readonly string[];
  readonly progress: Readonly<Record<string, ConsensusProgress>>;
  /** Round of the last read; see {@link ConsensusRead}. */
  readonly round: number;
  readonly reads: readonly ConsensusRead[];
}

/** Inputs of the state machine. */
export type ConsensusInput =
  | { readonly type: 'tick' }
  | { readonly type: 'message'; readonly from: string; readonly message: ConsensusMessage }
  | { readonly type: 'propose'; readonly id: string; readonly command: unknown }
  | { readonly type: 'members'; readonly id: string; readonly members: ConsensusMembers }
  | { readonly type: 'read'; readonly id: string }
  | { readonly type: 'compact'; readonly index: number; readonly image: unknown };

/**
 * Outputs of the state machine. All `persist…` outputs of a step must be synced before any other output of it
 * is performed: a vote or an acknowledgement that is sent and then lost in a crash breaks the quorum's
 * guarantees.
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

/** Clock, random generator and links of a step. */
export interface ConsensusContext {
  /** ms on the local monotonic clock. */
  readonly now: number;
  readonly rng: RandomGenerator;
  /** Contact of this process with a replica's host; undefined if it has no way to it. */
  readonly heardAt: (replica: string) => ReplicaContact | undefined;
}
