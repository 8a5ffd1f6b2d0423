/** Elections: pre-vote, vote, and stepping down. */
import { ELECTION_TIMEOUT_MS } from './ConsensusConstants.js';
import {
  chain,
  isQuorum,
  lastIndex,
  nextElection,
  nextPreVote,
  peersOf,
  termAt,
} from './ConsensusLog.js';
import { becomeLeader } from './ConsensusReplication.js';
import type {
  ConsensusContext,
  ConsensusMessage,
  ConsensusRole,
  ConsensusState,
  ConsensusStep,
} from './ConsensusTypes.js';

type MessageOf<T extends ConsensusMessage['type']> = Extract<ConsensusMessage, { type: T }>;

/** Becomes a follower in a term. The vote is cleared only if the term is new. */
export function becomeFollower(
  state: ConsensusState,
  term: number,
  leader: string | null,
  ctx: ConsensusContext,
): ConsensusStep {
  const newTerm = term > state.term;
  const next: ConsensusState = {
    ...state,
    term,
    vote: newTerm ? null : state.vote,
    role: 'follower',
    leader,
    electionAt: nextElection(ctx),
    votes: [],
    reads: [],
    progress: {},
  };
  return {
    state: next,
    outputs: [
      ...(newTerm ? [{ type: 'persistHard', hard: { term, vote: null } } as const] : []),
      ...(state.role === 'follower' ? [] : [{ type: 'role', role: 'follower', term } as const]),
      ...state.reads.map(({ id }) => ({ type: 'refused', id, leader }) as const),
    ],
  };
}

function requestVotes(
  state: ConsensusState,
  type: 'preVote' | 'vote',
  term: number,
): ConsensusStep {
  const last = lastIndex(state);
  const message = { type, term, lastIndex: last, lastTerm: termAt(state, last) ?? 0 };
  const others = state.members.voters.filter((id) => id !== state.id);
  return { state, outputs: others.map((to) => ({ type: 'send', to, message })) };
}

function toCandidate(
  state: ConsensusState,
  role: ConsensusRole,
  electionAt: number,
): ConsensusState {
  return { ...state, role, leader: null, votes: [state.id], electionAt };
}

function campaign(state: ConsensusState, ctx: ConsensusContext): ConsensusStep {
  const hard = { term: state.term + 1, vote: state.id };
  const next: ConsensusState = { ...toCandidate(state, 'candidate', nextElection(ctx)), ...hard };
  const started: ConsensusStep = { state: next, outputs: [{ type: 'persistHard', hard }] };
  return isQuorum(next.members, next.votes)
    ? chain(started, (now) => becomeLeader(now, ctx))
    : chain(started, (now) => requestVotes(now, 'vote', now.term));
}

/**
 * Asks for pre-votes before the term is raised. Otherwise a replica that returns from a network partition
 * with a high term would depose a healthy leader each time. No replica grants a pre-vote while it has contact
 * with a leader, and a pre-vote changes no term.
 */
export function startElection(state: ConsensusState, ctx: ConsensusContext): ConsensusStep {
  if (!state.members.voters.includes(state.id)) {
    return { state: { ...state, electionAt: nextElection(ctx) }, outputs: [] };
  }
  const next = toCandidate(state, 'preCandidate', nextPreVote(ctx));
  return isQuorum(next.members, next.votes)
    ? campaign(next, ctx)
    : requestVotes(next, 'preVote', next.term + 1);
}

function isUpToDate(
  state: ConsensusState,
  message: MessageOf<'vote'> | MessageOf<'preVote'>,
): boolean {
  const last = lastIndex(state);
  const lastTerm = termAt(state, last) ?? 0;
  return message.lastTerm !== lastTerm ? message.lastTerm > lastTerm : message.lastIndex >= last;
}

/** Replies to a pre-vote request; the state does not change. */
export function onPreVote(
  state: ConsensusState,
  from: string,
  message: MessageOf<'preVote'>,
  ctx: ConsensusContext,
): ConsensusStep {
  const hearsLeader =
    state.role === 'leader' ||
    (state.leader !== null && ctx.now - state.heardAt < ELECTION_TIMEOUT_MS);
  const granted = message.term > state.term && !hearsLeader && isUpToDate(state, message);
  // A refusal carries this replica's term, so that a replica in an older term catches up and can be
  // elected.
  const term = granted ? message.term : state.term;
  return {
    state,
    outputs: [{ type: 'send', to: from, message: { type: 'preVoteReply', term, granted } }],
  };
}

/**
 * Counts a pre-vote reply: starts the election on a quorum, and after a refusal waits for a full election
 * timeout.
 */
export function onPreVoteReply(
  state: ConsensusState,
  from: string,
  message: MessageOf<'preVoteReply'>,
  ctx: ConsensusContext,
): ConsensusStep {
  if (!message.granted && message.term > state.term) {
    return becomeFollower(state, message.term, null, ctx);
  }
  if (state.role !== 'preCandidate') {
    return { state, outputs: [] };
  }
  if (!message.granted) {
    // The replica that refused has contact with a leader, or a more up-to-date log and may be elected
    // itself.
    return { state: { ...state, electionAt: nextElection(ctx) }, outputs: [] };
  }
  if (message.term !== state.term + 1) {
    return { state, outputs: [] };
  }
  const votes = [...new Set([...state.votes, from])];
  const next = { ...state, votes };
  return isQuorum(next.members, votes) ? campaign(next, ctx) : { state: next, outputs: [] };
}

/** Replies to a vote request. A replica grants one vote per term and syncs it before the reply is sent. */
export function onVote(
  state: ConsensusState,
  from: string,
  message: MessageOf<'vote'>,
  ctx: ConsensusContext,
): ConsensusStep {
  const granted =
    message.term === state.term &&
    (state.vote === null || state.vote === from) &&
    state.role !== 'leader' &&
    isUpToDate(state, message);
  const reply = {
    type: 'send',
    to: from,
    message: { type: 'voteReply', term: state.term, granted },
  } as const;
  if (!granted) {
    return { state, outputs: [reply] };
  }
  const hard = { term: state.term, vote: from };
  return {
    state: { ...state, vote: from, electionAt: nextElection(ctx) },
    outputs: [{ type: 'persistHard', hard }, reply],
  };
}

/** Counts a vote of the current term, and becomes leader on a quorum. */
export function onVoteReply(
  state: ConsensusState,
  from: string,
  message: MessageOf<'voteReply'>,
  ctx: ConsensusContext,
): ConsensusStep {
  if (state.role !== 'candidate' || !message.granted || message.term !== state.term) {
    return { state, outputs: [] };
  }
  const votes = [...new Set([...state.votes, from])];
  const next = { ...state, votes };
  return isQuorum(next.members, votes) ? becomeLeader(next, ctx) : { state: next, outputs: [] };
}

/**
 * Whether a leader has had no contact with a quorum for two election timeouts.
 *
 * A leader that is partitioned without noticing would otherwise keep accepting proposals that can't be
 * committed, and their callers would wait for a result that never comes. It steps down by its own clock;
 * receivers refuse what it sends in the meantime, since it carries an old term or token.
 */
export function hasLostQuorum(state: ConsensusState, now: number): boolean {
  const heard = peersOf(state).filter(
    (id) => now - (state.progress[id]?.heardAt ?? 0) < ELECTION_TIMEOUT_MS * 2,
  );
  return !isQuorum(state.members, [state.id, ...heard]);
}
