/** Replication: messages that a leader sends, and how it handles the replies. */
import { HEARTBEAT_MS, MAX_APPEND_ENTRIES, RESEND_AFTER_MS } from './ConsensusConstants.js';
import { mergeReport } from './ConsensusContacts.js';
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
      inFlight: null,
    }
  );
}

/** The entries that a replica lacks or a snapshot; an append without entries if it lacks none. */
function messageFor(state: ConsensusState, to: string, sentAt: number): ConsensusMessage {
  const { next } = progressOf(state, to);
  const { term, snapshot, round } = state;
  const prevTerm = termAt(state, next - 1);
  if (prevTerm === undefined || next <= state.snapshot.index) {
    return { type: 'install', term, snapshot, round, sentAt };
  }
  return {
    type: 'append',
    term,
    prevIndex: next - 1,
    prevTerm,
    entries: entriesFrom(state, next, MAX_APPEND_ENTRIES),
    commit: state.commit,
    round,
    sentAt,
  };
}

/** A heartbeat that any log accepts, as it follows an entry that the replica is known to have. */
function heartbeatTo(state: ConsensusState, to: string, ctx: ConsensusContext): ConsensusOutput {
  const { match } = progressOf(state, to);
  const matchTerm = termAt(state, match);
  return {
    type: 'send',
    to,
    message: {
      type: 'append',
      term: state.term,
      prevIndex: matchTerm === undefined ? 0 : match,
      prevTerm: matchTerm ?? 0,
      entries: [],
      commit: state.commit,
      round: state.round,
      sentAt: ctx.now,
    },
  };
}

/** Index of the last entry in a message; null if it contains none. */
function lastIndexIn(message: ConsensusMessage): number | null {
  if (message.type === 'install') {
    return message.snapshot.index;
  }
  return message.type === 'append' ? (message.entries.at(-1)?.index ?? null) : null;
}

function setProgress(
  state: ConsensusState,
  id: string,
  progress: ConsensusProgress,
): ConsensusState {
  return { ...state, progress: { ...state.progress, [id]: progress } };
}

/** Sends a replica what it lacks, or an append without entries. */
function sendMissing(state: ConsensusState, to: string, { now }: ConsensusContext): ConsensusStep {
  const message = messageFor(state, to, now);
  const upTo = lastIndexIn(message);
  const progress = progressOf(state, to);
  return {
    state:
      upTo === null
        ? state
        : setProgress(state, to, { ...progress, inFlight: { upTo, sentAt: now } }),
    outputs: [{ type: 'send', to, message }],
  };
}

/**
 * Sends a replica what it lacks, or a heartbeat while a transfer to it is in progress. If each heartbeat and read
 * repeated the transfer, a leader whose log holds large entries would be busy with repetitions while a replica
 * catches up, and answer neither reads nor elections in time.
 */
function sendOrHeartbeat(state: ConsensusState, to: string, ctx: ConsensusContext): ConsensusStep {
  const { inFlight } = progressOf(state, to);
  return inFlight !== null && ctx.now - inFlight.sentAt < RESEND_AFTER_MS
    ? { state, outputs: [heartbeatTo(state, to, ctx)] }
    : sendMissing(state, to, ctx);
}

/** Sends every other replica the entries that it lacks, or a heartbeat. */
export function broadcast(state: ConsensusState, ctx: ConsensusContext): ConsensusStep {
  const started: ConsensusStep = {
    state: { ...state, heartbeatAt: ctx.now + HEARTBEAT_MS },
    outputs: [],
  };
  return peersOf(state).reduce(
    (step, to) => chain(step, (next) => sendOrHeartbeat(next, to, ctx)),
    started,
  );
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
  const initialProgress: ConsensusProgress = {
    next: lastIndex(state) + 1,
    match: 0,
    heardAt: ctx.now,
    round: 0,
    inFlight: null,
  };
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

/**
 * Progress of a replica after its reply. A rejection only counts if it is for the entries sent last: its hint is then
 * below their predecessor. Earlier appends are rejected too, and would lower `next` beyond what the replica lacks.
 */
function progressAfter(
  known: ConsensusProgress,
  { ok, match, round, contacts }: Extract<ConsensusMessage, { type: 'appendReply' }>,
  now: number,
): ConsensusProgress {
  const heard = {
    ...known,
    heardAt: now,
    hasReplied: true,
    contacts: mergeReport(known.contacts ?? {}, contacts, now),
    round: Math.max(known.round, round),
  };
  if (!ok) {
    const isStale = match >= known.next - 1;
    return isStale ? heard : { ...heard, next: Math.max(known.match, match) + 1, inFlight: null };
  }
  const matched = Math.max(known.match, match);
  const isDone = known.inFlight !== null && matched >= known.inFlight.upTo;
  return {
    ...heard,
    match: matched,
    next: Math.max(known.next, matched + 1),
    inFlight: isDone ? null : known.inFlight,
  };
}

/**
 * Whether a replica lacks the news that what it has just acknowledged is committed, which only an append after the
 * acknowledgment can tell it. `committed` is the index before this reply; a commit that the reply causes is broadcast.
 */
function lacksCommit(
  { ok, match, commit }: Extract<ConsensusMessage, { type: 'appendReply' }>,
  committed: number,
): boolean {
  return ok && commit !== undefined && commit < Math.min(match, committed);
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
  const progress = progressAfter(progressOf(state, from), message, ctx.now);
  const next = setProgress(state, from, progress);
  const advanced = chain({ state: next, outputs: [] }, advanceCommit);
  // Sent at once rather than with the next heartbeat, since followers serve only what they know to be
  // committed.
  const notifyFollowers = advanced.state.commit > next.commit ? broadcastStep(ctx) : unchanged;
  const committed = chain(chain(advanced, notifyFollowers), completeReads);
  const isBehind =
    progressOf(committed.state, from).inFlight === null &&
    progress.next <= lastIndex(committed.state);
  if (isBehind) {
    return chain(committed, (now) => sendMissing(now, from, ctx));
  }
  return lacksCommit(message, next.commit)
    ? chain(committed, (now) => ({ state: now, outputs: [heartbeatTo(now, from, ctx)] }))
    : committed;
}

/** Starts a read, which completes once a quorum has confirmed this leader in a round that begins now. */
export function startRead(state: ConsensusState, id: string, ctx: ConsensusContext): ConsensusStep {
  const round = state.round + 1;
  const read = { id, index: state.commit, round };
  const next = { ...state, round, reads: [...state.reads, read] };
  return chain(broadcast(next, ctx), completeReads);
}
