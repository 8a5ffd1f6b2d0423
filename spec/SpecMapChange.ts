/**
 * Specification of a map change over the ranks of a group, by a coordinator and a second one that
 * replaces it while the first is still running.
 *
 * An order that was sent may arrive at any later time, any number of times, or never; so may an answer.
 * Ranks are interchangeable, so states that differ only in the order of ranks count as one.
 */
import type { Safeguards, Spec, SpecEvent } from './SpecTypes.js';

/** State of a rank. Names are short since states serve as keys. */
interface Rank {
  /** Highest token seen. */
  readonly h: number;
  /** Map version in use `v`, and the prepared `p`, armed `a` and committed `c` version, each 0 for none. */
  readonly v: number;
  readonly p: number;
  readonly a: number;
  readonly c: number;
  /** Answers sent, `kind.token.version`; the answer to a query lists `v`, `p`, `a` and `c` instead of the version. */
  readonly answers: readonly string[];
}

interface Coordinator {
  readonly phase: string;
  readonly version: number;
  readonly attempted: number;
}

interface State {
  readonly ranks: readonly Rank[];
  readonly coordinators: readonly Coordinator[];
  /** Orders sent, `kind.token.version`. */
  readonly sent: readonly string[];
  /** Versions whose armed step has been reached. */
  readonly reached: readonly number[];
  readonly violated: readonly string[];
}

interface Event extends SpecEvent {
  readonly i?: number;
  readonly order?: string;
  readonly version?: number;
}

/** Bounds of the exploration. */
export interface MapChangeBounds {
  readonly ranks: number;
  /** Changes that the first and the second coordinator may propose. */
  readonly proposals: readonly [number, number];
}

const SAFEGUARDS = [
  'commit only once all are armed',
  'an armed rank waits rather than guesses',
  'refuse old tokens',
  'learn from all ranks before acting',
  'a new version for each attempt',
  'abort only the version named',
] as const;

const FIRST_VERSION = 1;

/** Kind of order that each phase sends. */
const ORDER_KINDS: Readonly<Record<string, string>> = {
  learning: 'q',
  preparing: 'p',
  arming: 'a',
  committing: 'c',
  aborting: 'b',
};

function sortRanks(ranks: readonly Rank[]): readonly Rank[] {
  return ranks
    .map((rank) => ({ rank, key: JSON.stringify(rank) }))
    .sort((a, b) => (a.key < b.key ? -1 : 1))
    .map(({ rank }) => rank);
}

function insertSorted<T>(items: readonly T[], item: T): readonly T[] {
  return items.includes(item) ? items : [...items, item].sort((a, b) => (a < b ? -1 : 1));
}

function enterPhase(state: State, i: number, change: Partial<Coordinator>): State {
  const coordinators = state.coordinators.map((current, j) =>
    j === i ? { ...current, ...change } : current,
  );
  const { phase, version } = coordinators[i] ?? { phase: '', version: 0 };
  const kind = ORDER_KINDS[phase];
  const sent =
    kind === undefined ? state.sent : insertSorted(state.sent, `${kind}.${i + 1}.${version}`);
  return { ...state, coordinators, sent };
}

/** State of a rank after an order; null if it refuses the order. */
function applyOrder(rank: Rank, kind: string, version: number, enabled: Safeguards): Rank | null {
  const rules: Readonly<Record<string, () => Rank | null>> = {
    q: () => rank,
    p: () => (rank.a === 0 && version > rank.v ? { ...rank, p: version } : null),
    a: () => (rank.p === version ? { ...rank, a: version } : null),
    c: () => {
      if (rank.v === version) {
        return rank;
      }
      return rank.a === version ? { ...rank, c: version } : null;
    },
    b: () => {
      if (rank.c === version || rank.v >= version) {
        return null;
      }
      // Drops only the version that is named: an older one may be committed and not yet in use.
      const other = rank.p !== version && enabled['abort only the version named'] !== false;
      return other ? rank : { ...rank, p: 0, a: 0 };
    },
  };
  return rules[kind]?.() ?? null;
}

function answerOf(rank: Rank, kind: string, token: number, version: number): string {
  return kind === 'q'
    ? `q.${token}.${rank.v}.${rank.p}.${rank.a}.${rank.c}`
    : `${kind}.${token}.${version}`;
}

interface RankState {
  readonly v: number;
  readonly p: number;
  readonly a: number;
  readonly c: number;
}

/** Each rank's first answer to a query; null while one is missing. */
function queryAnswers(state: State, token: number): readonly RankState[] | null {
  const reports = state.ranks.map(({ answers }) =>
    answers.find((text) => text.startsWith(`q.${token}.`)),
  );
  if (reports.includes(undefined)) {
    return null;
  }
  return reports.map((text) => {
    const [v = 0, p = 0, a = 0, c = 0] = (text ?? '').split('.').slice(2).map(Number);
    return { v, p, a, c };
  });
}

function decideAfterQuery(state: State, i: number, reports: readonly RankState[]): State {
  const newest = Math.max(...reports.map(({ v, c }) => Math.max(v, c)));
  const pending = Math.max(...reports.map(({ p, a }) => Math.max(p, a)));
  const attempted = Math.max(newest, pending);
  if (reports.some(({ v }) => v < newest)) {
    return enterPhase(state, i, { phase: 'committing', version: newest, attempted });
  }
  if (pending > newest) {
    const phase = reports.every(({ a }) => a === pending) ? 'committing' : 'aborting';
    return enterPhase(state, i, { phase, version: pending, attempted });
  }
  return enterPhase(state, i, { phase: 'ready', version: newest, attempted });
}

type Step = (state: State, event: Event, enabled: Safeguards) => State;

const STEPS: Readonly<Record<string, Step>> = {
  replace: (state) => enterPhase(state, 1, { phase: 'learning' }),
  /** Mutant: aborts before all ranks have answered the query. */
  learnSome: (state) => enterPhase(state, 1, { phase: 'aborting', version: FIRST_VERSION + 1 }),
  propose: (state, { i = 0 }, enabled) => {
    const { attempted, version } = state.coordinators[i] ?? { attempted: 0, version: 0 };
    const next = (enabled['a new version for each attempt'] === false ? version : attempted) + 1;
    return enterPhase(state, i, { phase: 'preparing', version: next, attempted: next });
  },
  giveUp: (state, { i = 0 }) => enterPhase(state, i, { phase: 'aborting' }),
  advance: (state, { i = 0 }, enabled) => {
    const { phase, version } = state.coordinators[i] ?? { phase: '', version: 0 };
    const reports = phase === 'learning' ? queryAnswers(state, i + 1) : null;
    if (reports !== null) {
      return decideAfterQuery(state, i, reports);
    }
    const commitsEarly = enabled['commit only once all are armed'] === false;
    const next: Readonly<Record<string, Partial<Coordinator>>> = {
      preparing: { phase: 'arming' },
      arming: { phase: 'committing' },
      committing: { phase: 'ready' },
      aborting: { phase: 'ready', version: Math.min(...state.ranks.map(({ v }) => v)) },
    };
    const armed = enterPhase(state, i, next[phase] ?? {});
    return commitsEarly && phase === 'preparing'
      ? enterPhase(armed, i, { phase: 'committing', version })
      : armed;
  },
  deliver: (state, { i = 0, order = '' }, enabled) => {
    const [kind = '', token = 0, version = 0] = order
      .split('.')
      .map((part, j) => (j === 0 ? part : Number(part))) as [string, number, number];
    const rank = state.ranks[i];
    const stale = rank === undefined || (token < rank.h && enabled['refuse old tokens'] !== false);
    const applied = stale ? null : applyOrder(rank, kind, version, enabled);
    if (applied === null) {
      return state;
    }
    const next: Rank = {
      ...applied,
      h: Math.max(applied.h, token),
      answers: insertSorted(applied.answers, answerOf(applied, kind, token, version)),
    };
    return {
      ...state,
      ranks: sortRanks(state.ranks.map((current, j) => (j === i ? next : current))),
    };
  },
  reach: (state, { version = 0 }) => ({ ...state, reached: insertSorted(state.reached, version) }),
  /** One step of the group: ranks that know of the commit switch to the new version once its step is reached. */
  step: (state) => {
    const ranks = state.ranks.map((rank) =>
      rank.a !== 0 && rank.c === rank.a && state.reached.includes(rank.a)
        ? { ...rank, v: rank.a, p: 0, a: 0 }
        : rank,
    );
    const mixed = new Set(ranks.map(({ v }) => v)).size > 1;
    return {
      ...state,
      ranks: sortRanks(ranks),
      violated: mixed ? ['ranks used different maps in one step'] : [],
    };
  },
};

function countSent(state: State, i: number, kind: string): number {
  return state.sent.filter((order) => order.startsWith(`${kind}.${i + 1}.`)).length;
}

function coordinatorEvents(
  state: State,
  i: number,
  bounds: MapChangeBounds,
  enabled: Safeguards,
): readonly Event[] {
  const { phase, version } = state.coordinators[i] ?? { phase: 'idle', version: 0 };
  const kind = ORDER_KINDS[phase];
  const answered =
    phase === 'learning'
      ? queryAnswers(state, i + 1) !== null
      : state.ranks.every(({ answers }) => answers.includes(`${kind ?? ''}.${i + 1}.${version}`));
  const proposed = countSent(state, i, 'p');
  const mayAbort = phase === 'preparing' || phase === 'arming';
  const mayActEarly =
    phase === 'learning' && enabled['learn from all ranks before acting'] === false;
  return [
    ...(phase === 'ready' && proposed < (bounds.proposals[i] ?? 0) ? [{ type: 'propose', i }] : []),
    ...(kind !== undefined && answered ? [{ type: 'advance', i }] : []),
    ...(mayAbort ? [{ type: 'giveUp', i }] : []),
    ...(mayActEarly ? [{ type: 'learnSome' }] : []),
  ];
}

function mayStep(state: State, enabled: Safeguards): boolean {
  const hasWaitingRank = state.ranks.some(
    ({ a, c }) => a !== 0 && c !== a && state.reached.includes(a),
  );
  return !hasWaitingRank || enabled['an armed rank waits rather than guesses'] === false;
}

/** Makes the specification for the given bounds and safeguards. */
export function makeMapChangeSpec(
  bounds: MapChangeBounds,
  safeguards: readonly string[] = SAFEGUARDS,
): Spec<State, Event> {
  const rank: Rank = { h: 1, v: FIRST_VERSION, p: 0, a: 0, c: 0, answers: [] };
  return {
    name: 'map change over the ranks of a group',
    bounds: JSON.stringify(bounds),
    safeguards,
    init: {
      ranks: Array.from({ length: bounds.ranks }, () => rank),
      coordinators: [
        { phase: 'ready', version: FIRST_VERSION, attempted: FIRST_VERSION },
        { phase: 'idle', version: 0, attempted: 0 },
      ],
      sent: [],
      reached: [],
      violated: [],
    },
    events: (state, enabled) => [
      ...(state.coordinators[1]?.phase === 'idle' ? [{ type: 'replace' }] : []),
      ...state.coordinators.flatMap((_known, i) => coordinatorEvents(state, i, bounds, enabled)),
      ...state.ranks.flatMap((_rank, i) =>
        state.sent.map((order) => ({ type: 'deliver', i, order })),
      ),
      ...state.ranks
        .filter(({ a }) => a !== 0 && !state.reached.includes(a))
        .map(({ a }) => ({ type: 'reach', version: a })),
      ...(mayStep(state, enabled) ? [{ type: 'step' }] : []),
    ],
    step: (state, event, enabled) => STEPS[event.type]?.(state, event, enabled) ?? state,
    violations: ({ violated }) => violated,
  };
}
