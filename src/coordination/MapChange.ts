/**
 * Change of a group's expert map: all ranks go over in the same step. Two phases over the ranks:
 * prepared and armed on all before the first hears `commit`; a rank that is armed runs no step from
 * the armed one on until it hears `commit` or `abort`.
 */

/** How long a rank may take to answer an order before it is sent again. In ms. */
export const ORDER_RETRY_MS = 500;

/** A rank that hasn't prepared or armed after this long ends the change. In ms. */
export const CHANGE_LIMIT_MS = 60_000;

/** Steps between arming and use: enough for the orders to arrive without holding up the group. */
export const ARM_AHEAD_STEPS = 32;

/** What a rank tells with each answer. */
export interface RankStatus {
  readonly version: number;
  readonly prepared: number | null;
  readonly armed: number | null;
  readonly armedStep: number | null;
  readonly committed: number | null;
  readonly step: number;
}

/** Kinds of orders to ranks. */
export type RankOrderKind = 'query' | 'prepare' | 'arm' | 'commit' | 'abort';

/** An order to a rank; the map itself goes along with `prepare`. */
export interface RankOrder {
  readonly kind: RankOrderKind;
  readonly token: number;
  readonly version: number;
  /** First step that may use the version; for `arm`. */
  readonly step: number;
}

/** Where a change stands. */
export type MapChangePhase =
  'idle' | 'learning' | 'ready' | 'preparing' | 'arming' | 'committing' | 'aborting';

/** What a coordinator knows. */
export interface MapChangeState {
  readonly ranks: number;
  readonly phase: MapChangePhase;
  readonly token: number;
  /** Version in use, or being taken into use. */
  readonly version: number;
  /**
   * Highest version ever proposed. A version is never used twice: a late answer to an aborted
   * attempt would else count for the next, and `commit` be sent though a rank isn't armed.
   */
  readonly attempted: number;
  readonly step: number;
  /** Last status of each rank in this phase; null for one that hasn't answered. */
  readonly answers: readonly (RankStatus | null)[];
  readonly startedAt: number;
  readonly sentAt: number;
}

/** What goes in. */
export type MapChangeInput =
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

/** What comes out. */
export type MapChangeOutput =
  | { readonly type: 'order'; readonly rank: number; readonly order: RankOrder }
  | { readonly type: 'ready'; readonly version: number }
  | { readonly type: 'changed'; readonly version: number }
  | { readonly type: 'aborted'; readonly version: number };

/** New state and outputs of a step. */
export interface MapChangeStep {
  readonly state: MapChangeState;
  readonly outputs: readonly MapChangeOutput[];
}

/** A coordinator without a lease. */
export function initMapChange(ranks: number): MapChangeState {
  return {
    ranks,
    phase: 'idle',
    token: 0,
    version: 0,
    attempted: 0,
    step: 0,
    answers: Array.from({ length: ranks }, () => null),
    startedAt: 0,
    sentAt: 0,
  };
}

const ORDER_OF: Readonly<Partial<Record<MapChangePhase, RankOrderKind>>> = {
  learning: 'query',
  preparing: 'prepare',
  arming: 'arm',
  committing: 'commit',
  aborting: 'abort',
};

/** Orders to the ranks that haven't answered in this phase. */
function orders(state: MapChangeState): readonly MapChangeOutput[] {
  const kind = ORDER_OF[state.phase];
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

function enter(state: MapChangeState, phase: MapChangePhase, now: number): MapChangeStep {
  const next: MapChangeState = {
    ...state,
    phase,
    answers: state.answers.map(() => null),
    sentAt: now,
  };
  return { state: next, outputs: orders(next) };
}

function known(state: MapChangeState): readonly RankStatus[] {
  return state.answers.filter((answer): answer is RankStatus => answer !== null);
}

/**
 * Goes on from what the ranks say.
 *
 * Failure: a coordinator dies between two messages, and its `commit` reached only some ranks.
 * Symptom: those use the new map, others would go back to the old one, and a step mixes both.
 * Enough: a new coordinator asks all ranks first, which also makes them refuse the old token; if any
 * has committed, all were armed, so all can be committed; if none has, nobody can any more.
 */
function afterLearning(state: MapChangeState, now: number): MapChangeStep {
  const all = known(state);
  const newest = Math.max(
    ...all.map(({ version, committed }) => Math.max(version, committed ?? 0)),
  );
  const open = Math.max(
    0,
    ...all.map(({ armed, prepared }) => Math.max(armed ?? 0, prepared ?? 0)),
  );
  const attempted = Math.max(newest, open);
  if (all.some(({ version }) => version < newest)) {
    return enter({ ...state, attempted, version: newest }, 'committing', now);
  }
  if (open > newest) {
    const allArmed = all.every(({ armed }) => armed === open);
    const phase = allArmed ? 'committing' : 'aborting';
    return enter({ ...state, attempted, version: open }, phase, now);
  }
  return {
    state: { ...state, phase: 'ready', attempted, version: newest },
    outputs: [{ type: 'ready', version: newest }],
  };
}

function afterPreparing(state: MapChangeState, now: number): MapChangeStep {
  const step = Math.max(...known(state).map((status) => status.step)) + ARM_AHEAD_STEPS;
  return enter({ ...state, step }, 'arming', now);
}

type After = (state: MapChangeState, now: number) => MapChangeStep;

/** What follows once all ranks have answered. */
const AFTER: Readonly<Partial<Record<MapChangePhase, After>>> = {
  learning: afterLearning,
  preparing: afterPreparing,
  arming: (state, now) => enter(state, 'committing', now),
  committing: (state) => ({
    state: { ...state, phase: 'ready' },
    outputs: [{ type: 'changed', version: state.version }],
  }),
  aborting: (state) => ({
    state: { ...state, phase: 'ready', version: Math.min(...known(state).map((s) => s.version)) },
    outputs: [{ type: 'aborted', version: state.version }],
  }),
};

function onAnswer(
  state: MapChangeState,
  input: Extract<MapChangeInput, { type: 'answer' }>,
  now: number,
): MapChangeStep {
  const { rank, token, kind, accepted, status } = input;
  // Answers to orders of an earlier phase or an earlier coordinator say nothing about this one.
  if (token !== state.token || kind !== ORDER_OF[state.phase]) {
    return { state, outputs: [] };
  }
  if (!accepted && (state.phase === 'preparing' || state.phase === 'arming')) {
    return enter(state, 'aborting', now);
  }
  const done = accepted || (state.phase === 'committing' && status.version >= state.version);
  if (!done) {
    return { state, outputs: [] };
  }
  const answers = state.answers.map((answer, i) => (i === rank ? status : answer));
  const next = { ...state, answers };
  return answers.includes(null)
    ? { state: next, outputs: [] }
    : (AFTER[state.phase]?.(next, now) ?? { state: next, outputs: [] });
}

/** A rank that dies before all are armed leaves the old map in force; after that, all must commit. */
function onTick(state: MapChangeState, now: number): MapChangeStep {
  const early = state.phase === 'preparing' || state.phase === 'arming';
  if (early && now - state.startedAt > CHANGE_LIMIT_MS) {
    return enter(state, 'aborting', now);
  }
  return now - state.sentAt >= ORDER_RETRY_MS
    ? { state: { ...state, sentAt: now }, outputs: orders(state) }
    : { state, outputs: [] };
}

type Handlers = {
  readonly [T in MapChangeInput['type']]: (
    state: MapChangeState,
    input: Extract<MapChangeInput, { type: T }>,
    now: number,
  ) => MapChangeStep;
};

const HANDLERS: Handlers = {
  gained: (state, { token }, now) => enter({ ...state, token }, 'learning', now),
  lost: (state) => ({ state: { ...state, phase: 'idle' }, outputs: [] }),
  propose: (state, _input, now) =>
    state.phase === 'ready'
      ? enter(
          {
            ...state,
            version: state.attempted + 1,
            attempted: state.attempted + 1,
            startedAt: now,
          },
          'preparing',
          now,
        )
      : { state, outputs: [] },
  answer: onAnswer,
  tick: (state, _input, now) => onTick(state, now),
};

/** One step of a coordinator. */
export function stepMapChange(
  state: MapChangeState,
  input: MapChangeInput,
  now: number,
): MapChangeStep {
  const handler = HANDLERS[input.type] as (
    state: MapChangeState,
    input: MapChangeInput,
    now: number,
  ) => MapChangeStep;
  return handler(state, input, now);
}
