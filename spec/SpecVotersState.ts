/** State of the specification of the choice of voters, and what the leader learns about the replicas. */
import type {
  ConsensusMembers,
  ConsensusProgress,
  ConsensusState,
  ReplicaContact,
  ReportedContact,
} from '../src/coordination/index.js';
import type { Safeguards } from './SpecTypes.js';

/** A replica; its id is `host.n`, where n counts the host's disks. */
export interface Replica {
  readonly id: string;
  /** `gone`: its disk is lost permanently. `silent`: unreachable, with its disk intact. */
  readonly status: 'sound' | 'silent' | 'gone';
  /** Whether the leader treats it as unreachable. */
  readonly suspected: boolean;
  /** Whether its disk holds all accepted entries. */
  readonly isUpToDate: boolean;
  /** Whether its process has announced that it stops, and has not returned since. */
  readonly isLeaving: boolean;
}

export interface State {
  readonly replicas: readonly Replica[];
  readonly members: ConsensusMembers;
  /** Lost disks that aren't made up for yet; at most `borne` of them at a time are tolerated. */
  readonly unrepaired: number;
  readonly losses: number;
  readonly silences: number;
  /** Hosts that were added as successors of hosts that leave. */
  readonly additions: number;
  /** Processes that have begun to leave, and hosts that were removed for good thereafter. */
  readonly departures: number;
  readonly removals: number;
  /** Whether the leader's process has restarted, so that it has never heard from an unreachable voter. */
  readonly isRestarted: boolean;
  /** A replica that only the leader can't reach, and treats as unreachable; null if there is none. */
  readonly hidden: string | null;
  /** Whether a voter was dropped that another voter heard from. */
  readonly hasDroppedHeard: boolean;
}

const SILENCE_OUTLIVES_ELECTION = 'silence is counted across elections';
const DROP_SILENT = 'silent voters are dropped where the quorum gets smaller';
const DROP_TWO_OF_ODD = 'two silent voters of an odd number are dropped';
const PROMOTE_FIRST = 'newcomers are promoted before any voter is dropped';
const KEEP_ENOUGH_VOTERS = 'as many voters stay as the disks that may be lost ask for';
const ASK_REPLICAS = 'the replicas tell for how long a voter has been silent';
const WAIT_FOR_REMOVAL = 'a voter that leaves waits until its vote is removed or kept';
const HEED_CONTACT = 'a voter that another one hears keeps its vote';

/** Names of the safeguards; each specification lists those whose mutants fail within its bounds. */
export const VOTERS_SAFEGUARDS = {
  SILENCE_OUTLIVES_ELECTION,
  DROP_SILENT,
  DROP_TWO_OF_ODD,
  PROMOTE_FIRST,
  KEEP_ENOUGH_VOTERS,
  ASK_REPLICAS,
  HEED_CONTACT,
  WAIT_FOR_REMOVAL,
};

/** Current time, ms; a replica last heard from at 0 counts as unreachable. */
export const NOW = 10_000;

/** When a restarted leader started, ms: too recently for it to have seen a silence itself. */
const RESTARTED_AT = NOW - 1_000;

/** The leader's own contact with a replica. */
export function contactOfLeader(state: State, { id, suspected }: Replica): ReplicaContact {
  const isOut = suspected || state.hidden === id;
  if (isOut && state.isRestarted) {
    return { at: RESTARTED_AT, heard: false };
  }
  return { at: isOut ? 0 : NOW, heard: true };
}

/** What another voter reports about a replica, altered where a safeguard is disabled. */
function contactReported(state: State, replica: Replica, enabled: Safeguards): ReportedContact {
  const contact = { at: replica.suspected ? 0 : NOW, heard: true };
  const safeguard = replica.suspected ? ASK_REPLICAS : HEED_CONTACT;
  const stated = enabled[safeguard] === false ? contactOfLeader(state, replica) : contact;
  return { ...stated, asOf: NOW };
}

/** The leader's progress of the replicas, with what the reachable ones report. */
export function progressOf(state: State, enabled: Safeguards): ConsensusState['progress'] {
  const contacts = Object.fromEntries(
    state.replicas.map((replica) => [replica.id, contactReported(state, replica, enabled)]),
  );
  const ofReplica = (replica: Replica): ConsensusProgress => {
    const { at, heard } = contactOfLeader(state, replica);
    const isReporting = replica.status === 'sound' && replica.id !== state.hidden;
    return {
      next: 2,
      match: replica.isUpToDate ? 1 : 0,
      heardAt: at,
      hasReplied: heard,
      contacts: isReporting ? contacts : {},
      round: 0,
      inFlight: null,
    };
  };
  return Object.fromEntries(state.replicas.map((replica) => [replica.id, ofReplica(replica)]));
}
