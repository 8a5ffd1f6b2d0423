/**
 * Two-phase commit of a group's expert map: all ranks switch before the same step. Every rank is prepared and
 * armed before `commit` is sent to the first one; an armed rank runs no step from the armed one on until it
 * receives `commit` or `abort`.
 */

/** Time without an answer after which an order is sent again, ms. */
export const ORDER_RETRY_MS = 500;

/** Time after which a change is aborted if not all ranks are prepared and armed, ms. */
export const CHANGE_TIMEOUT_MS = 60_000;

/** Steps between arming and use of a map: enough for the orders to arrive without blocking the group. */
export const ARM_AHEAD_STEPS = 32;

/** Status that a rank reports with each answer. */
export interface RankStatus {
  readonly version: number;
  readonly prepared: number | null;
  readonly armed: number | null;
  readonly armedStep: number | null;
  readonly committed: number | null;
  readonly step: number;
}

/** Kinds of orders to a rank. */
export type RankOrderKind = 'query' | 'prepare' | 'arm' | 'commit' | 'abort';

/** An order to a rank; `prepare` is sent together with the map itself. */
export interface RankOrder {
  readonly kind: RankOrderKind;
  readonly token: number;
  readonly version: number;
  /** First step that may use the version; only meaningful for `arm`. */
  readonly step: number;
}

/** Phase of a change. */
export type MapCommitPhase =
  'idle' | 'learning' | 'ready' | 'preparing' | 'arming' | 'committing' | 'aborting';

/** State of a coordinator. */
export interface MapCommitState {
  readonly ranks: number;
  readonly phase: MapCommitPhase;
  readonly token: number;
  /** Version in use, or being introduced. */
  readonly version: number;
  /**
   * Highest version ever proposed. No version is used twice: otherwise a late answer to an aborted attempt would
   * count for the next one, and `commit` be sent although a rank isn't armed.
   */
  readonly highestProposed: number;
  /** First step that may use the version. */
  readonly step: number;
  /** Latest status of each rank in this phase; null for a rank that hasn't answered. */
  readonly answers: readonly (RankStatus | null)[];
  /** When the version was proposed, and when orders were last sent, ms. */
  readonly startedAt: number;
  readonly sentAt: number;
}

/** Inputs of a coordinator. */
export type MapCommitInput =
  | { readonly type: 'gained'; readonly token: number }
  | { readonly type: 'lost' }
  | { readonly type: 'propose' }
  | {
      readonly type: 'answer';
      readonly rank: number;
      readonly token: number;
      readonly kind: RankOrderKind;
      readonly accepted: boolean;
      readonly status: RankStatus;
    }
  | { readonly type: 'tick' };

/** Outputs of a coordinator. */
export type MapCommitOutput =
  | { readonly type: 'order'; readonly rank: number; readonly order: RankOrder }
  | { readonly type: 'ready'; readonly version: number }
  | { readonly type: 'changed'; readonly version: number }
  | { readonly type: 'aborted'; readonly version: number };

/** New state and outputs after an input. */
export interface MapCommitStep {
  readonly state: MapCommitState;
  readonly outputs: readonly MapCommitOutput[];
}

/** State of a coordinator without a lease. */
export function initMapCommit(ranks: number): MapCommitState {
  return {
    ranks,
    phase: 'idle',
    token: 0,
    version: 0,
    highestProposed: 0,
    step: 0,
    answers: Array.from({ length: ranks }, () => null),
    startedAt: 0,
    sentAt: 0,
  };
}

const ORDER_KIND_BY_PHASE: Readonly<Partial<Record<MapCommitPhase, RankOrderKind>>> = {
  learning: 'query',
  preparing: 'prepare',
  arming: 'arm',
  committing: 'commit',
  aborting: 'abort',
};

/** Orders to the ranks that haven't answered in this phase. */
function pendingOrders(state: MapCommitState): readonly MapCommitOutput[] {
  const kind = ORDER_KIND_BY_PHASE[state.phase];
  if (kind === undefined) {
    return [];
  }
  const order: RankOrder = {
    kind,
    token: state.token,
    version: state.version,
    step: state.step,
  };
  return state.answers.flatMap((answer, rank) =>
    answer === null ? [{ type: 'order', rank, order }] : [],
  );
}

function enterPhase(state: MapCommitState, phase: MapCommitPhase, now: number): MapCommitStep {
  const next: MapCommitState = {
    ...state,
    phase,
    answers: state.answers.map(() => null),
    sentAt: now,
  };
  return { state: next, outputs: pendingOrders(next) };
}

function receivedStatuses(state: MapCommitState): readonly RankStatus[] {
  return state.answers.filter((answer): answer is RankStatus => answer !== null);
}

/**
 * Completes or aborts the unfinished change of a predecessor, from the status of all ranks.
 *
 * If a coordinator crashes and its `commit` reached only some ranks, those use the new map; if the others returned
 * to the old one, a step would mix both. So a new coordinator first queries all ranks, which also makes them
 * refuse the old token. If any rank has committed, all were armed, so all can be committed; if none has, none can
 * any more.
 */
function recoverChange(state: MapCommitState, now: number): MapCommitStep {
  const all = receivedStatuses(state);
  const newest = Math.max(
    ...all.map(({ version, committed }) => Math.max(version, committed ?? 0)),
  );
  const unfinished = Math.max(
    0,
    ...all.map(({ armed, prepared }) => Math.max(armed ?? 0, prepared ?? 0)),
  );
  const highestProposed = Math.max(newest, unfinished);
  if (all.some(({ version }) => version < newest)) {
    return enterPhase({ ...state, highestProposed, version: newest }, 'committing', now);
  }
  if (unfinished > newest) {
    const allArmed = all.every(({ armed }) => armed === unfinished);
    const phase = allArmed ? 'committing' : 'aborting';
    return enterPhase({ ...state, highestProposed, version: unfinished }, phase, now);
  }
  return {
    state: { ...state, phase: 'ready', highestProposed, version: newest },
    outputs: [{ type: 'ready', version: newest }],
  };
}

function chooseArmStep(state: MapCommitState, now: number): MapCommitStep {
  const step = Math.max(...receivedStatuses(state).map((status) => status.step)) + ARM_AHEAD_STEPS;
  return enterPhase({ ...state, step }, 'arming', now);
}

type PhaseCompletion = (state: MapCommitState, now: number) => MapCommitStep;

/** Completion of each phase, once all ranks have answered. */
const COMPLETE_PHASE: Readonly<Partial<Record<MapCommitPhase, PhaseCompletion>>> = {
  learning: recoverChange,
  preparing: chooseArmStep,
  arming: (state, now) => enterPhase(state, 'committing', now),
  committing: (state) => ({
    state: { ...state, phase: 'ready' },
    outputs: [{ type: 'changed', version: state.version }],
  }),
  aborting: (state) => ({
    state: {
      ...state,
      phase: 'ready',
      version: Math.min(...receivedStatuses(state).map((s) => s.version)),
    },
    outputs: [{ type: 'aborted', version: state.version }],
  }),
};

function onAnswer(
  state: MapCommitState,
  input: Extract<MapCommitInput, { type: 'answer' }>,
  now: number,
): MapCommitStep {
  const { rank, token, kind, accepted, status } = input;
  // Answers to orders of an earlier phase or an earlier coordinator are ignored.
  if (token !== state.token || kind !== ORDER_KIND_BY_PHASE[state.phase]) {
    return { state, outputs: [] };
  }
  if (!accepted && (state.phase === 'preparing' || state.phase === 'arming')) {
    return enterPhase(state, 'aborting', now);
  }
  const done = accepted || (state.phase === 'committing' && status.version >= state.version);
  if (!done) {
    return { state, outputs: [] };
  }
  const answers = state.answers.map((answer, i) => (i === rank ? status : answer));
  const next = { ...state, answers };
  return answers.includes(null)
    ? { state: next, outputs: [] }
    : (COMPLETE_PHASE[state.phase]?.(next, now) ?? { state: next, outputs: [] });
}

/**
 * Sends unanswered orders again. If not all ranks are armed in time, the change is aborted and the old map stays
 * in use; after that, all ranks must commit.
 */
function onTick(state: MapCommitState, now: number): MapCommitStep {
  const mayAbort = state.phase === 'preparing' || state.phase === 'arming';
  if (mayAbort && now - state.startedAt > CHANGE_TIMEOUT_MS) {
    return enterPhase(state, 'aborting', now);
  }
  return now - state.sentAt >= ORDER_RETRY_MS
    ? { state: { ...state, sentAt: now }, outputs: pendingOrders(state) }
    : { state, outputs: [] };
}

type Handlers = {
  readonly [T in MapCommitInput['type']]: (
    state: MapCommitState,
    input: Extract<MapCommitInput, { type: T }>,
    now: number,
  ) => MapCommitStep;
};

const HANDLERS: Handlers = {
  gained: (state, { token }, now) => enterPhase({ ...state, token }, 'learning', now),
  lost: (state) => ({ state: { ...state, phase: 'idle' }, outputs: [] }),
  propose: (state, _input, now) =>
    state.phase === 'ready'
      ? enterPhase(
          {
            ...state,
            version: state.highestProposed + 1,
            highestProposed: state.highestProposed + 1,
            startedAt: now,
          },
          'preparing',
          now,
        )
      : { state, outputs: [] },
  answer: onAnswer,
  tick: (state, _input, now) => onTick(state, now),
};

/** Applies an input to the state of a coordinator. */
export function stepMapCommit(
  state: MapCommitState,
  input: MapCommitInput,
  now: number,
): MapCommitStep {
  const handler = HANDLERS[input.type] as (
    state: MapCommitState,
    input: MapCommitInput,
    now: number,
  ) => MapCommitStep;
  return handler(state, input, now);
}
