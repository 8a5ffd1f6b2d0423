/** Replication: messages that a leader sends, and how it handles the replies. */
import { MAX_APPEND_ENTRIES, HEARTBEAT_MS } from './ConsensusConstants.js';
import {
  chain,
  commitTo,
  entriesFrom,
  isQuorum,
  lastIndex,
  peersOf,
  replaceTail,
  termAt,
} from './ConsensusLog.js';
import type {
  ConsensusContext,
  ConsensusMessage,
  ConsensusOutput,
  ConsensusPayload,
  ConsensusProgress,
  ConsensusState,
  ConsensusStep,
} from './ConsensusTypes.js';

function progressOf(state: ConsensusState, id: string): ConsensusProgress {
  return (
    state.progress[id] ?? {
      next: lastIndex(state) + 1,
      match: 0,
      heardAt: state.heartbeatAt,
      round: 0,
    }
  );
}

function messageFor(state: ConsensusState, to: string): ConsensusMessage {
  const { next } = progressOf(state, to);
  const prevTerm = termAt(state, next - 1);
  if (prevTerm === undefined || next <= state.snapshot.index) {
    return { type: 'install', term: state.term, snapshot: state.snapshot, round: state.round };
  }
  return {
    type: 'append',
    term: state.term,
    prevIndex: next - 1,
    prevTerm,
    entries: entriesFrom(state, next, MAX_APPEND_ENTRIES),
    commit: state.commit,
    round: state.round,
  };
}

/** Sends every other replica the entries that it lacks, or a heartbeat if it lacks none. */
export function broadcast(state: ConsensusState, ctx: ConsensusContext): ConsensusStep {
  return {
    state: { ...state, heartbeatAt: ctx.now + HEARTBEAT_MS },
    outputs: peersOf(state).map((to) => ({ type: 'send', to, message: messageFor(state, to) })),
  };
}

type Transition = (state: ConsensusState) => ConsensusStep;

const unchanged: Transition = (state) => ({ state, outputs: [] });

function broadcastStep(ctx: ConsensusContext): Transition {
  return (state) => broadcast(state, ctx);
}

/** Commits what a quorum has synced, if that ends with an entry of the current term (Raft, section 5.4.2). */
function advanceCommit(state: ConsensusState): ConsensusStep {
  const matches = state.members.voters
    .map((id) => (id === state.id ? lastIndex(state) : progressOf(state, id).match))
    .sort((a, b) => b - a);
  const index = matches[Math.floor(state.members.voters.length / 2)] ?? 0;
  return termAt(state, index) === state.term ? commitTo(state, index) : { state, outputs: [] };
}

/** Voters that have synced an entry as far as the leader knows, including itself. */
export function votersWithEntry(state: ConsensusState, index: number): readonly string[] {
  return state.members.voters.filter(
    (id) => id === state.id || progressOf(state, id).match >= index,
  );
}

/** Appends an entry as leader and sends it to the other replicas. */
export function appendAsLeader(
  state: ConsensusState,
  payload: ConsensusPayload,
  ctx: ConsensusContext,
): ConsensusStep {
  const entry = { index: lastIndex(state) + 1, term: state.term, payload };
  return chain(
    chain(replaceTail(state, [entry]), (next) => broadcast(next, ctx)),
    advanceCommit,
  );
}

/**
 * Becomes leader, and appends the members again as an entry of its own term. Committing this entry also commits
 * those of earlier terms, and it tells a replica that joined without a snapshot who the members are.
 */
export function becomeLeader(state: ConsensusState, ctx: ConsensusContext): ConsensusStep {
  const initialProgress = { next: lastIndex(state) + 1, match: 0, heardAt: ctx.now, round: 0 };
  const next: ConsensusState = {
    ...state,
    role: 'leader',
    leader: state.id,
    progress: Object.fromEntries(peersOf(state).map((id) => [id, initialProgress])),
    reads: [],
  };
  const role: ConsensusOutput = { type: 'role', role: 'leader', term: state.term };
  return chain({ state: next, outputs: [role] }, (now) =>
    appendAsLeader(now, { kind: 'members', members: now.members }, ctx),
  );
}

/**
 * Completes the reads whose round a quorum has confirmed: no newer leader can have committed anything before
 * them.
 */
function completeReads(state: ConsensusState): ConsensusStep {
  const confirms = (round: number): boolean =>
    isQuorum(state.members, [
      state.id,
      ...peersOf(state).filter((id) => progressOf(state, id).round >= round),
    ]);
  const ready = state.reads.filter((read) => confirms(read.round));
  return {
    state: { ...state, reads: state.reads.filter((read) => !ready.includes(read)) },
    outputs: ready.map(({ id, index }) => ({ type: 'readReady', id, index })),
  };
}

/** Handles a follower's reply to an append or a snapshot. */
export function onAppendReply(
  state: ConsensusState,
  from: string,
  message: Extract<ConsensusMessage, { type: 'appendReply' }>,
  ctx: ConsensusContext,
): ConsensusStep {
  if (state.role !== 'leader' || message.term !== state.term || !peersOf(state).includes(from)) {
    return { state, outputs: [] };
  }
  const known = progressOf(state, from);
  const match = message.ok ? Math.max(known.match, message.match) : known.match;
  const progress: ConsensusProgress = {
    match,
    next: message.ok ? match + 1 : Math.max(match + 1, Math.min(known.next - 1, message.match + 1)),
    heardAt: ctx.now,
    round: Math.max(known.round, message.round),
  };
  const next = { ...state, progress: { ...state.progress, [from]: progress } };
  const advanced = chain({ state: next, outputs: [] }, advanceCommit);
  // Sent at once rather than with the next heartbeat, since followers serve only what they know to be
  // committed.
  const notifyFollowers = advanced.state.commit > next.commit ? broadcastStep(ctx) : unchanged;
  const committed = chain(chain(advanced, notifyFollowers), completeReads);
  const isBehind =
    progress.next <= lastIndex(committed.state) && (!message.ok || match > known.match);
  return isBehind
    ? chain(committed, (now) => ({
        state: now,
        outputs: [{ type: 'send', to: from, message: messageFor(now, from) }],
      }))
    : committed;
}

/** Starts a read, which completes once a quorum has confirmed this leader in a round that begins now. */
export function startRead(state: ConsensusState, id: string, ctx: ConsensusContext): ConsensusStep {
  const round = state.round + 1;
  const read = { id, index: state.commit, round };
  const next = { ...state, round, reads: [...state.reads, read] };
  return chain(broadcast(next, ctx), completeReads);
}
