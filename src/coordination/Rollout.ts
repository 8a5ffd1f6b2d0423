/**
 * Rollout of the configuration from a control process to the processes attached to it. Each is sent deltas
 * from the index that it holds, or a snapshot, with only the entries that concern it.
 */
import type { ConfigDelta, ConfigEntries, MemberRecord } from '../protocol/index.js';
import { deltasSince, type ConfigState } from '../state/index.js';

/**
 * How long a restarted control process waits for a leader to confirm its configuration before it serves what
 * it holds. In ms.
 */
export const CONFIRM_TIMEOUT_MS = 2_000;

/**
 * Phase of a control process since its start: its configuration is not confirmed yet (`checking`), confirmed
 * by a quorum (`checked`), or was not confirmed within {@link CONFIRM_TIMEOUT_MS} (`cutOff`).
 */
export type RolloutPhase = 'checking' | 'checked' | 'cutOff';

/** Configuration that a control process serves, and what each subscriber has been sent. */
export interface RolloutState {
  readonly phase: RolloutPhase;
  /** Start time of the control process, ms. */
  readonly startedAt: number;
  /**
   * Newest configuration known: from the log, or in a partitioned availability zone from an attached process.
   */
  readonly config: ConfigState;
  /** Newest deltas, oldest first, without gaps up to `config`. */
  readonly deltas: readonly ConfigDelta[];
  readonly subscribers: ReadonlyMap<
    string,
    { readonly record: MemberRecord; readonly sentIndex: number }
  >;
}

/** Inputs of the rollout. */
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
  /** An attached process has sent a newer configuration than this control process holds. */
  | { readonly type: 'learned'; readonly config: ConfigState }
  /** An attached process has a gap in its deltas. */
  | { readonly type: 'gap'; readonly id: string; readonly held: number }
  | { readonly type: 'tick' };

/** Outputs of the rollout. */
export type RolloutOutput =
  | { readonly type: 'send'; readonly to: string; readonly delta: ConfigDelta }
  /** Request the newer configuration that process `from` holds. */
  | { readonly type: 'fetch'; readonly from: string }
  | { readonly type: 'phase'; readonly phase: RolloutPhase };

/** New state and outputs of a step. */
export interface RolloutStep {
  readonly state: RolloutState;
  readonly outputs: readonly RolloutOutput[];
}

/** Initial state of a control process. */
export function initRollout(now: number): RolloutState {
  return {
    phase: 'checking',
    startedAt: now,
    config: { index: 0, entries: {} },
    deltas: [],
    subscribers: new Map(),
  };
}

/** Whether an entry concerns a process: an endpoint needs only its own service. */
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

/**
 * Entry processes with a newer configuration than this control process. Endpoints are left out, since they
 * hold only a part.
 */
function findNewerHolders({ subscribers, config }: RolloutState): readonly string[] {
  return [...subscribers.values()]
    .filter(({ record, sentIndex }) => record.role === 'entry' && sentIndex > config.index)
    .map(({ record }) => record.id);
}

/**
 * Sends all attached processes what they lack, unless the configuration held here is unconfirmed or a
 * subscriber has a newer one that is being fetched: a process that restarts would otherwise get the older one
 * while another process in the zone uses the newer one.
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

/** Adopts a configuration only if it is newer, so that the index served never goes back. */
function adoptConfig(
  state: RolloutState,
  config: ConfigState,
  deltas: readonly ConfigDelta[],
): RolloutStep {
  return config.index > state.config.index
    ? pushUpdates({ ...state, config, deltas })
    : { state, outputs: [] };
}

/** Requests the configuration from the subscribers with a newer one. */
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
  // If it had a newer configuration, the others need no longer wait for that.
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
 * Applies one input to the rollout.
 *
 * The configuration on the disk of a control process that restarts may be hundreds of changes old, and
 * processes that attach to it must not get it. It serves no process until a quorum has confirmed its log.
 * Without a quorum, it first waits for the attached processes to report what they hold, and serves the newest
 * configuration among theirs and its own.
 */
export function stepRollout(state: RolloutState, input: RolloutInput, now: number): RolloutStep {
  const handler = HANDLERS[input.type] as (
    state: RolloutState,
    input: RolloutInput,
    now: number,
  ) => RolloutStep;
  return handler(state, input, now);
}
