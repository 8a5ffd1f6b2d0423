/**
 * Specification of leader election, commit and the replacement of a voter.
 *
 * Messages in flight aren't part of the state. A leader's log only grows within its term, so any prefix
 * of it may arrive at any replica at any time, any number of times, or never; this covers loss, delay,
 * duplication and reordering. Likewise a vote that was granted may be counted at any later time.
 */
import type { Safeguards, Spec, SpecEvent } from './SpecTypes.js';

/** A log entry: its term, and the new voters if it changes them. Names are short since states serve as keys. */
interface Entry {
  readonly t: number;
  readonly v?: string;
}

interface Replica {
  readonly term: number;
  readonly log: readonly Entry[];
  /** Candidate voted for in each term, as persisted on disk; `votes[0]` is unused. */
  readonly votes: readonly string[];
  /** Number of log entries that have been synced to disk. */
  readonly synced: number;
}

/** Leader of a term, its log, and the votes and acknowledgements it may count. */
interface Term {
  readonly leader: string;
  readonly leading: boolean;
  readonly log: readonly Entry[];
  /** Highest index that each replica has acknowledged. */
  readonly acks: Readonly<Record<string, number>>;
  /** Votes granted in this term, as `voter>candidate`, including those the voter has lost from its disk. */
  readonly granted: readonly string[];
}

interface State {
  readonly replicas: Readonly<Record<string, Replica>>;
  readonly terms: readonly Term[];
  /** Entries that a leader has reported to callers as accepted. */
  readonly committed: readonly Entry[];
  /** Highest term in which an entry was committed. */
  readonly committedTerm: number;
  readonly violated: readonly string[];
  readonly wiped: boolean;
  readonly crashes: number;
}

interface Event extends SpecEvent {
  readonly id: string;
  readonly term: number;
  readonly n?: number;
}

/** Bounds of one exploration. */
export interface ConsensusBounds {
  readonly terms: number;
  readonly log: number;
  readonly crashes: number;
  /** Replicas that may campaign. */
  readonly candidates: string;
  /** Whether replica c may lose its disk and be replaced by d. */
  readonly replace: boolean;
  /** Name of the initial state, a key of `INITIAL_STATES`. */
  readonly start?: 'empty' | 'after two terms' | 'after one commit';
}

const INITIAL_VOTERS = 'abc';

/** Voter changes of a replacement, one voter at a time: each set of voters with the one that follows it. */
const VOTER_CHANGES: Readonly<Record<string, string>> = { abc: 'abcd', abcd: 'abd' };

function votersOf(log: readonly Entry[]): string {
  return log.findLast(({ v }) => v !== undefined)?.v ?? INITIAL_VOTERS;
}

function isQuorum(voters: string, ids: readonly string[]): boolean {
  return Array.from(voters).filter((id) => ids.includes(id)).length * 2 > voters.length;
}

function emptyReplica(): Replica {
  return { term: 0, log: [], votes: [], synced: 0 };
}

function emptyTerm(): Term {
  return { leader: '', leading: false, log: [], acks: {}, granted: [] };
}

function setReplica(state: State, id: string, change: Partial<Replica>): State {
  const current = state.replicas[id] ?? emptyReplica();
  return { ...state, replicas: { ...state.replicas, [id]: { ...current, ...change } } };
}

function setTerm(state: State, term: number, change: Partial<Term>): State {
  return {
    ...state,
    terms: state.terms.map((current, i) => (i === term ? { ...current, ...change } : current)),
  };
}

function isUpToDate(mine: readonly Entry[], theirs: readonly Entry[]): boolean {
  const [a, b] = [mine.at(-1)?.t ?? 0, theirs.at(-1)?.t ?? 0];
  return b !== a ? b > a : theirs.length >= mine.length;
}

function replicaOf(state: State, id: string): Replica {
  return state.replicas[id] ?? emptyReplica();
}

function termOf(state: State, term: number): Term {
  return state.terms[term] ?? emptyTerm();
}

/** Replicas that have granted a candidate their vote in a term. */
function votesFor(state: State, term: number, id: string): readonly string[] {
  return termOf(state, term)
    .granted.filter((vote) => vote.endsWith(`>${id}`))
    .map((vote) => vote[0] ?? '');
}

function sortKeys(acks: Readonly<Record<string, number>>): Readonly<Record<string, number>> {
  return Object.fromEntries(Object.entries(acks).sort(([a], [b]) => (a < b ? -1 : 1)));
}

type Step = (state: State, event: Event, enabled: Safeguards) => State;

const STEPS: Readonly<Record<string, Step>> = {
  /** `id` starts a new term and votes for itself. */
  campaign: (state, { id, term }) => {
    const votes = [...replicaOf(state, id).votes];
    votes[term] = id;
    const granted = [...termOf(state, term).granted, `${id}>${id}`].sort();
    const next = setReplica(state, id, { term, votes: Array.from(votes, (vote) => vote ?? '') });
    return setTerm(next, term, { granted });
  },
  /** `id` votes for the candidate with index `n` in `abcd`. */
  vote: (state, { id, term, n = 0 }) => {
    const candidate = 'abcd'[n] ?? '';
    const votes = Array.from(replicaOf(state, id).votes, (vote) => vote ?? '');
    votes[term] = candidate;
    const granted = [...new Set([...termOf(state, term).granted, `${id}>${candidate}`])].sort();
    const next = setReplica(state, id, { term, votes: Array.from(votes, (vote) => vote ?? '') });
    return setTerm(next, term, { granted });
  },
  lead: (state, { id, term }) => {
    const current = termOf(state, term);
    const violated =
      current.leader !== '' && current.leader !== id ? ['two leaders in a term'] : [];
    const { log } = replicaOf(state, id);
    // A leader of an older term that acts late can't undo what was committed since, so it needn't hold it.
    const lost = term > state.committedTerm && state.committed.some(({ t }, i) => log[i]?.t !== t);
    const next = setTerm(state, term, { leader: id, leading: true, log, acks: { [id]: 0 } });
    return {
      ...next,
      violated: [...state.violated, ...violated, ...(lost ? ['an accepted entry was lost'] : [])],
    };
  },
  /** The leader appends an entry; with `n` = 1 the entry changes the voters. */
  append: (state, { id, term, n = 0 }, enabled) => {
    const { log } = termOf(state, term);
    const voters = votersOf(log);
    const changed = enabled['one voter at a time'] === false ? 'abd' : VOTER_CHANGES[voters];
    const entry: Entry = n === 1 && changed !== undefined ? { t: term, v: changed } : { t: term };
    const next = [...log, entry];
    return setTerm(setReplica(state, id, { log: next, synced: next.length }), term, { log: next });
  },
  /** The first `n` entries of the leader's log arrive at `id`. */
  receive: (state, { id, term, n = 0 }, enabled) => {
    const current = replicaOf(state, id);
    const sent = termOf(state, term).log.slice(0, n);
    const agrees = sent.every(({ t }, i) => current.log[i]?.t === t);
    const log = agrees ? current.log : sent;
    const next = setReplica(state, id, {
      term,
      log,
      synced:
        enabled['sync before answering'] === false
          ? Math.min(current.synced, log.length)
          : log.length,
    });
    const { acks } = termOf(state, term);
    return setTerm(next, term, { acks: sortKeys({ ...acks, [id]: Math.max(acks[id] ?? 0, n) }) });
  },
  commit: (state, { term, n = 0 }) => {
    const { log } = termOf(state, term);
    const committed = log.slice(0, n).map(({ t }) => ({ t }));
    const differs = state.committed.some(({ t }, i) => i < n && committed[i]?.t !== t);
    return {
      ...state,
      committed: committed.length > state.committed.length ? committed : state.committed,
      committedTerm: Math.max(state.committedTerm, term),
      violated: differs ? [...state.violated, 'two accepted entries at one index'] : state.violated,
    };
  },
  /** Crashes and restarts: unsynced entries are lost, and a leader stops leading. */
  crash: (state, { id, term }, enabled) => {
    const current = replicaOf(state, id);
    const votes = enabled['sync the vote'] === false ? [] : current.votes;
    const next = setReplica(state, id, { log: current.log.slice(0, current.synced), votes });
    const led = termOf(next, term).leader === id;
    const stopped = led ? setTerm(next, term, { leading: false }) : next;
    return { ...stopped, crashes: state.crashes + 1 };
  },
  /** Loses its disk. It returns as replica d, which is not a voter yet, or (mutant) under its old id. */
  wipe: (state, { id }, enabled) => {
    const kept =
      enabled['new identity after a lost disk'] === false
        ? setReplica(state, id, emptyReplica())
        : state;
    const terms = kept.terms.map((term) =>
      term.leader === id ? { ...term, leading: false } : term,
    );
    return { ...kept, terms, wiped: true };
  },
};

function electionEvents(state: State, id: string, bounds: ConsensusBounds): readonly Event[] {
  const { term, votes, log } = replicaOf(state, id);
  const mayCampaign = votersOf(log).includes(id) && bounds.candidates.includes(id);
  const next = term + 1;
  const campaign: readonly Event[] =
    mayCampaign && next <= bounds.terms ? [{ type: 'campaign', id, term: next }] : [];
  const lead = state.terms.flatMap((current, t) =>
    t > 0 &&
    t === term &&
    votes[t] === id &&
    current.leader !== id &&
    current.acks[id] === undefined &&
    isQuorum(votersOf(log), votesFor(state, t, id))
      ? [{ type: 'lead', id, term: t }]
      : [],
  );
  return [...campaign, ...lead];
}

function voteEvents(state: State, id: string): readonly Event[] {
  const voter = replicaOf(state, id);
  return Object.entries(state.replicas).flatMap(([other, { term, votes, log }]) => {
    const isCandidate = other !== id && term > 0 && votes[term] === other && term >= voter.term;
    const hasVote = term > voter.term || (voter.votes[term] ?? '') === '';
    return isCandidate && hasVote && isUpToDate(voter.log, log)
      ? [{ type: 'vote', id, term, n: 'abcd'.indexOf(other) }]
      : [];
  });
}

function leaderEvents(
  state: State,
  term: number,
  bounds: ConsensusBounds,
  enabled: Safeguards,
): readonly Event[] {
  const { leader: id, leading, log, acks } = termOf(state, term);
  if (!leading || replicaOf(state, id).term !== term) {
    return [];
  }
  const hasOwnEntry = log.some(({ t }) => t === term);
  const changes = log.filter(({ v }) => v !== undefined).length;
  const committed = state.committed.length >= log.length;
  const mayChange = bounds.replace && committed && hasOwnEntry && changes < 2;
  const append = [
    ...(log.length < bounds.log && !hasOwnEntry ? [{ type: 'append', id, term, n: 0 }] : []),
    ...(log.length < bounds.log + 2 && mayChange ? [{ type: 'append', id, term, n: 1 }] : []),
  ];
  const commit = log.flatMap(({ t }, i) => {
    const holders = Object.keys(acks).filter((other) => other === id || (acks[other] ?? 0) > i);
    const own = t === term || enabled['commit only own term by count'] === false;
    return own && i >= state.committed.length && isQuorum(votersOf(log), holders)
      ? [{ type: 'commit', id, term, n: i + 1 }]
      : [];
  });
  return [...append, ...commit];
}

function receiveEvents(state: State, id: string): readonly Event[] {
  const { term: mine } = replicaOf(state, id);
  return state.terms.flatMap(({ leader, log, acks }, term) =>
    leader !== '' && leader !== id && term >= mine
      ? log
          .map((_entry, i) => i + 1)
          .filter((n) => (acks[id] ?? 0) < n || term > mine)
          .map((n) => ({ type: 'receive', id, term, n }))
      : [],
  );
}

function listEvents(state: State, bounds: ConsensusBounds, enabled: Safeguards): readonly Event[] {
  const ids = Object.keys(state.replicas).filter(
    (id) => !(state.wiped && id === 'c' && enabled['new identity after a lost disk'] !== false),
  );
  const crash = ids.flatMap((id) => {
    const { term } = replicaOf(state, id);
    return state.crashes < bounds.crashes ? [{ type: 'crash', id, term }] : [];
  });
  const wipe = bounds.replace && !state.wiped ? [{ type: 'wipe', id: 'c', term: 0 }] : [];
  return [
    ...ids.flatMap((id) => electionEvents(state, id, bounds)),
    ...ids.flatMap((id) => voteEvents(state, id)),
    ...ids.flatMap((id) => receiveEvents(state, id)),
    ...state.terms.flatMap((_term, t) => leaderEvents(state, t, bounds, enabled)),
    ...crash,
    ...wipe,
  ];
}

/** The situation of section 5.4.2 of the Raft paper: counting replicas doesn't suffice to commit an older entry. */
function afterTwoTerms(state: State): State {
  const replicas = {
    a: { term: 1, log: [{ t: 1 }], votes: ['', 'a'], synced: 1 },
    b: { term: 2, log: [], votes: ['', 'a', 'c'], synced: 0 },
    c: { term: 2, log: [{ t: 2 }], votes: ['', '', 'c'], synced: 1 },
  };
  const first = { leader: 'a', log: [{ t: 1 }], acks: { a: 0 }, granted: ['a>a', 'b>a'] };
  const second = { leader: 'c', log: [{ t: 2 }], acks: { c: 0 }, granted: ['b>c', 'c>c'] };
  return setTerm(setTerm({ ...state, replicas }, 1, first), 2, second);
}

/** Leader a has committed an entry that c acknowledged and b doesn't have. */
function afterOneCommit(state: State): State {
  const log = [{ t: 1 }];
  const replicas = {
    a: { term: 1, log, votes: ['', 'a'], synced: 1 },
    b: { term: 1, log: [], votes: ['', 'a'], synced: 0 },
    c: { term: 1, log, votes: ['', 'a'], synced: 1 },
    d: emptyReplica(),
  };
  const acks = { a: 0, c: 1 };
  const granted = ['a>a', 'b>a', 'c>a'];
  const accepted = { ...state, replicas, committed: log, committedTerm: 1 };
  return setTerm(accepted, 1, { leader: 'a', leading: true, log, acks, granted });
}

const INITIAL_STATES: Readonly<Record<string, (state: State) => State>> = {
  empty: (state) => state,
  'after two terms': afterTwoTerms,
  'after one commit': afterOneCommit,
};

/** Makes the specification for the given bounds and safeguards. */
export function makeConsensusSpec(
  name: string,
  bounds: ConsensusBounds,
  safeguards: readonly string[],
): Spec<State, Event> {
  const initialState = INITIAL_STATES[bounds.start ?? 'empty'] ?? ((state: State): State => state);
  const ids = bounds.replace ? ['a', 'b', 'c', 'd'] : ['a', 'b', 'c'];
  return {
    name,
    bounds: JSON.stringify(bounds),
    safeguards,
    init: initialState({
      replicas: Object.fromEntries(ids.map((id) => [id, emptyReplica()])),
      terms: Array.from({ length: bounds.terms + 1 }, emptyTerm),
      committed: [],
      committedTerm: 0,
      violated: [],
      wiped: false,
      crashes: 0,
    }),
    events: (state, enabled) => listEvents(state, bounds, enabled),
    step: (state, event, enabled) => STEPS[event.type]?.(state, event, enabled) ?? state,
    violations: ({ violated }) => violated,
  };
}
