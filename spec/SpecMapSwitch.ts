/**
 * Specification of the switch of a group's expert map, which explores the program's own coordinator (`stepMapSwitch`).
 *
 * A few orders get no answer and may be carried out at any later time. The coordinator may get its lease again with the
 * same token, and another process, on any rank, may take over without the memory of the one before. The group may be
 * idle at any time, and begins a pass at any time unless a rank holds it.
 */
import { initMapSwitch, LOSSY_LEAD_PASSES, stepMapSwitch } from '../src/coordination/index.js';
import type { MapSwitchInput, MapSwitchState } from '../src/coordination/index.js';
import type { EngineOrder, RankReport } from '../src/protocol/index.js';
import type { Safeguards, Spec, SpecEvent } from './SpecTypes.js';

interface Rank {
  readonly version: number;
  /** Highest version that the rank has had. */
  readonly highest: number;
  readonly prepared: number | null;
  readonly armed: { readonly version: number; readonly step: number } | null;
  readonly held: number | null;
}

/** An order that got no answer, and the rank that it was sent to. */
interface LateOrder {
  readonly rank: number;
  readonly order: EngineOrder;
}

interface State {
  readonly step: number;
  readonly ranks: readonly Rank[];
  readonly coordinator: MapSwitchState;
  /** Last token that was granted. */
  readonly token: number;
  readonly late: readonly LateOrder[];
  /** How many more orders may be late, leases be granted, and changes be proposed. */
  readonly left: { readonly late: number; readonly grants: number; readonly proposals: number };
  readonly violated: readonly string[];
}

interface Event extends SpecEvent {
  /** Index of a late order, rank of the process that takes over, or last pass that the group begins. */
  readonly i?: number;
  /** Orders of a round that get no answer, by their position. */
  readonly unanswered?: readonly number[];
}

/** Bounds of the exploration. */
export interface MapSwitchBounds {
  readonly ranks: number;
  readonly proposals: number;
  readonly lateOrders: number;
  /** Leases that are granted after the first one. */
  readonly grants: number;
  /** Last pass that the group begins. */
  readonly lastPass: number;
}

/** Safeguards of the coordinator, which a mutant leaves out. */
export const MAP_SWITCH_SAFEGUARDS = {
  SKIP_USED_PASSES: 'hold at a pass that no order in flight names',
} as const;

const EPOCH = 1;

/** Maximum number of orders of a round of which some get no answer. */
const MAX_ORDERS = 4;

function reportOf({ ranks, step }: State, index: number): RankReport {
  const rank = ranks[index];
  return {
    group: 'g',
    epoch: EPOCH,
    rank: index,
    ranks: ranks.length,
    open: true,
    step,
    mapVersion: rank?.version ?? 0,
    prepared: rank?.prepared ?? null,
    armed: rank?.armed ?? null,
    copying: false,
    heldStep: rank?.held ?? null,
    active: 0,
    queued: 0,
    pace: 1,
  };
}

type OrderHandlers = {
  readonly [K in EngineOrder['kind']]: (
    rank: Rank,
    order: Extract<EngineOrder, { kind: K }>,
    step: number,
  ) => Rank;
};

const ORDER_HANDLERS: OrderHandlers = {
  prepare: (rank, { version }) =>
    version > rank.highest && rank.armed === null
      ? { ...rank, highest: version, prepared: version }
      : rank,
  arm: (rank, { version, step }, current) =>
    rank.prepared === version && step > current ? { ...rank, armed: { version, step } } : rank,
  disarm: (rank, { version }) =>
    rank.armed?.version === version ? { ...rank, armed: null } : rank,
  hold: (rank, { step }, current) =>
    step > current && rank.held === null ? { ...rank, held: step } : rank,
  release: (rank, { step }) => (rank.held === step ? { ...rank, held: null } : rank),
};

function carryOut(state: State, { rank, order }: LateOrder): State {
  const handler = ORDER_HANDLERS[order.kind] as (
    item: Rank,
    order: EngineOrder,
    step: number,
  ) => Rank;
  const ranks = state.ranks.map((item, i) =>
    i === rank ? handler(item, order, state.step) : item,
  );
  return { ...state, ranks };
}

/** The coordinator between two rounds: it may send orders again at any time, and each round brings all reports anew. */
function betweenRounds(coordinator: MapSwitchState): MapSwitchState {
  return {
    ...coordinator,
    reports: coordinator.reports.map(() => null),
    nextOrderAt: coordinator.nextOrderAt.map(() => null),
  };
}

interface Sent {
  readonly state: State;
  readonly orders: readonly LateOrder[];
}

/** Gives inputs to the coordinator; returns the orders that it sends. */
function input(state: State, inputs: readonly MapSwitchInput[]): Sent {
  return inputs.reduce<Sent>(
    (sent, item) => {
      const { state: coordinator, outputs } = stepMapSwitch(sent.state.coordinator, item, 0);
      const orders = outputs.flatMap((output) =>
        output.type === 'order' ? [{ rank: output.rank, order: output.order }] : [],
      );
      return { state: { ...sent.state, coordinator }, orders: [...sent.orders, ...orders] };
    },
    { state, orders: [] },
  );
}

/** A round: the coordinator gets a report of each rank, and sends the orders that are missing. */
function round(state: State): Sent {
  const inputs = state.ranks.map((_rank, i): MapSwitchInput => ({
    type: 'report',
    rank: i,
    report: reportOf(state, i),
    askedAt: 0,
  }));
  const sent = input(state, inputs);
  return {
    ...sent,
    state: { ...sent.state, coordinator: betweenRounds(sent.state.coordinator) },
  };
}

function grant(state: State, coordinator: MapSwitchState, token: number): State {
  const map = [state.ranks.map((_rank, i) => [i])];
  const left = { ...state.left, grants: state.left.grants - 1 };
  return input({ ...state, token, left, coordinator }, [
    { type: 'lost' },
    { type: 'gained', token },
    { type: 'mapInUse', map },
  ]).state;
}

/**
 * The pass up to which the group runs next. It stops only at passes that an order, a hold or the coordinator names and
 * right before them, since in between a pass is like any other.
 */
function nextStop({ ranks, step, late, coordinator }: State, lastPass: number): number {
  const named = [
    ...late.flatMap(({ order }) => ('step' in order ? [order.step] : [])),
    ...ranks.flatMap(({ held, armed }) => [held ?? 0, armed?.step ?? 0]),
    coordinator.step,
    coordinator.usedUpTo ?? 0,
  ];
  const stops = [...named, ...named.map((pass) => pass - 1), step + 1 + LOSSY_LEAD_PASSES];
  const held = ranks.flatMap((rank) => (rank.held === null ? [] : [rank.held - 1]));
  return Math.min(lastPass, ...stops.filter((pass) => pass > step), ...held);
}

/** Leaves out the safeguards that a mutant disables. */
function weaken(state: State, enabled: Safeguards): State {
  const { coordinator } = state;
  return enabled[MAP_SWITCH_SAFEGUARDS.SKIP_USED_PASSES] === false && coordinator.usedUpTo !== null
    ? { ...state, coordinator: { ...coordinator, usedUpTo: 0 } }
    : state;
}

type Step = (state: State, event: Event) => State;

const STEPS: Readonly<Record<string, Step>> = {
  round: (state, { unanswered = [] }) => {
    const sent = round(state);
    const late = sent.orders.filter((_order, i) => unanswered.includes(i));
    const carriedOut = sent.orders.filter((_order, i) => !unanswered.includes(i));
    return carriedOut.reduce(carryOut, {
      ...sent.state,
      late: [...state.late, ...late],
      left: { ...state.left, late: state.left.late - late.length },
    });
  },
  late: (state, { i = 0 }) => {
    const order = state.late[i];
    const late = state.late.filter((_order, j) => j !== i);
    return order === undefined ? state : carryOut({ ...state, late }, order);
  },
  propose: (state) => {
    const map = [state.ranks.map((_rank, i) => [i])];
    const left = { ...state.left, proposals: state.left.proposals - 1 };
    const { state: next } = input({ ...state, left }, [{ type: 'propose', map }]);
    // The next round sends the orders.
    return { ...next, coordinator: betweenRounds(next.coordinator) };
  },
  regain: (state) => grant(state, state.coordinator, state.token),
  takeOver: (state, { i = 0 }) =>
    grant(state, initMapSwitch(state.ranks.length, i), state.token + 1),
  run: (state, { i: step = state.step }) => {
    const ranks = state.ranks.map((rank) =>
      rank.armed !== null && rank.armed.step <= step
        ? { ...rank, version: rank.armed.version, prepared: null, armed: null }
        : rank,
    );
    const isMixed = new Set(ranks.map(({ version }) => version)).size > 1;
    return {
      ...state,
      step,
      ranks,
      violated: isMixed ? ['ranks used different maps in one pass'] : [],
    };
  },
};

/** The ways in which some of the orders of a round get no answer. */
function unansweredChoices(orders: number, most: number): readonly (readonly number[])[] {
  const positions = Array.from({ length: Math.min(orders, MAX_ORDERS) }, (_item, i) => i);
  return positions
    .reduce<readonly (readonly number[])[]>(
      (choices, i) => [...choices, ...choices.map((choice) => [...choice, i])],
      [[]],
    )
    .filter(({ length }) => length <= most);
}

/** Makes the specification for the given bounds and safeguards. */
export function makeMapSwitchSpec(
  bounds: MapSwitchBounds,
  safeguards: readonly string[] = [],
): Spec<State, Event> {
  const rank: Rank = { version: 0, highest: 0, prepared: null, armed: null, held: null };
  const start: State = {
    step: 0,
    ranks: Array.from({ length: bounds.ranks }, () => rank),
    coordinator: initMapSwitch(bounds.ranks, 0),
    token: 1,
    late: [],
    left: { late: bounds.lateOrders, grants: bounds.grants + 1, proposals: bounds.proposals },
    violated: [],
  };
  return {
    name: 'switch of the map of a group that may be idle',
    bounds: JSON.stringify(bounds),
    safeguards,
    init: grant(start, start.coordinator, 1),
    events: (state) => [
      ...unansweredChoices(round(state).orders.length, state.left.late).map((unanswered) => ({
        type: 'round',
        unanswered,
      })),
      ...state.late.map((_order, i) => ({ type: 'late', i })),
      ...(state.coordinator.phase === 'idle' && state.left.proposals > 0
        ? [{ type: 'propose' }]
        : []),
      ...(state.left.grants > 0 ? [{ type: 'regain' }] : []),
      ...(state.left.grants > 0 ? state.ranks.map((_rank, i) => ({ type: 'takeOver', i })) : []),
      ...(nextStop(state, bounds.lastPass) > state.step
        ? [{ type: 'run', i: nextStop(state, bounds.lastPass) }]
        : []),
    ],
    step: (state, event, enabled) => weaken(STEPS[event.type]?.(state, event) ?? state, enabled),
    violations: ({ violated }) => violated,
  };
}
