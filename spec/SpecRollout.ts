/**
 * Specification of the rollout of a configuration in one AZ that may be cut off, with restarts of
 * its control process and of two processes attached to it.
 *
 * A configuration is its log index. The quorum accepts 1, 2, …; `hub` is the AZ's control process;
 * processes take deltas from it, or from another AZ's control process while the AZ is not cut off.
 * Any delta ever sent may arrive at any later time, as often as it likes.
 */
import type { Safeguards, Spec, SpecEvent } from './SpecTypes.js';

interface Process {
  /** Index it acts on; 0 while it acts on nothing. */
  readonly acts: number;
  /** Index that it remembers from before its restart. */
  readonly remembers: number;
  /** Whether it is attached to the AZ's control process, so that each can tell the other. */
  readonly here: boolean;
}

interface State {
  /** Newest index accepted by the quorum. */
  readonly accepted: number;
  readonly cut: boolean;
  /** The control process of the AZ: what its log holds, what it knows to be committed, on disk. */
  readonly log: number;
  readonly disk: number;
  /** What it serves now; 0 while it has just started. */
  readonly serves: number;
  readonly checked: boolean;
  readonly processes: readonly Process[];
  /** Deltas sent, `from>to`. */
  readonly sent: readonly string[];
  readonly restarts: number;
  readonly broken: readonly string[];
}

interface Event extends SpecEvent {
  readonly i?: number;
  readonly delta?: string;
}

/** Bounds of the exploration. */
export interface RolloutBounds {
  readonly changes: number;
  readonly restarts: number;
  readonly processes: number;
}

const SAFEGUARDS = [
  'check with a quorum before serving',
  'sync what is handed out',
  'learn from those attached when cut off',
  'drop what is older',
  'no delta over a gap',
  'act on nothing remembered',
] as const;

/** Newest index in force at the processes attached. */
function newestActed(state: State): number {
  return Math.max(0, ...state.processes.map(({ acts, here }) => (here ? acts : 0)));
}

function setProcess(state: State, i: number, change: Partial<Process>): State {
  return {
    ...state,
    processes: state.processes.map((known, j) => (j === i ? { ...known, ...change } : known)),
  };
}

/** A process takes an index into force; it must never be older than its own. */
function act(state: State, i: number, index: number): State {
  const { acts } = state.processes[i] ?? { acts: 0 };
  const others = newestActed(state);
  const broken = [
    ...(index < acts ? ['a process went back to an older configuration'] : []),
    ...(acts === 0 && index < others && state.cut
      ? ['a restarted process took an older configuration than its peers hold']
      : []),
  ];
  return {
    ...setProcess(state, i, { acts: index, remembers: Math.max(index, 0) }),
    broken: [...state.broken, ...broken],
  };
}

type Step = (state: State, event: Event, on: Safeguards) => State;

function serve(state: State, index: number, on: Safeguards): State {
  const synced = on['sync what is handed out'] !== false;
  return { ...state, serves: index, disk: synced ? Math.max(state.disk, index) : state.disk };
}

const STEPS: Readonly<Record<string, Step>> = {
  accept: (state) => ({ ...state, accepted: state.accepted + 1 }),
  cut: (state) => ({ ...state, cut: true }),
  heal: (state) => ({ ...state, cut: false }),
  /** The log reaches the hub, with word of what is committed. */
  replicate: (state, _event, on) => {
    const next = { ...state, log: state.accepted };
    return state.checked ? serve(next, state.accepted, on) : next;
  },
  /** A quorum confirms the hub's log. */
  check: (state, _event, on) => serve({ ...state, checked: true }, state.accepted, on),
  /** Cut off from the quorum, it serves the newest of its disk and of those attached. */
  serveCutOff: (state, _event, on) => {
    const learned = on['learn from those attached when cut off'] === false ? 0 : newestActed(state);
    return serve({ ...state, checked: true }, Math.max(state.disk, learned), on);
  },
  serveUnchecked: (state, _event, on) => serve({ ...state, checked: true }, state.disk, on),
  restartHub: (state) => ({
    ...state,
    processes: state.processes.map((known) => ({ ...known, here: false })),
    serves: 0,
    checked: false,
    restarts: state.restarts + 1,
  }),
  restart: (state, { i = 0 }) => ({
    ...setProcess(state, i, { acts: 0, here: false }),
    restarts: state.restarts + 1,
  }),
  /** A process attaches, and tells what it holds; the hub learns it before it serves on. */
  attach: (state, { i = 0 }, on) => {
    const next = setProcess(state, i, { here: true });
    const { acts } = state.processes[i] ?? { acts: 0 };
    const learns = on['learn from those attached when cut off'] !== false;
    return state.checked && learns && acts > state.serves ? serve(next, acts, on) : next;
  },
  /** The hub sends a process what it lacks. */
  send: (state, { delta = '' }) => ({
    ...state,
    sent: [...new Set([...state.sent, delta])].sort(),
  }),
  receive: (state, { i = 0, delta = '' }, on) => {
    const [from = 0, to = 0] = delta.split('>').map(Number);
    const { acts } = state.processes[i] ?? { acts: 0 };
    if (to <= acts && on['drop what is older'] !== false) {
      return state;
    }
    if (from !== 0 && from !== acts) {
      return on['no delta over a gap'] === false
        ? { ...act(state, i, to), broken: [...state.broken, 'changes in between were left out'] }
        : state;
    }
    return act(state, i, to);
  },
  /** Attached to another AZ's control process, which is checked. */
  fromElsewhere: (state, { i = 0 }) =>
    act(setProcess(state, i, { here: false }), i, state.accepted),
  actOnMemory: (state, { i = 0 }) => act(state, i, state.processes[i]?.remembers ?? 0),
};

function hubEvents(state: State, on: Safeguards): readonly Event[] {
  const { cut, checked, log, accepted, serves } = state;
  const replicate = !cut && log < accepted ? [{ type: 'replicate' }] : [];
  const check = !cut && !checked && accepted > 0 ? [{ type: 'check' }] : [];
  // Assumed: whoever lives attaches again within the time that the hub waits.
  const allHere = state.processes.every(({ acts, here }) => here || acts === 0);
  const cutOff = cut && !checked && allHere ? [{ type: 'serveCutOff' }] : [];
  const unchecked =
    !checked && on['check with a quorum before serving'] === false
      ? [{ type: 'serveUnchecked' }]
      : [];
  const sends = state.processes
    .filter(({ acts, here }) => here && acts < serves)
    .flatMap(({ acts }) => [`0>${serves}`, ...(acts > 0 ? [`${acts}>${serves}`] : [])])
    .filter((delta) => !state.sent.includes(delta))
    .map((delta) => ({ type: 'send', delta }));
  return [...replicate, ...check, ...cutOff, ...unchecked, ...sends];
}

/** A new link carries nothing of the old one: a process that restarted gets what is sent since. */
function mayArrive(state: State, i: number, delta: string): boolean {
  const [from = 0, to = 0] = delta.split('>').map(Number);
  const { acts, here } = state.processes[i] ?? { acts: 0, here: false };
  return acts > 0 || (here && from === 0 && to === state.serves && state.checked);
}

function processEvents(state: State, i: number, on: Safeguards): readonly Event[] {
  const { acts, remembers, here } = state.processes[i] ?? { acts: 0, remembers: 0, here: false };
  const receives = state.sent
    .filter((delta) => mayArrive(state, i, delta))
    .map((delta) => ({ type: 'receive', i, delta }));
  const elsewhere = !state.cut && state.accepted > acts ? [{ type: 'fromElsewhere', i }] : [];
  const memory =
    acts === 0 && remembers > 0 && on['act on nothing remembered'] === false
      ? [{ type: 'actOnMemory', i }]
      : [];
  const attach = here ? [] : [{ type: 'attach', i }];
  return [...receives, ...attach, ...elsewhere, ...memory];
}

/** Makes the specification within bounds. */
export function makeRolloutSpec(bounds: RolloutBounds): Spec<State, Event> {
  return {
    name: 'rollout with restarts in an AZ that is cut off',
    bounds: JSON.stringify(bounds),
    safeguards: SAFEGUARDS,
    init: {
      accepted: 0,
      cut: false,
      log: 0,
      disk: 0,
      serves: 0,
      checked: false,
      processes: Array.from({ length: bounds.processes }, () => ({
        acts: 0,
        remembers: 0,
        here: false,
      })),
      sent: [],
      restarts: 0,
      broken: [],
    },
    events: (state, on) => [
      ...(state.accepted < bounds.changes ? [{ type: 'accept' }] : []),
      { type: state.cut ? 'heal' : 'cut' },
      ...hubEvents(state, on),
      ...state.processes.flatMap((_process, i) => processEvents(state, i, on)),
      ...(state.restarts < bounds.restarts
        ? [
            { type: 'restartHub' },
            ...state.processes.map((_process, i) => ({ type: 'restart', i })),
          ]
        : []),
    ],
    step: (state, event, on) => STEPS[event.type]?.(state, event, on) ?? state,
    violations: ({ broken }) => broken,
  };
}
