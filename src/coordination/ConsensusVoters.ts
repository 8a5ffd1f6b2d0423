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
export const SILENT_VOTER_MS = 3_000;

/** Voters that are kept whether they are heard or not: with fewer, two disks wouldn't hold each entry. */
const LEAST_VOTERS = 3;

/** A replica's name: its id without the part that a new data folder changes. */
export function replicaName(replica: string): string {
  return replica.split('.')[0] ?? replica;
}

/** A voter whose host has returned with a new data folder and is a voter under another id. */
function findForgotten({ voters }: ConsensusMembers): string | undefined {
  return voters.find((id, i) =>
    voters.slice(i + 1).some((other) => replicaName(other) === replicaName(id)),
  );
}

function findSilent({ id, members, progress }: ConsensusState, now: number): string | undefined {
  return members.voters.find((voter) => {
    const heardAt = progress[voter]?.heardAt;
    return voter !== id && heardAt !== undefined && now - heardAt > SILENT_VOTER_MS;
  });
}

function drop({ voters, learners }: ConsensusMembers, replica: string): ConsensusMembers {
  return { voters: voters.filter((id) => id !== replica), learners };
}

/**
 * The next change of members, if one is due; voters change one at a time.
 *
 * Failure: a replica loses its data folder. Symptom: as an empty voter it could vote twice in a term, or
 * count as holding what it forgot. Enough: it returns under a new id without a vote, gets one only with
 * the whole log, and then its old id is dropped.
 *
 * Failure: a host is gone for good, and its successor was taken in before it counted as silent. Symptom:
 * four voters of which one is dead need all others for a quorum; one more lost disk, and nothing is ever
 * accepted again. Enough: of an even number of voters a silent one is dropped also without a newcomer;
 * the quorum among those that are left is no larger than before, so that nothing accepted depends on it.
 */
export function nextVoterChange(state: ConsensusState, now: number): VoterChange | null {
  const { members, progress, commit } = state;
  const { voters, learners } = members;
  const forgotten = findForgotten(members);
  if (forgotten !== undefined) {
    return { members: drop(members, forgotten), reason: 'forgotten', replica: forgotten };
  }
  const ready = learners.find((id) => commit > 0 && (progress[id]?.match ?? 0) >= commit);
  const silent = findSilent(state, now);
  const isSurplus = voters.length > LEAST_VOTERS && voters.length % 2 === 0;
  if (silent !== undefined && (isSurplus || (ready !== undefined && voters.length > 1))) {
    return { members: drop(members, silent), reason: 'silent', replica: silent };
  }
  if (ready !== undefined) {
    const promoted = {
      voters: [...voters, ready],
      learners: learners.filter((id) => id !== ready),
    };
    return { members: promoted, reason: 'caughtUp', replica: ready };
  }
  return null;
}
