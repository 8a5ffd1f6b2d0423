/**
 * Raft state machine of the log that the control processes replicate, as pure functions. Safety depends only
 * on terms, quorums and synced state; clocks only decide when to attempt something.
 */
import { reportContacts } from './ConsensusContacts.js';
import {
  becomeFollower,
  hasLostQuorum,
  onPreVote,
  onPreVoteReply,
  onVote,
  onVoteReply,
  startElection,
} from './ConsensusElection.js';
import {
  chain,
  commitTo,
  entriesFrom,
  hasUncommittedChange,
  lastIndex,
  membersOf,
  nextElection,
  nextPreVote,
  replaceTail,
  termAt,
} from './ConsensusLog.js';
import { appendAsLeader, broadcast, onAppendReply, startRead } from './ConsensusReplication.js';
import type {
  ConsensusContext,
  ConsensusEntry,
  ConsensusHardState,
  ConsensusInput,
  ConsensusMembers,
  ConsensusMessage,
  ConsensusSnapshot,
  ConsensusState,
  ConsensusStep,
} from './ConsensusTypes.js';

type MessageOf<T extends ConsensusMessage['type']> = Extract<ConsensusMessage, { type: T }>;

/** Persisted state of a replica, or its initial state on the first start of a cluster. */
export interface ConsensusRecovery {
  readonly hard: ConsensusHardState;
  readonly snapshot: ConsensusSnapshot;
  readonly log: readonly ConsensusEntry[];
}

/** State of a replica after a start. Entries after the snapshot do not count as committed yet. */
export function initConsensus(
  id: string,
  recovery: ConsensusRecovery,
  ctx: ConsensusContext,
): ConsensusState {
  const { hard, snapshot, log } = recovery;
  return {
    ...hard,
    id,
    role: 'follower',
    leader: null,
    snapshot,
    log,
    commit: snapshot.index,
    members: membersOf(snapshot, log),
    electionAt: nextPreVote(ctx),
    heardAt: ctx.now,
    heartbeatAt: ctx.now,
    votes: [],
    progress: {},
    round: 0,
    reads: [],
  };
}

/** Replies to entries, a heartbeat or a snapshot. */
function reply(
  state: ConsensusState,
  to: string,
  { round, sentAt }: MessageOf<'append' | 'install'>,
  { ok, match }: { readonly ok: boolean; readonly match: number },
  ctx: ConsensusContext,
): ConsensusStep {
  const { term, commit } = state;
  const contacts = sentAt === undefined ? {} : { contacts: reportContacts(state, sentAt, ctx) };
  const message = { type: 'appendReply', term, ok, match, round, commit, ...contacts } as const;
  return { state, outputs: [{ type: 'send', to, message }] };
}

/** Records contact with the leader of the current term; a replica in another role becomes its follower. */
function followLeader(state: ConsensusState, from: string, ctx: ConsensusContext): ConsensusStep {
  const step: ConsensusStep =
    state.role === 'follower'
      ? { state, outputs: [] }
      : becomeFollower(state, state.term, from, ctx);
  return {
    ...step,
    state: { ...step.state, leader: from, heardAt: ctx.now, electionAt: nextElection(ctx) },
  };
}

/**
 * Replaces the log from the first entry that differs. A delayed, shorter append must not truncate entries
 * that were already acknowledged.
 */
function mergeEntries(state: ConsensusState, entries: readonly ConsensusEntry[]): ConsensusStep {
  const first = entries.findIndex(
    (entry) => entry.index > state.snapshot.index && termAt(state, entry.index) !== entry.term,
  );
  return first < 0 ? { state, outputs: [] } : replaceTail(state, entries.slice(first));
}

function onAppend(
  state: ConsensusState,
  from: string,
  message: MessageOf<'append'>,
  ctx: ConsensusContext,
): ConsensusStep {
  if (message.term < state.term) {
    return reply(state, from, message, { ok: false, match: 0 }, ctx);
  }
  const heard = followLeader(state, from, ctx);
  const { prevIndex, prevTerm, entries } = message;
  const known = prevIndex < state.snapshot.index || termAt(state, prevIndex) === prevTerm;
  if (!known) {
    const hint = Math.min(prevIndex - 1, lastIndex(state));
    return chain(heard, (next) => reply(next, from, message, { ok: false, match: hint }, ctx));
  }
  const match = prevIndex + entries.length;
  const merged = chain(heard, (next) => mergeEntries(next, entries));
  const committed = chain(merged, (next) => commitTo(next, Math.min(message.commit, match)));
  return chain(committed, (next) => reply(next, from, message, { ok: true, match }, ctx));
}

/**
 * The entries behind a snapshot, if this log contains its last entry. They may have been acknowledged and accepted, so
 * they must not be dropped.
 */
function entriesBehind(
  state: ConsensusState,
  { index, term }: ConsensusSnapshot,
): readonly ConsensusEntry[] {
  return termAt(state, index) === term ? entriesFrom(state, index + 1) : [];
}

function onInstall(
  state: ConsensusState,
  from: string,
  message: MessageOf<'install'>,
  ctx: ConsensusContext,
): ConsensusStep {
  if (message.term < state.term) {
    return reply(state, from, message, { ok: false, match: 0 }, ctx);
  }
  const heard = followLeader(state, from, ctx);
  const { snapshot } = message;
  const accepted = { ok: true, match: snapshot.index };
  if (snapshot.index <= state.commit) {
    return chain(heard, (next) => reply(next, from, message, accepted, ctx));
  }
  const log = entriesBehind(heard.state, snapshot);
  const restored: ConsensusStep = {
    state: {
      ...heard.state,
      snapshot,
      log,
      commit: snapshot.index,
      members: membersOf(snapshot, log),
    },
    outputs: [
      ...heard.outputs,
      { type: 'persistSnapshot', snapshot },
      { type: 'restore', snapshot },
    ],
  };
  return chain(restored, (next) => reply(next, from, message, accepted, ctx));
}

type MessageHandlers = {
  readonly [T in ConsensusMessage['type']]: (
    state: ConsensusState,
    from: string,
    message: MessageOf<T>,
    ctx: ConsensusContext,
  ) => ConsensusStep;
};

const MESSAGE_HANDLERS: MessageHandlers = {
  preVote: onPreVote,
  preVoteReply: onPreVoteReply,
  vote: onVote,
  voteReply: onVoteReply,
  append: onAppend,
  appendReply: onAppendReply,
  install: onInstall,
};

/**
 * Whether a message moves this replica to a newer term. Pre-vote messages must not: the term that they ask
 * for or grant has not been entered by any replica yet.
 */
function hasNewerTerm(state: ConsensusState, message: ConsensusMessage): boolean {
  return message.term > state.term && message.type !== 'preVote' && message.type !== 'preVoteReply';
}

function onMessage(
  state: ConsensusState,
  input: Extract<ConsensusInput, { type: 'message' }>,
  ctx: ConsensusContext,
): ConsensusStep {
  const { from, message } = input;
  const handler = MESSAGE_HANDLERS[message.type] as MessageHandlers[keyof MessageHandlers] &
    ((s: ConsensusState, f: string, m: ConsensusMessage, c: ConsensusContext) => ConsensusStep);
  const first: ConsensusStep = hasNewerTerm(state, message)
    ? becomeFollower(state, message.term, null, ctx)
    : { state, outputs: [] };
  return chain(first, (next) => handler(next, from, message, ctx));
}

function onTick(state: ConsensusState, ctx: ConsensusContext): ConsensusStep {
  if (state.role === 'leader') {
    if (hasLostQuorum(state, ctx.now)) {
      return becomeFollower(state, state.term, null, ctx);
    }
    return ctx.now >= state.heartbeatAt ? broadcast(state, ctx) : { state, outputs: [] };
  }
  return ctx.now >= state.electionAt ? startElection(state, ctx) : { state, outputs: [] };
}

function refuse(state: ConsensusState, id: string): ConsensusStep {
  return { state, outputs: [{ type: 'refused', id, leader: state.leader }] };
}

function prependProposed(step: ConsensusStep, id: string, index: number): ConsensusStep {
  return {
    ...step,
    outputs: [{ type: 'proposed', id, index, term: step.state.term }, ...step.outputs],
  };
}

/** A change adds or removes at most one voter, so that every old quorum overlaps every new one. */
function isSafeChange(from: ConsensusMembers, to: ConsensusMembers): boolean {
  const added = to.voters.filter((id) => !from.voters.includes(id));
  const removed = from.voters.filter((id) => !to.voters.includes(id));
  return added.length + removed.length <= 1 && to.voters.length > 0;
}

function onMembers(
  state: ConsensusState,
  input: Extract<ConsensusInput, { type: 'members' }>,
  ctx: ConsensusContext,
): ConsensusStep {
  // A leader that has committed nothing in its own term may not know the newest members yet.
  const ready = state.role === 'leader' && termAt(state, state.commit) === state.term;
  if (!ready || hasUncommittedChange(state) || !isSafeChange(state.members, input.members)) {
    return refuse(state, input.id);
  }
  const step = appendAsLeader(state, { kind: 'members', members: input.members }, ctx);
  return prependProposed(step, input.id, lastIndex(state) + 1);
}

function onCompact(
  state: ConsensusState,
  input: Extract<ConsensusInput, { type: 'compact' }>,
): ConsensusStep {
  const term = termAt(state, input.index);
  if (term === undefined || input.index <= state.snapshot.index || input.index > state.commit) {
    return { state, outputs: [] };
  }
  const compactedCount = input.index - state.snapshot.index;
  const snapshot: ConsensusSnapshot = {
    index: input.index,
    term,
    members: membersOf(state.snapshot, state.log.slice(0, compactedCount)),
    image: input.image,
  };
  return {
    state: { ...state, snapshot, log: state.log.slice(compactedCount) },
    outputs: [{ type: 'persistSnapshot', snapshot }],
  };
}

type InputHandlers = {
  readonly [T in ConsensusInput['type']]: (
    state: ConsensusState,
    input: Extract<ConsensusInput, { type: T }>,
    ctx: ConsensusContext,
  ) => ConsensusStep;
};

const INPUT_HANDLERS: InputHandlers = {
  tick: (state, _input, ctx) => onTick(state, ctx),
  message: onMessage,
  propose: (state, { id, command }, ctx) =>
    state.role === 'leader'
      ? prependProposed(
          appendAsLeader(state, { kind: 'command', command }, ctx),
          id,
          lastIndex(state) + 1,
        )
      : refuse(state, id),
  members: onMembers,
  read: (state, { id }, ctx) =>
    state.role === 'leader' && termAt(state, state.commit) === state.term
      ? startRead(state, id, ctx)
      : refuse(state, id),
  compact: (state, input) => onCompact(state, input),
};

/** Applies one input to the state of a replica. */
export function stepConsensus(
  state: ConsensusState,
  input: ConsensusInput,
  ctx: ConsensusContext,
): ConsensusStep {
  const handler = INPUT_HANDLERS[input.type] as (
    state: ConsensusState,
    input: ConsensusInput,
    ctx: ConsensusContext,
  ) => ConsensusStep;
  return handler(state, input, ctx);
}
