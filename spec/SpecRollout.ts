/**
 * Specification of the rollout of a configuration in one AZ that may be cut off, with restarts of
 * its control process and of two processes attached to it.
 *
 * A configuration is represented by its log index. The quorum accepts 1, 2, …; the hub is the AZ's control
 * process. Processes receive deltas from it, or from another AZ's control process while the AZ isn't cut off.
 * Any delta that was sent may arrive at any later time, any number of times.
 */
import type { Safeguards, Spec, SpecEvent } from './SpecTypes.js';

interface Process {
  /** Index of the configuration in force at it; 0 for none. */
  readonly applied: number;
  /** Index that was last in force, kept across a restart. */
  readonly remembered: number;
  /** Whether it is attached to the AZ's control process. */
  readonly attached: boolean;
}

interface State {
  /** Newest index accepted by the quorum. */
  readonly accepted: number;
  readonly cut: boolean;
  /** Of the AZ's control process: newest index in its log, and newest index that it has served and synced to disk. */
  readonly log: number;
  readonly disk: number;
  /** Index that it serves; 0 after a restart. */
  readonly served: number;
  /** Whether it has begun to serve since its start: after a check with the quorum, or while cut off. */
  readonly checked: boolean;
  readonly processes: readonly Process[];
  /** Deltas sent, `from>to`. */
  readonly sent: readonly string[];
  readonly restarts: number;
  readonly violated: readonly string[];
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

/** Newest index in force at the attached processes. */
function newestApplied(state: State): number {
  return Math.max(0, ...state.processes.map(({ applied, attached }) => (attached ? applied : 0)));
}

function setProcess(state: State, i: number, change: Partial<Process>): State {
  return {
    ...state,
    processes: state.processes.map((current, j) => (j === i ? { ...current, ...change } : current)),
  };
}

/** Puts an index in force at a process; records a violation if it is older than its own or, in a cut-off AZ, its peers'. */
function applyIndex(state: State, i: number, index: number): State {
  const { applied } = state.processes[i] ?? { applied: 0 };
  const others = newestApplied(state);
  const violated = [
    ...(index < applied ? ['a process went back to an older configuration'] : []),
    ...(applied === 0 && index < others && state.cut
      ? ['a restarted process took an older configuration than its peers hold']
      : []),
  ];
  return {
    ...setProcess(state, i, { applied: index, remembered: Math.max(index, 0) }),
    violated: [...state.violated, ...violated],
  };
}

type Step = (state: State, event: Event, enabled: Safeguards) => State;

function serveIndex(state: State, index: number, enabled: Safeguards): State {
  const synced = enabled['sync what is handed out'] !== false;
  return { ...state, served: index, disk: synced ? Math.max(state.disk, index) : state.disk };
}

const STEPS: Readonly<Record<string, Step>> = {
  accept: (state) => ({ ...state, accepted: state.accepted + 1 }),
  cut: (state) => ({ ...state, cut: true }),
  heal: (state) => ({ ...state, cut: false }),
  /** The log reaches the hub, together with the commit index. */
  replicate: (state, _event, enabled) => {
    const next = { ...state, log: state.accepted };
    return state.checked ? serveIndex(next, state.accepted, enabled) : next;
  },
  /** A quorum confirms the hub's log. */
  check: (state, _event, enabled) =>
    serveIndex({ ...state, checked: true }, state.accepted, enabled),
  /** While cut off from the quorum, the hub serves the newest index of its disk and of the attached processes. */
  serveCutOff: (state, _event, enabled) => {
    const newestAttached =
      enabled['learn from those attached when cut off'] === false ? 0 : newestApplied(state);
    return serveIndex({ ...state, checked: true }, Math.max(state.disk, newestAttached), enabled);
  },
  serveUnchecked: (state, _event, enabled) =>
    serveIndex({ ...state, checked: true }, state.disk, enabled),
  restartHub: (state) => ({
    ...state,
    processes: state.processes.map((current) => ({ ...current, attached: false })),
    served: 0,
    checked: false,
    restarts: state.restarts + 1,
  }),
  restart: (state, { i = 0 }) => ({
    ...setProcess(state, i, { applied: 0, attached: false }),
    restarts: state.restarts + 1,
  }),
  /** A process attaches and reports its index; the hub adopts a newer one before it continues to serve. */
  attach: (state, { i = 0 }, enabled) => {
    const next = setProcess(state, i, { attached: true });
    const { applied } = state.processes[i] ?? { applied: 0 };
    const learns = enabled['learn from those attached when cut off'] !== false;
    return state.checked && learns && applied > state.served
      ? serveIndex(next, applied, enabled)
      : next;
  },
  /** The hub sends a delta. */
  send: (state, { delta = '' }) => ({
    ...state,
    sent: [...new Set([...state.sent, delta])].sort(),
  }),
  receive: (state, { i = 0, delta = '' }, enabled) => {
    const [from = 0, to = 0] = delta.split('>').map(Number);
    const { applied } = state.processes[i] ?? { applied: 0 };
    if (to <= applied && enabled['drop what is older'] !== false) {
      return state;
    }
    if (from !== 0 && from !== applied) {
      return enabled['no delta over a gap'] === false
        ? {
            ...applyIndex(state, i, to),
            violated: [...state.violated, 'changes in between were left out'],
          }
        : state;
    }
    return applyIndex(state, i, to);
  },
  /** Receives the newest index from another AZ's control process, which has checked with the quorum. */
  fromElsewhere: (state, { i = 0 }) =>
    applyIndex(setProcess(state, i, { attached: false }), i, state.accepted),
  actOnMemory: (state, { i = 0 }) => applyIndex(state, i, state.processes[i]?.remembered ?? 0),
};

function hubEvents(state: State, enabled: Safeguards): readonly Event[] {
  const { cut, checked, log, accepted, served } = state;
  const replicate = !cut && log < accepted ? [{ type: 'replicate' }] : [];
  const check = !cut && !checked && accepted > 0 ? [{ type: 'check' }] : [];
  // Assumption: every running process attaches again while the hub still waits.
  const allAttached = state.processes.every(({ applied, attached }) => attached || applied === 0);
  const cutOff = cut && !checked && allAttached ? [{ type: 'serveCutOff' }] : [];
  const unchecked =
    !checked && enabled['check with a quorum before serving'] === false
      ? [{ type: 'serveUnchecked' }]
      : [];
  const sends = state.processes
    .filter(({ applied, attached }) => attached && applied < served)
    .flatMap(({ applied }) => [`0>${served}`, ...(applied > 0 ? [`${applied}>${served}`] : [])])
    .filter((delta) => !state.sent.includes(delta))
    .map((delta) => ({ type: 'send', delta }));
  return [...replicate, ...check, ...cutOff, ...unchecked, ...sends];
}

/** Deltas of an old link don't arrive on a new one, so a restarted process only gets the hub's current full delta. */
function mayArrive(state: State, i: number, delta: string): boolean {
  const [from = 0, to = 0] = delta.split('>').map(Number);
  const { applied, attached } = state.processes[i] ?? { applied: 0, attached: false };
  return applied > 0 || (attached && from === 0 && to === state.served && state.checked);
}

function processEvents(state: State, i: number, enabled: Safeguards): readonly Event[] {
  const { applied, remembered, attached } = state.processes[i] ?? {
    applied: 0,
    remembered: 0,
    attached: false,
  };
  const receives = state.sent
    .filter((delta) => mayArrive(state, i, delta))
    .map((delta) => ({ type: 'receive', i, delta }));
  const elsewhere = !state.cut && state.accepted > applied ? [{ type: 'fromElsewhere', i }] : [];
  const memory =
    applied === 0 && remembered > 0 && enabled['act on nothing remembered'] === false
      ? [{ type: 'actOnMemory', i }]
      : [];
  const attach = attached ? [] : [{ type: 'attach', i }];
  return [...receives, ...attach, ...elsewhere, ...memory];
}

/** Makes the specification for the given bounds. */
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
      served: 0,
      checked: false,
      processes: Array.from({ length: bounds.processes }, () => ({
        applied: 0,
        remembered: 0,
        attached: false,
      })),
      sent: [],
      restarts: 0,
      violated: [],
    },
    events: (state, enabled) => [
      ...(state.accepted < bounds.changes ? [{ type: 'accept' }] : []),
      { type: state.cut ? 'heal' : 'cut' },
      ...hubEvents(state, enabled),
      ...state.processes.flatMap((_process, i) => processEvents(state, i, enabled)),
      ...(state.restarts < bounds.restarts
        ? [
            { type: 'restartHub' },
            ...state.processes.map((_process, i) => ({ type: 'restart', i })),
          ]
        : []),
    ],
    step: (state, event, enabled) => STEPS[event.type]?.(state, event, enabled) ?? state,
    violations: ({ violated }) => violated,
  };
}
