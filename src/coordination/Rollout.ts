/**
 * Rollout of the configuration from a control process to the processes attached to it. Each is
 * sent deltas from the index it holds, or a snapshot; only entries that concern it.
 */
import type { ConfigDelta, ConfigEntries, MemberRecord } from '../protocol/index.js';
import { deltasSince, type ConfigState } from '../state/index.js';

/** How long a restarted control process waits for a leader before it serves what it holds. ms. */
export const CONFIRM_TIMEOUT_MS = 2_000;

/** Where a control process stands after its start. */
export type RolloutPhase = 'checking' | 'checked' | 'cutOff';

/** What a control process has served, and to whom. */
export interface RolloutState {
  readonly phase: RolloutPhase;
  readonly startedAt: number;
  /** Newest configuration known: from the log, or in a cut-off AZ from a process attached. */
  readonly config: ConfigState;
  /** Newest deltas, oldest first, in one unbroken row that ends at `config`. */
  readonly deltas: readonly ConfigDelta[];
  readonly subscribers: ReadonlyMap<
    string,
    { readonly record: MemberRecord; readonly sentIndex: number }
  >;
}

/** What goes in. */
export type RolloutInput =
  /** The log's configuration has changed or been recovered. */
  | {
      readonly type: 'config';
      readonly config: ConfigState;
      readonly deltas: readonly ConfigDelta[];
    }
  /** A quorum has confirmed that the log's configuration is the newest. */
  | { readonly type: 'confirmed' }
  | { readonly type: 'subscribe'; readonly record: MemberRecord; readonly held: number }
  | { readonly type: 'unsubscribe'; readonly id: string }
  /** A process attached holds a newer configuration than this one, and sent it. */
  | { readonly type: 'learned'; readonly config: ConfigState }
  /** A process attached had a gap. */
  | { readonly type: 'gap'; readonly id: string; readonly held: number }
  | { readonly type: 'tick' };

/** What comes out. */
export type RolloutOutput =
  | { readonly type: 'send'; readonly to: string; readonly delta: ConfigDelta }
  /** Ask this process for the newer configuration it holds. */
  | { readonly type: 'fetch'; readonly from: string }
  | { readonly type: 'phase'; readonly phase: RolloutPhase };

/** New state and outputs of a step. */
export interface RolloutStep {
  readonly state: RolloutState;
  readonly outputs: readonly RolloutOutput[];
}

/** State at the start of a control process. */
export function initRollout(now: number): RolloutState {
  return {
    phase: 'checking',
    startedAt: now,
    config: { index: 0, entries: {} },
    deltas: [],
    subscribers: new Map(),
  };
}

/** Tells whether an entry concerns a process: an endpoint needs its own service alone. */
export function isRelevantTo(record: MemberRecord, key: string): boolean {
  const { offer } = record;
  return record.role !== 'endpoint' || key === `${offer?.fleet}/service/${offer?.service}`;
}

function filterEntries(record: MemberRecord, entries: ConfigEntries): ConfigEntries {
  return Object.fromEntries(Object.entries(entries).filter(([key]) => isRelevantTo(record, key)));
}

function filterDelta(record: MemberRecord, delta: ConfigDelta): ConfigDelta {
  if (record.role !== 'endpoint') {
    return delta;
  }
  return {
    ...delta,
    set: filterEntries(record, delta.set),
    del: delta.del.filter((key) => isRelevantTo(record, key)),
  };
}

/** Entry processes that hold more than this one: only they hold the whole, an endpoint its share. */
function findNewerHolders({ subscribers, config }: RolloutState): readonly string[] {
  return [...subscribers.values()]
    .filter(({ record, sentIndex }) => record.role === 'entry' && sentIndex > config.index)
    .map(({ record }) => record.id);
}

/**
 * Brings every process attached up to date, unless this one isn't sure of its own yet, or has just
 * heard of a newer configuration that it is fetching: a process that restarted would else take the
 * older one while its neighbour acts on the newer.
 */
function pushUpdates(state: RolloutState): RolloutStep {
  const mustWait = state.phase === 'checking' || findNewerHolders(state).length > 0;
  if (mustWait || state.config.index === 0) {
    return { state, outputs: [] };
  }
  const outdated = [...state.subscribers.values()].filter(
    ({ sentIndex }) => sentIndex < state.config.index,
  );
  if (outdated.length === 0) {
    return { state, outputs: [] };
  }
  const subscribers = new Map(state.subscribers);
  const outputs = outdated.flatMap(({ record, sentIndex }) => {
    subscribers.set(record.id, { record, sentIndex: state.config.index });
    return deltasSince(state, sentIndex).map((delta): RolloutOutput => ({
      type: 'send',
      to: record.id,
      delta: filterDelta(record, delta),
    }));
  });
  return { state: { ...state, subscribers }, outputs };
}

function enterPhase(state: RolloutState, phase: RolloutPhase): RolloutStep {
  if (state.phase === phase) {
    return { state, outputs: [] };
  }
  const pushed = pushUpdates({ ...state, phase });
  return { ...pushed, outputs: [{ type: 'phase', phase }, ...pushed.outputs] };
}

/** Takes a configuration only if it is newer: the index served never goes back. */
function adoptConfig(
  state: RolloutState,
  config: ConfigState,
  deltas: readonly ConfigDelta[],
): RolloutStep {
  return config.index > state.config.index
    ? pushUpdates({ ...state, config, deltas })
    : { state, outputs: [] };
}

/** Asks those ahead for what they hold. */
function fetchNewer(state: RolloutState): readonly RolloutOutput[] {
  return findNewerHolders(state).map((from) => ({ type: 'fetch', from }));
}

function onSubscribe(
  state: RolloutState,
  { record, held }: Extract<RolloutInput, { type: 'subscribe' }>,
): RolloutStep {
  const subscribers = new Map(state.subscribers).set(record.id, { record, sentIndex: held });
  const pushed = pushUpdates({ ...state, subscribers });
  return { ...pushed, outputs: [...pushed.outputs, ...fetchNewer(pushed.state)] };
}

function onTick(state: RolloutState, now: number): RolloutStep {
  const hasTimedOut = state.phase === 'checking' && now - state.startedAt >= CONFIRM_TIMEOUT_MS;
  const step = hasTimedOut ? enterPhase(state, 'cutOff') : { state, outputs: [] };
  return { ...step, outputs: [...step.outputs, ...fetchNewer(step.state)] };
}

function onUnsubscribe(state: RolloutState, id: string): RolloutStep {
  const subscribers = new Map(state.subscribers);
  subscribers.delete(id);
  // If it was ahead and is gone, the others need no longer wait for what it held.
  return pushUpdates({ ...state, subscribers });
}

function onGap(
  state: RolloutState,
  { id, held }: Extract<RolloutInput, { type: 'gap' }>,
): RolloutStep {
  const known = state.subscribers.get(id);
  return known === undefined
    ? { state, outputs: [] }
    : pushUpdates({
        ...state,
        subscribers: new Map(state.subscribers).set(id, { ...known, sentIndex: held }),
      });
}

type Handlers = {
  readonly [T in RolloutInput['type']]: (
    state: RolloutState,
    input: Extract<RolloutInput, { type: T }>,
    now: number,
  ) => RolloutStep;
};

const HANDLERS: Handlers = {
  config: (state, { config, deltas }) => adoptConfig(state, config, deltas),
  confirmed: (state) => enterPhase(state, 'checked'),
  subscribe: onSubscribe,
  unsubscribe: (state, { id }) => onUnsubscribe(state, id),
  learned: (state, { config }) => adoptConfig(state, config, []),
  gap: onGap,
  tick: (state, _input, now) => onTick(state, now),
};

/**
 * One step of the rollout.
 *
 * Failure: a control process restarts after hundreds of changes and serves what it remembers.
 * Symptom: processes that start beside it take an old configuration. Enough: until a quorum has
 * confirmed its log it serves nobody; cut off from the quorum, it waits first for the processes
 * attached to it to tell what they hold, and serves the newest of that.
 */
export function stepRollout(state: RolloutState, input: RolloutInput, now: number): RolloutStep {
  const handler = HANDLERS[input.type] as (
    state: RolloutState,
    input: RolloutInput,
    now: number,
  ) => RolloutStep;
  return handler(state, input, now);
}
