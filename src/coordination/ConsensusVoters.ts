/**
 * Decides which replica a leader promotes to voter or removes next, since hosts get replaced and disks get
 * lost.
 */
import {
  isSilent,
  isVoterUnreachable,
  repliesFrom,
  UNREACHABLE_VOTER_MS,
} from './ConsensusContacts.js';
import { hasUncommittedChange } from './ConsensusLog.js';
import type { ConsensusContext, ConsensusMembers, ConsensusState } from './ConsensusTypes.js';

/**
 * A change of members and its reason: the voter was superseded (`forgotten`), has announced that its process stops
 * (`leaving`) or is unreachable (`silent`), or the learner has caught up.
 */
export interface VoterChange {
  readonly members: ConsensusMembers;
  readonly reason: 'forgotten' | 'leaving' | 'silent' | 'caughtUp';
  readonly replica: string;
}

/** Observations of a leader that are not part of its consensus state. */
export interface VoterView {
  /** ms on the local monotonic clock. */
  readonly now: number;
  /** Contact of this process with a replica's host, in any term; undefined if it has no way to it. */
  readonly heardAt: ConsensusContext['heardAt'];
  /** Replicas whose processes have announced that they stop and have not returned since. */
  readonly leaving: ReadonlySet<string>;
  /** Number of disks that may be lost at once without losing an accepted entry. */
  readonly lossesBorne: number;
}

/**
 * What a leader replies to a replica that leaves: it has no vote any more, or its vote isn't removed since the quorum
 * wouldn't get smaller, or that isn't decided yet.
 */
export type LeaveOutcome = 'left' | 'kept' | 'pending';

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

/** Whether a learner is unreachable for this leader, by its replies in this term or by the links between hosts. */
function isLearnerUnreachable({ progress }: ConsensusState, id: string, view: VoterView): boolean {
  const heard = [progress[id]?.heardAt, view.heardAt(id)?.at];
  return heard.some((at) => at !== undefined && view.now - at > UNREACHABLE_VOTER_MS);
}

/**
 * Whether a voter is unreachable. Where its host has returned under another id, contact with the host says nothing
 * about the voter, so that only its replies count.
 */
function isUnreachable(state: ConsensusState, replica: string, view: VoterView): boolean {
  const { voters, learners } = state.members;
  const hasReturned = [...voters, ...learners].some(
    (id) => id !== replica && replicaName(id) === replicaName(replica),
  );
  return hasReturned
    ? isSilent(repliesFrom(state, replica), view.now)
    : isVoterUnreachable(state, replica, view);
}

/** Minimum voters with which every quorum has an entry on one more disk than may be lost. */
function minVoters({ lossesBorne }: VoterView): number {
  return 2 * lossesBorne + 1;
}

/** Whether removing absent voters makes the quorum smaller and leaves enough voters. */
function canDropVoter(voters: readonly string[], absent: number, view: VoterView): boolean {
  const dropped = voters.length % 2 === 0 ? 1 : 2;
  return absent >= dropped && voters.length - dropped >= minVoters(view);
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
    (id) =>
      commit > 0 && (progress[id]?.match ?? 0) >= commit && !isLearnerUnreachable(state, id, view),
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
 * A voter whose process stops in order says so and counts as absent at once: its host may be replaced by a newcomer
 * that is a voter already, and the next disk may be lost before the silence of its host is proof.
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
  const leaving = voters.filter((id) => view.leaving.has(id));
  const silent = voters.filter(
    (id) => id !== state.id && !leaving.includes(id) && isUnreachable(state, id, view),
  );
  // Where two are removed, the quorum may need the vote of the one that leaves until the silent one is removed. Where
  // one is removed, the silent one may return.
  const [dropped] = voters.length % 2 === 0 ? [...leaving, ...silent] : [...silent, ...leaving];
  return dropped !== undefined && canDropVoter(voters, leaving.length + silent.length, view)
    ? {
        members: removeVoter(members, dropped),
        reason: leaving.includes(dropped) ? 'leaving' : 'silent',
        replica: dropped,
      }
    : null;
}

/** The reply of a leader to a replica in `view.leaving`, which stops once the outcome isn't pending. */
export function leaveOutcome(
  state: ConsensusState,
  replica: string,
  view: VoterView,
): LeaveOutcome {
  if (hasUncommittedChange(state)) {
    return 'pending';
  }
  if (!state.members.voters.includes(replica)) {
    return 'left';
  }
  return nextVoterChange(state, view) === null ? 'kept' : 'pending';
}
