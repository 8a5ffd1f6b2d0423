/** Which replica a leader makes a voter next, or drops: hosts are replaced, and disks are lost. */
import type { ConsensusMembers, ConsensusState } from './ConsensusTypes.js';

/** A change of members, and what it is for. */
export interface VoterChange {
  readonly members: ConsensusMembers;
  readonly reason: 'forgotten' | 'silent' | 'caughtUp';
  readonly replica: string;
}

/**
 * A voter that the leader hasn't heard for this long may be dropped, ms. A replaced host has to be out of
 * the quorum by the time at which its successor must count, 4 s after its start; hosts that are only frozen
 * or cut off for longer come back as learners and are voters again within a second.
 */
export const UNREACHABLE_VOTER_MS = 3_000;

/** What a leader knows beside its own term. */
export interface VoterView {
  /** ms on the local monotonic clock. */
  readonly now: number;
  /** When this process last heard a replica's host, in whichever term; ms, undefined where it can't tell. */
  readonly heardAt: (replica: string) => number | undefined;
  /** Disks that may be lost at once without anything accepted being lost. */
  readonly lossesBorne: number;
}

/** A replica's name: its id without the part that a new data folder changes. */
export function replicaName(replica: string): string {
  return replica.split('.')[0] ?? replica;
}

/** A voter whose host has returned with a new data folder and is a voter under another id. */
function findSuperseded({ voters }: ConsensusMembers): string | undefined {
  return voters.find((id, i) =>
    voters.slice(i + 1).some((other) => replicaName(other) === replicaName(id)),
  );
}

/**
 * Tells whether a replica is silent, by its answers in this term or by the links between hosts.
 *
 * Failure: leaders change while a host is gone. Symptom: counted from each election anew, its silence is
 * noticed late or never, and it still votes when the next disk is lost. Enough: links outlive elections.
 */
function isUnreachable(
  { id, progress }: ConsensusState,
  replica: string,
  view: VoterView,
): boolean {
  const heard = [progress[replica]?.heardAt, view.heardAt(replica)];
  return (
    replica !== id && heard.some((at) => at !== undefined && view.now - at > UNREACHABLE_VOTER_MS)
  );
}

/** Voters with which every quorum holds an entry on one more disk than may be lost. */
function minVoters({ lossesBorne }: VoterView): number {
  return 2 * lossesBorne + 1;
}

/** Tells whether the quorum gets smaller when silent voters are dropped, and stays large enough. */
function canDropVoter(voters: readonly string[], unreachable: number, view: VoterView): boolean {
  const dropped = voters.length % 2 === 0 ? 1 : 2;
  return unreachable >= dropped && voters.length - dropped >= minVoters(view);
}

function removeVoter({ voters, learners }: ConsensusMembers, replica: string): ConsensusMembers {
  return { voters: voters.filter((id) => id !== replica), learners };
}

function promoteLearner({ voters, learners }: ConsensusMembers, replica: string): ConsensusMembers {
  return { voters: [...voters, replica], learners: learners.filter((id) => id !== replica) };
}

/** A learner that is heard and has all that is committed. */
function findCaughtUp(state: ConsensusState, view: VoterView): string | undefined {
  const { members, progress, commit } = state;
  return members.learners.find(
    (id) => commit > 0 && (progress[id]?.match ?? 0) >= commit && !isUnreachable(state, id, view),
  );
}

/**
 * The next change of members, if one is due; voters change one at a time.
 *
 * Failure: a replica loses its data folder. Symptom: as an empty voter it could vote twice in a term, or
 * count as holding what it forgot. Enough: it returns under a new id without a vote, gets one only with
 * the whole log, and then its old id is dropped.
 *
 * Failure: hosts are gone for good, and their successors were taken in before they counted as silent.
 * Symptom: of four voters one is dead, or of seven two, and a quorum needs all but as many others; one more
 * lost disk, and nothing is ever accepted again. Enough: silent voters are dropped also without a newcomer
 * wherever that makes the quorum smaller, down to as many as the disks that may be lost ask for.
 *
 * Failure: a voter is cut off while another's disk is lost, and a newcomer is ready. Symptom: dropped to make
 * room, the one that is cut off comes back without a vote, and with the next lost disk too few are left that
 * have one. Enough: a newcomer is promoted first, and a voter dropped only from the larger number.
 */
export function nextVoterChange(state: ConsensusState, view: VoterView): VoterChange | null {
  const { members } = state;
  const { voters } = members;
  const superseded = findSuperseded(members);
  if (superseded !== undefined) {
    return { members: removeVoter(members, superseded), reason: 'forgotten', replica: superseded };
  }
  const caughtUp = findCaughtUp(state, view);
  if (caughtUp !== undefined) {
    return { members: promoteLearner(members, caughtUp), reason: 'caughtUp', replica: caughtUp };
  }
  const unreachable = voters.filter((id) => isUnreachable(state, id, view));
  const [dropped] = unreachable;
  return dropped !== undefined && canDropVoter(voters, unreachable.length, view)
    ? { members: removeVoter(members, dropped), reason: 'silent', replica: dropped }
    : null;
}
