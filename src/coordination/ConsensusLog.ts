/** Reading and extending a replica's log. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { ELECTION_TIMEOUT_MS, PRE_VOTE_INTERVAL_MS } from './ConsensusConstants.js';
import type {
  ConsensusContext,
  ConsensusEntry,
  ConsensusMembers,
  ConsensusOutput,
  ConsensusSnapshot,
  ConsensusState,
  ConsensusStep,
} from './ConsensusTypes.js';

/** Index of the last entry. */
export function lastIndex(state: ConsensusState): number {
  return state.snapshot.index + state.log.length;
}

/** Term of the entry at an index; undefined if the log does not contain it. */
export function termAt(state: ConsensusState, index: number): number | undefined {
  return index === state.snapshot.index
    ? state.snapshot.term
    : state.log[index - state.snapshot.index - 1]?.term;
}

/** Entries from an index on, at most `limit` of them. */
export function entriesFrom(
  state: ConsensusState,
  index: number,
  limit = Infinity,
): readonly ConsensusEntry[] {
  const start = index - state.snapshot.index - 1;
  return state.log.slice(start, start + limit);
}

/** Newest members among a snapshot and the log entries after it. */
export function membersOf(
  snapshot: ConsensusSnapshot,
  log: readonly ConsensusEntry[],
): ConsensusMembers {
  const entry = log.findLast(({ payload }) => payload.kind === 'members');
  return entry?.payload.kind === 'members' ? entry.payload.members : snapshot.members;
}

/** Whether the log ends with a change of members that isn't known to be committed. */
export function hasUncommittedChange(state: ConsensusState): boolean {
  return state.log.some(({ index, payload }) => index > state.commit && payload.kind === 'members');
}

/** All replicas except this one. */
export function peersOf(state: ConsensusState): readonly string[] {
  return [...state.members.voters, ...state.members.learners].filter((id) => id !== state.id);
}

/** Whether the ids include a majority of the voters. */
export function isQuorum(members: ConsensusMembers, ids: readonly string[]): boolean {
  const have = members.voters.filter((id) => ids.includes(id)).length;
  return have * 2 > members.voters.length;
}

/** Time at which a follower starts an election if no leader contacts it from now on, ms. */
export function nextElection({ now, rng }: ConsensusContext): number {
  return now + ELECTION_TIMEOUT_MS + uniformInt(rng, 0, ELECTION_TIMEOUT_MS);
}

/**
 * Time at which a replica without a leader asks for pre-votes again, ms. It does so soon, since its peers may
 * just be starting.
 */
export function nextPreVote({ now, rng }: ConsensusContext): number {
  return now + PRE_VOTE_INTERVAL_MS + uniformInt(rng, 0, PRE_VOTE_INTERVAL_MS);
}

/** Replaces the log from the index of the first of `entries` on. */
export function replaceTail(
  state: ConsensusState,
  entries: readonly ConsensusEntry[],
): ConsensusStep {
  const from = entries[0]?.index ?? lastIndex(state) + 1;
  const log = [...state.log.slice(0, from - state.snapshot.index - 1), ...entries];
  return {
    state: { ...state, log, members: membersOf(state.snapshot, log) },
    outputs: [{ type: 'persistEntries', from, entries }],
  };
}

/** Advances the commit index and outputs the newly committed entries. */
export function commitTo(state: ConsensusState, index: number): ConsensusStep {
  const commit = Math.min(index, lastIndex(state));
  if (commit <= state.commit) {
    return { state, outputs: [] };
  }
  const entries = entriesFrom(state, state.commit + 1, commit - state.commit);
  return { state: { ...state, commit }, outputs: [{ type: 'commit', entries }] };
}

/** Applies a transition to the state of a step, and appends its outputs to those of the step. */
export function chain(
  first: ConsensusStep,
  next: (state: ConsensusState) => ConsensusStep,
): ConsensusStep {
  const second = next(first.state);
  return { state: second.state, outputs: [...first.outputs, ...second.outputs] };
}

/** A step that leaves the state unchanged. */
export function sendOnly(
  state: ConsensusState,
  outputs: readonly ConsensusOutput[],
): ConsensusStep {
  return { state, outputs };
}
