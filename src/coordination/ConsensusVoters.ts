/**
 * Decides which replica a leader promotes to voter or removes next, since hosts get replaced and disks get
 * lost.
 */
import type { ConsensusMembers, ConsensusState } from './ConsensusTypes.js';

/**
 * A change of members and its reason: the voter was superseded (`forgotten`) or is unreachable (`silent`), or
 * the learner has caught up.
 */
export interface VoterChange {
  readonly members: ConsensusMembers;
  readonly reason: 'forgotten' | 'silent' | 'caughtUp';
  readonly replica: string;
}

/**
 * A voter without contact to the leader for this long may be removed, ms. A replaced host has to be out of
 * the quorum by the time at which its successor must count as a voter, 4 s after the successor's start; hosts
 * that are only frozen or partitioned for longer return as learners and are voters again within a second.
 */
export const UNREACHABLE_VOTER_MS = 3_000;

/** Observations of a leader that are not part of its consensus state. */
export interface VoterView {
  /** ms on the local monotonic clock. */
  readonly now: number;
  /** Time of this process's last contact with a replica's host, in any term, ms; undefined if unknown. */
  readonly heardAt: (replica: string) => number | undefined;
  /** Number of disks that may be lost at once without losing an accepted entry. */
  readonly lossesBorne: number;
}

/** Name of a replica: its id without the part that changes with a new data folder. */
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
 * Whether a replica is unreachable, by its replies in this term or by the links between hosts. Replies alone
 * would restart the count at each election, so that a lost host is noticed late or never and still has a vote
 * when the next disk is lost; links outlive elections.
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

/** Minimum voters with which every quorum has an entry on one more disk than may be lost. */
function minVoters({ lossesBorne }: VoterView): number {
  return 2 * lossesBorne + 1;
}

/** Whether removing unreachable voters makes the quorum smaller and leaves enough voters. */
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

/** A reachable learner that has all committed entries. */
function findCaughtUp(state: ConsensusState, view: VoterView): string | undefined {
  const { members, progress, commit } = state;
  return members.learners.find(
    (id) => commit > 0 && (progress[id]?.match ?? 0) >= commit && !isUnreachable(state, id, view),
  );
}

/**
 * The next change of members, or null if none is due. Voters change one at a time.
 *
 * A replica that lost its data folder could vote twice in a term, or count as having entries that it has
 * lost. It therefore returns under a new id without a vote and becomes a voter only with the whole log; then
 * its old id is removed.
 *
 * The successors of lost hosts may be promoted before the lost hosts count as unreachable. Then one of four
 * voters is lost, or two of seven; if as many more disks are lost, no quorum is left and no entry can ever be
 * committed again. Unreachable voters are therefore removed even without a newcomer wherever that makes the
 * quorum smaller, down to the number that the disks that may be lost require.
 *
 * A voter may be partitioned while another's disk is lost and a newcomer is ready. If it were removed to make
 * room, it would return without a vote, and after the next lost disk too few voters would be left. A newcomer
 * is therefore promoted first, and a voter removed only from the larger number.
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
