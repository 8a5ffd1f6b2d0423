/**
 * Specification of the choice of voters: hosts are replaced, with or without notice, lose their disks or restart in
 * order, some are unreachable for a while, leaders change. It runs the production code for the choice
 * (`nextVoterChange`); the log is assumed correct.
 */
import {
  nextVoterChange,
  type ConsensusState,
  type VoterChange,
} from '../src/coordination/index.js';
import type { Safeguards, Spec, SpecEvent } from './SpecTypes.js';
import {
  contactOfLeader,
  NOW,
  progressOf,
  VOTERS_SAFEGUARDS,
  type Replica,
  type State,
} from './SpecVotersState.js';

const {
  SILENCE_OUTLIVES_ELECTION,
  DROP_SILENT,
  DROP_TWO_OF_ODD,
  PROMOTE_FIRST,
  KEEP_ENOUGH_VOTERS,
  WAIT_FOR_REMOVAL,
} = VOTERS_SAFEGUARDS;

interface Event extends SpecEvent {
  readonly id?: string;
  readonly fresh?: string;
}

/** Bounds of the exploration. */
export interface VotersBounds {
  readonly hosts: number;
  readonly borne: number;
  readonly losses: number;
  readonly silences: number;
  /** How many processes stop in order, for good once a host added before is a voter, or to restart. */
  readonly departures: number;
  /**
   * Whether a committed change of voters brings a quorum of them up to date, as the log does. Otherwise states are
   * explored that can't occur, so that more has to hold.
   */
  readonly copiesLog: boolean;
  /** Whether the leader's process restarts, and a replica is hidden from the leader alone, at some point. */
  readonly reports: boolean;
  /** Only initial replicas fail, disks from the first on and silence from the last on; they are interchangeable. */
  readonly inOrder: boolean;
}

function findReplica(state: State, id: string): Replica | undefined {
  return state.replicas.find((replica) => replica.id === id);
}

function setReplica(state: State, id: string, to: Partial<Replica>): State {
  return {
    ...state,
    replicas: state.replicas.map((current) =>
      current.id === id ? { ...current, ...to } : current,
    ),
  };
}

/** Adds a replica with an empty disk. */
function addReplica(state: State, id: string): State {
  const added: Replica = {
    id,
    status: 'sound',
    suspected: false,
    isUpToDate: false,
    isLeaving: false,
  };
  return { ...state, replicas: [...state.replicas, added] };
}

function count(state: State, has: (replica: Replica) => boolean): number {
  return state.members.voters.filter((id) => {
    const replica = findReplica(state, id);
    return replica !== undefined && has(replica);
  }).length;
}

function hasQuorum(state: State, has: (replica: Replica) => boolean): boolean {
  return count(state, has) * 2 > state.members.voters.length;
}

const isSound = ({ status }: Replica): boolean => status === 'sound';

/** A voter that can lead: it holds all accepted entries, and a majority is reachable. */
function leaderOf(state: State): Replica | undefined {
  return hasQuorum(state, isSound)
    ? state.replicas.find(
        (replica) =>
          isSound(replica) && replica.isUpToDate && state.members.voters.includes(replica.id),
      )
    : undefined;
}

/** The change that drops an unreachable voter to make room for a new one; null if there is none. */
function makeRoom(state: State): VoterChange | null {
  const { voters, learners } = state.members;
  const replica = voters.find((id) => findReplica(state, id)?.suspected === true);
  return replica === undefined
    ? null
    : {
        members: { voters: voters.filter((id) => id !== replica), learners },
        reason: 'silent',
        replica,
      };
}

/** The leader's next change by the production rule, altered where a safeguard is disabled. */
function nextChange(state: State, bounds: VotersBounds, enabled: Safeguards): VoterChange | null {
  const leader = leaderOf(state);
  if (leader === undefined) {
    return null;
  }
  const { members } = state;
  const view = { id: leader.id, members, progress: progressOf(state, enabled), commit: 1 };
  const found = nextVoterChange(view as unknown as ConsensusState, {
    now: NOW,
    heardAt: (id) => {
      const replica = findReplica(state, id);
      return replica && contactOfLeader(state, replica);
    },
    leaving: new Set(
      state.replicas.flatMap(({ id, isLeaving }) =>
        isLeaving && enabled[WAIT_FOR_REMOVAL] !== false ? [id] : [],
      ),
    ),
    lossesBorne: enabled[KEEP_ENOUGH_VOTERS] === false ? 0 : bounds.borne,
  });
  if (found?.reason === 'caughtUp' && enabled[PROMOTE_FIRST] === false) {
    return makeRoom(state) ?? found;
  }
  if (found?.reason !== 'silent') {
    return found;
  }
  const isOdd = state.members.voters.length % 2 === 1;
  const isDisabled =
    enabled[DROP_SILENT] === false || (isOdd && enabled[DROP_TWO_OF_ODD] === false);
  return isDisabled ? null : found;
}

/** Whether a change can be committed: a majority of the new voters is reachable. */
function canCommit(state: State, { members }: VoterChange): boolean {
  return hasQuorum({ ...state, members }, isSound);
}

/** Ids of a replica on a new disk: on the same host, or on a host that replaces it at another address. */
function freshIds({ id }: Replica): readonly string[] {
  const [name = '', disk = ''] = id.split('.');
  return [`${name}.${Number(disk) + 1}`, `${name}'.0`];
}

/** Whether all hosts are reachable and no repair of lost disks is pending. */
function isRepaired(state: State, bounds: VotersBounds, enabled: Safeguards): boolean {
  const hasPending = state.replicas.some(
    ({ id, status, suspected, isUpToDate }) =>
      (status === 'gone' && !suspected && enabled[SILENCE_OUTLIVES_ELECTION] !== false) ||
      status === 'silent' ||
      id === state.hidden ||
      (status === 'sound' && !isUpToDate) ||
      (status === 'sound' &&
        !state.members.voters.includes(id) &&
        !state.members.learners.includes(id)),
  );
  return (
    !hasPending && nextChange(state, bounds, enabled) === null && leaderOf(state) !== undefined
  );
}

/** Removes lost replicas that are no longer members, so that equivalent states are equal. */
function dropUnusedReplicas(state: State): State {
  const { voters, learners } = state.members;
  const isReferenced = (id: string): boolean => voters.includes(id) || learners.includes(id);
  return {
    ...state,
    replicas: state.replicas.filter(({ id, status }) => status !== 'gone' || isReferenced(id)),
  };
}

/** A leader and as many other sound voters as make a quorum with it. */
function quorumWith(state: State, leader: string): ReadonlySet<string> {
  const { voters } = state.members;
  const quorumSize = Math.floor(voters.length / 2) + 1;
  const sound = voters.filter((id) => findReplica(state, id)?.status === 'sound');
  const isVoter = voters.includes(leader);
  const holders = new Set([...(isVoter ? [leader] : []), ...sound]);
  return new Set([...holders].slice(0, quorumSize));
}

/** Once a change of voters is committed, a quorum of the new voters holds the log up to it. */
function copyToQuorum(state: State, leader: string): State {
  const quorum = quorumWith(state, leader);
  return {
    ...state,
    replicas: state.replicas.map((current) => ({
      ...current,
      isUpToDate: current.isUpToDate || quorum.has(current.id),
    })),
  };
}

type Step = (state: State, event: Event, bounds: VotersBounds, enabled: Safeguards) => State;

const STEPS: Readonly<Record<string, Step>> = {
  lose: (state, { id = '', fresh = '' }) => {
    const lost = setReplica(state, id, { status: 'gone', suspected: false, isUpToDate: false });
    return {
      ...addReplica(lost, fresh),
      unrepaired: state.unrepaired + 1,
      losses: state.losses + 1,
    };
  },
  add: (state, { fresh = '' }) => ({
    ...addReplica(state, fresh),
    additions: state.additions + 1,
  }),
  leave: (state, { id = '' }) => ({
    ...setReplica(state, id, { isLeaving: true }),
    departures: state.departures + 1,
  }),
  remove: (state, { id = '' }) => {
    const removed = setReplica(state, id, { status: 'gone', suspected: false, isUpToDate: false });
    return dropUnusedReplicas({ ...removed, removals: state.removals + 1 });
  },
  stop: (state, { id = '' }) => setReplica(state, id, { status: 'silent' }),
  silence: (state, { id = '' }) => ({
    ...setReplica(state, id, { status: 'silent' }),
    silences: state.silences + 1,
  }),
  back: (state, { id = '' }) =>
    setReplica(state, id, { status: 'sound', suspected: false, isLeaving: false }),
  notice: (state, { id = '' }) => setReplica(state, id, { suspected: true }),
  restart: (state) => ({ ...state, isRestarted: true }),
  hide: (state, { id = '' }) => ({ ...state, hidden: id }),
  unhide: (state) => ({ ...state, hidden: null }),
  elect: (state) => ({
    ...state,
    replicas: state.replicas.map((replica) => ({ ...replica, suspected: false })),
  }),
  join: (state, { id = '' }) => {
    const { voters, learners } = state.members;
    return { ...state, members: { voters, learners: [...learners, id] } };
  },
  catchUp: (state, { id = '' }) => setReplica(state, id, { isUpToDate: true }),
  // The minimum for acceptance: only a quorum of voters holds the entry, the others don't yet.
  accept: (state) => {
    const quorum = quorumWith(state, leaderOf(state)?.id ?? '');
    return {
      ...state,
      replicas: state.replicas.map((current) => ({
        ...current,
        isUpToDate: quorum.has(current.id),
      })),
    };
  },
  change: (state, _event, bounds, enabled) => {
    const next = nextChange(state, bounds, enabled);
    if (next === null) {
      return state;
    }
    const isHeard =
      next.reason === 'silent' && findReplica(state, next.replica)?.status === 'sound';
    const hasDroppedHeard = state.hasDroppedHeard || isHeard;
    const changed = { ...state, members: next.members, hasDroppedHeard };
    return dropUnusedReplicas(
      bounds.copiesLog ? copyToQuorum(changed, leaderOf(state)?.id ?? '') : changed,
    );
  },
  settle: (state) => ({ ...state, unrepaired: 0 }),
};

const NAMES = 'abcdefg';

function founderId(at: number): string {
  return `${NAMES[at] ?? ''}.0`;
}

/** Whether a replica may be the next to lose its disk, and the next to become silent. */
function isNextHit(state: State, { id }: Replica, bounds: VotersBounds): [boolean, boolean] {
  return bounds.inOrder
    ? [id === founderId(state.losses), id === founderId(bounds.hosts - 1 - state.silences)]
    : [true, true];
}

/** The leader's process restarts, or a voter is hidden from the leader alone. */
function reportEvents(state: State, leader: Replica | undefined): readonly Event[] {
  const { voters } = state.members;
  return [
    ...(state.isRestarted ? [] : [{ type: 'restart' }]),
    ...(state.hidden === null
      ? voters.filter((id) => id !== leader?.id).map((id) => ({ type: 'hide', id }))
      : [{ type: 'unhide' }]),
  ];
}

/** Name of the host that is added as the successor of one that leaves for good. */
function successorId(additions: number): string {
  return `s${additions}.0`;
}

/**
 * Hosts are added, and processes leave: for good once a host that was added is a voter, or to restart. Without a quorum
 * a process stops with its vote; no host is removed for good then.
 */
function departureEvents(
  state: State,
  bounds: VotersBounds,
  enabled: Safeguards,
): readonly Event[] {
  const { voters } = state.members;
  const leader = leaderOf(state);
  const isDecided = nextChange(state, bounds, enabled) === null;
  const successor = findReplica(state, successorId(state.removals + 1));
  const hasSuccessor =
    successor !== undefined &&
    isSound(successor) &&
    successor.isUpToDate &&
    voters.includes(successor.id);
  const mayStop = ({ id, isLeaving, status }: Replica): boolean =>
    isLeaving &&
    status === 'sound' &&
    (!voters.includes(id) ||
      leader === undefined ||
      isDecided ||
      enabled[WAIT_FOR_REMOVAL] === false);
  const stopping = state.replicas.filter(mayStop);
  const leavable = state.replicas.filter(
    (replica) => isSound(replica) && !replica.isLeaving && voters.includes(replica.id),
  );
  return [
    ...(state.additions < bounds.departures
      ? [{ type: 'add', fresh: successorId(state.additions + 1) }]
      : []),
    ...(state.departures < bounds.departures
      ? leavable.map(({ id }) => ({ type: 'leave', id }))
      : []),
    ...stopping.map(({ id }) => ({ type: 'stop', id })),
    ...(hasSuccessor && leader !== undefined
      ? stopping.filter(({ id }) => id !== successor.id).map(({ id }) => ({ type: 'remove', id }))
      : []),
  ];
}

function eventsOf(state: State, bounds: VotersBounds, enabled: Safeguards): readonly Event[] {
  const leader = leaderOf(state);
  const { voters, learners } = state.members;
  const next = nextChange(state, bounds, enabled);
  const mayLose = state.unrepaired < bounds.borne && state.losses < bounds.losses;
  return [
    ...state.replicas.flatMap((replica): readonly Event[] => {
      const { id, status, suspected, isUpToDate } = replica;
      const isMember = voters.includes(id) || learners.includes(id);
      const [isDiskNext, isSilentNext] = isNextHit(state, replica, bounds);
      return [
        ...(mayLose && isDiskNext && status !== 'gone' && voters.includes(id)
          ? freshIds(replica).map((fresh) => ({ type: 'lose', id, fresh }))
          : []),
        ...(status === 'sound' && isSilentNext && state.silences < bounds.silences
          ? [{ type: 'silence', id }]
          : []),
        ...(status === 'silent' ? [{ type: 'back', id }] : []),
        ...(status !== 'sound' && !suspected && leader !== undefined
          ? [{ type: 'notice', id }]
          : []),
        ...(status === 'sound' && !isMember && leader !== undefined ? [{ type: 'join', id }] : []),
        ...(status === 'sound' && isMember && !isUpToDate && leader !== undefined
          ? [{ type: 'catchUp', id }]
          : []),
      ];
    }),
    ...(leader === undefined ? [] : [{ type: 'accept' }]),
    ...(bounds.reports ? reportEvents(state, leader) : []),
    ...departureEvents(state, bounds, enabled),
    ...(next !== null && canCommit(state, next) ? [{ type: 'change' }] : []),
    ...(enabled[SILENCE_OUTLIVES_ELECTION] === false ? [{ type: 'elect' }] : []),
    ...(state.unrepaired > 0 && isRepaired(state, bounds, enabled) ? [{ type: 'settle' }] : []),
  ];
}

function violationsOf(state: State): readonly string[] {
  const hasDisk = ({ status }: Replica): boolean => status !== 'gone';
  const canElectOutdated = hasQuorum(state, (replica) => hasDisk(replica) && !replica.isUpToDate);
  return [
    ...(hasQuorum(state, hasDisk) ? [] : ['no leader can be elected any more']),
    ...(state.hasDroppedHeard ? ['a voter that another one heard was dropped'] : []),
    ...(canElectOutdated ? ['voters that lack what was accepted can elect a leader'] : []),
  ];
}

/** Makes the specification for the given bounds, with the safeguards whose mutants fail within them. */
export function makeVotersSpec(
  bounds: VotersBounds,
  safeguards: readonly string[],
): Spec<State, Event> {
  const voters = Array.from({ length: bounds.hosts }, (_none, i) => founderId(i));
  return {
    name: `voters of ${bounds.hosts} hosts`,
    bounds: JSON.stringify(bounds),
    safeguards,
    init: {
      replicas: voters.map((id) => ({
        id,
        status: 'sound',
        suspected: false,
        isUpToDate: true,
        isLeaving: false,
      })),
      members: { voters, learners: [] },
      unrepaired: 0,
      losses: 0,
      silences: 0,
      additions: 0,
      departures: 0,
      removals: 0,
      isRestarted: false,
      hidden: null,
      hasDroppedHeard: false,
    },
    events: (state, enabled) => eventsOf(state, bounds, enabled),
    step: (state, event, enabled) => STEPS[event.type]?.(state, event, bounds, enabled) ?? state,
    violations: violationsOf,
  };
}
