/**
 * Specification of a group's lease: the log grants it with increasing tokens, holders freeze, resume and
 * crash, orders are delayed, and the gate in front of an engine restarts. The engine itself ignores tokens.
 */
import type { Safeguards, Spec, SpecEvent } from './SpecTypes.js';

interface Holder {
  /** Token under which it believes that it holds the lease; 0 for none. */
  readonly token: number;
  /** Whether its lease has expired by its own clock; it notices this only when it checks. */
  readonly expired: boolean;
}

interface State {
  /** Newest token granted by the log. */
  readonly granted: number;
  readonly holders: readonly Holder[];
  /** Tokens of the orders in flight to the gate. */
  readonly toGate: readonly number[];
  /** Tokens of the orders that the gate has forwarded and that are in flight to the engine. */
  readonly toEngine: readonly number[];
  /** Highest token that the gate has seen; -1 after a restart, until it has read the token again. */
  readonly highestToken: number;
  /** Highest token of the orders that the engine has executed. */
  readonly executedToken: number;
  readonly restarts: number;
  readonly violated: readonly string[];
}

interface Event extends SpecEvent {
  readonly i?: number;
  readonly token?: number;
}

/** Bounds of the exploration. */
export interface LeaseBounds {
  readonly grants: number;
  readonly restarts: number;
}

const SAFEGUARDS = [
  'grant only after the lease ran out',
  'compare tokens at the gate',
  'learn the token from a quorum after a restart',
  'wait out orders on their way to the engine',
] as const;

const HOLDERS = 2;

function setHolder(state: State, i: number, change: Partial<Holder>): State {
  return {
    ...state,
    holders: state.holders.map((current, j) => (j === i ? { ...current, ...change } : current)),
  };
}

function removeOne(tokens: readonly number[], token: number): readonly number[] {
  const at = tokens.indexOf(token);
  return tokens.filter((_token, i) => i !== at);
}

function add(tokens: readonly number[], token: number): readonly number[] {
  return [...new Set([...tokens, token])].sort((a, b) => a - b);
}

type Step = (state: State, event: Event, enabled: Safeguards) => State;

const STEPS: Readonly<Record<string, Step>> = {
  grant: (state, { i = 0 }) => {
    const token = state.granted + 1;
    // The log must never allow two holders whose leases are both valid by their own clocks.
    const overlaps = state.holders.some(
      (current, j) => j !== i && current.token > 0 && !current.expired,
    );
    const violated = overlaps
      ? [...state.violated, 'two holders whose leases both run']
      : state.violated;
    return { ...setHolder(state, i, { token, expired: false }), granted: token, violated };
  },
  expire: (state, { i = 0 }) => setHolder(state, i, { expired: true }),
  notice: (state, { i = 0 }) => setHolder(state, i, { token: 0 }),
  /** Its process ends and its host reports that: the lease is free, but orders it sent are still in flight. */
  end: (state, { i = 0 }) => setHolder(state, i, { token: 0, expired: false }),
  /** Sends an order. It may have checked its lease before it froze, so the lease may have expired since. */
  order: (state, { i = 0 }) => ({
    ...state,
    toGate: add(state.toGate, state.holders[i]?.token ?? 0),
  }),
  pass: (state, { token = 0 }, enabled) => {
    const stale = token < state.highestToken && enabled['compare tokens at the gate'] !== false;
    const toGate = removeOne(state.toGate, token);
    if (stale) {
      return { ...state, toGate };
    }
    return {
      ...state,
      toGate,
      toEngine: add(state.toEngine, token),
      highestToken: Math.max(state.highestToken, token),
    };
  },
  drop: (state, { token = 0 }) => ({ ...state, toEngine: removeOne(state.toEngine, token) }),
  carryOut: (state, { token = 0 }) => ({
    ...state,
    toEngine: removeOne(state.toEngine, token),
    executedToken: Math.max(state.executedToken, token),
    violated:
      token < state.executedToken
        ? [...state.violated, 'an old order was carried out after a newer one']
        : state.violated,
  }),
  restartGate: (state) => ({ ...state, highestToken: -1, restarts: state.restarts + 1 }),
  learn: (state) => ({ ...state, highestToken: Math.max(state.highestToken, state.granted) }),
};

function gateEvents(state: State, enabled: Safeguards): readonly Event[] {
  const knowsToken =
    state.highestToken >= 0 || enabled['learn the token from a quorum after a restart'] === false;
  // An order of a newer holder waits until no order of an older holder is still in flight to the engine.
  const mayPass = (token: number): boolean =>
    enabled['wait out orders on their way to the engine'] === false ||
    state.toEngine.every((other) => other >= token);
  return [
    ...(knowsToken
      ? state.toGate.filter(mayPass).map((token) => ({ type: 'pass', token }))
      : [{ type: 'learn' }]),
    ...state.toEngine.flatMap((token) => [
      { type: 'carryOut', token },
      { type: 'drop', token },
    ]),
  ];
}

function holderEvents(
  state: State,
  i: number,
  bounds: LeaseBounds,
  enabled: Safeguards,
): readonly Event[] {
  const { token, expired } = state.holders[i] ?? { token: 0, expired: false };
  const free = state.holders.every(
    (current, j) => j === i || current.token === 0 || current.expired,
  );
  const mayGrant = free || enabled['grant only after the lease ran out'] === false;
  return [
    ...(token === 0 && mayGrant && state.granted < bounds.grants ? [{ type: 'grant', i }] : []),
    ...(token > 0 && !expired ? [{ type: 'expire', i }] : []),
    ...(token > 0 && expired ? [{ type: 'notice', i }] : []),
    ...(token > 0 ? [{ type: 'end', i }] : []),
    ...(token > 0 && !state.toGate.includes(token) ? [{ type: 'order', i }] : []),
  ];
}

/** Makes the specification for the given bounds. */
export function makeLeaseSpec(bounds: LeaseBounds): Spec<State, Event> {
  return {
    name: 'lease, fencing and restart of the gate',
    bounds: JSON.stringify(bounds),
    safeguards: SAFEGUARDS,
    init: {
      granted: 0,
      holders: Array.from({ length: HOLDERS }, () => ({ token: 0, expired: false })),
      toGate: [],
      toEngine: [],
      highestToken: 0,
      executedToken: 0,
      restarts: 0,
      violated: [],
    },
    events: (state, enabled) => [
      ...state.holders.flatMap((_holder, i) => holderEvents(state, i, bounds, enabled)),
      ...gateEvents(state, enabled),
      ...(state.restarts < bounds.restarts ? [{ type: 'restartGate' }] : []),
    ],
    step: (state, event, enabled) => STEPS[event.type]?.(state, event, enabled) ?? state,
    violations: ({ violated }) => violated,
  };
}
