/**
 * Rollout of the configuration from a control process to the processes attached to it. Each is
 * sent deltas from the index it holds, or a snapshot; only entries that concern it.
 */
import type { ConfigDelta, ConfigEntries, MemberRecord } from '../protocol/index.js';
import { deltasSince, type ConfigState } from '../state/index.js';

/** How long a restarted control process waits for a leader before it serves what it holds. ms. */
export const CHECK_MS = 2_000;

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
    { readonly record: MemberRecord; readonly sent: number }
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
export function concerns(record: MemberRecord, key: string): boolean {
  const { offer } = record;
  return record.role !== 'endpoint' || key === `${offer?.fleet}/service/${offer?.service}`;
}

function filterEntries(record: MemberRecord, entries: ConfigEntries): ConfigEntries {
  return Object.fromEntries(Object.entries(entries).filter(([key]) => concerns(record, key)));
}

function filterDelta(record: MemberRecord, delta: ConfigDelta): ConfigDelta {
  if (record.role !== 'endpoint') {
    return delta;
  }
  return {
    ...delta,
    set: filterEntries(record, delta.set),
    del: delta.del.filter((key) => concerns(record, key)),
  };
}

/** Entry processes that hold more than this one: only they hold the whole, an endpoint its share. */
function findAhead({ subscribers, config }: RolloutState): readonly string[] {
  return [...subscribers.values()]
    .filter(({ record, sent }) => record.role === 'entry' && sent > config.index)
    .map(({ record }) => record.id);
}

/**
 * Brings every process attached up to date, unless this one isn't sure of its own yet, or has just
 * heard of a newer configuration that it is fetching: a process that restarted would else take the
 * older one while its neighbour acts on the newer.
 */
function push(state: RolloutState): RolloutStep {
  const unsure = state.phase === 'checking' || findAhead(state).length > 0;
  if (unsure || state.config.index === 0) {
    return { state, outputs: [] };
  }
  const behind = [...state.subscribers.values()].filter(({ sent }) => sent < state.config.index);
  if (behind.length === 0) {
    return { state, outputs: [] };
  }
  const subscribers = new Map(state.subscribers);
  const outputs = behind.flatMap(({ record, sent }) => {
    subscribers.set(record.id, { record, sent: state.config.index });
    return deltasSince(state, sent).map((delta): RolloutOutput => ({
      type: 'send',
      to: record.id,
      delta: filterDelta(record, delta),
    }));
  });
  return { state: { ...state, subscribers }, outputs };
}

function enter(state: RolloutState, phase: RolloutPhase): RolloutStep {
  if (state.phase === phase) {
    return { state, outputs: [] };
  }
  const pushed = push({ ...state, phase });
  return { ...pushed, outputs: [{ type: 'phase', phase }, ...pushed.outputs] };
}

/** Takes a configuration only if it is newer: the index served never goes back. */
function take(
  state: RolloutState,
  config: ConfigState,
  deltas: readonly ConfigDelta[],
): RolloutStep {
  return config.index > state.config.index
    ? push({ ...state, config, deltas })
    : { state, outputs: [] };
}

/** Asks those ahead for what they hold. */
function fetchAhead(state: RolloutState): readonly RolloutOutput[] {
  return findAhead(state).map((from) => ({ type: 'fetch', from }));
}

function onSubscribe(
  state: RolloutState,
  { record, held }: Extract<RolloutInput, { type: 'subscribe' }>,
): RolloutStep {
  const subscribers = new Map(state.subscribers).set(record.id, { record, sent: held });
  const pushed = push({ ...state, subscribers });
  return { ...pushed, outputs: [...pushed.outputs, ...fetchAhead(pushed.state)] };
}

function onTick(state: RolloutState, now: number): RolloutStep {
  const waited = state.phase === 'checking' && now - state.startedAt >= CHECK_MS;
  const step = waited ? enter(state, 'cutOff') : { state, outputs: [] };
  return { ...step, outputs: [...step.outputs, ...fetchAhead(step.state)] };
}

function onUnsubscribe(state: RolloutState, id: string): RolloutStep {
  const subscribers = new Map(state.subscribers);
  subscribers.delete(id);
  // If it was ahead and is gone, the others need no longer wait for what it held.
  return push({ ...state, subscribers });
}

function onGap(
  state: RolloutState,
  { id, held }: Extract<RolloutInput, { type: 'gap' }>,
): RolloutStep {
  const known = state.subscribers.get(id);
  return known === undefined
    ? { state, outputs: [] }
    : push({ ...state, subscribers: new Map(state.subscribers).set(id, { ...known, sent: held }) });
}

type Handlers = {
  readonly [T in RolloutInput['type']]: (
    state: RolloutState,
    input: Extract<RolloutInput, { type: T }>,
    now: number,
  ) => RolloutStep;
};

const HANDLERS: Handlers = {
  config: (state, { config, deltas }) => take(state, config, deltas),
  confirmed: (state) => enter(state, 'checked'),
  subscribe: onSubscribe,
  unsubscribe: (state, { id }) => onUnsubscribe(state, id),
  learned: (state, { config }) => take(state, config, []),
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
