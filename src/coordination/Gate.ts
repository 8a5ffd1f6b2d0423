/**
 * The gate in front of an engine: decides which attempts are started. An attempt that it has reported
 * as revoked is never started.
 */
import { Map as ImmutableMap } from 'immutable';
import type { ErrorCode } from '../protocol/index.js';

/** How long ended and revoked attempts are remembered, ms: longer than any message can be delayed. */
export const CLOSED_ATTEMPT_TTL_MS = 120_000;

/** Key of an attempt; contains the request's id, which includes the entry process's incarnation. */
export type AttemptKey = string;

/** State of a gate. */
export interface GateState {
  readonly incarnation: number;
  readonly phase: 'starting' | 'serving' | 'leaving';
  /** Attempts that have started and not ended; `startedAt` in ms. */
  readonly running: ImmutableMap<
    AttemptKey,
    { readonly customer: string; readonly startedAt: number }
  >;
  /** Attempts that have ended or were revoked, and when, ms. */
  readonly closed: ImmutableMap<
    AttemptKey,
    { readonly reason: 'ended' | 'revoked'; readonly at: number }
  >;
}

/** Inputs. */
export type GateInput =
  | {
      readonly type: 'attempt';
      readonly key: AttemptKey;
      /** The endpoint's incarnation that the sender addresses. */
      readonly target: number;
      readonly customer: string;
    }
  | { readonly type: 'ended'; readonly key: AttemptKey }
  | { readonly type: 'revoke'; readonly key: AttemptKey; readonly target: number }
  | { readonly type: 'ready' }
  | { readonly type: 'leave' }
  | { readonly type: 'tick' };

/** Actions for the caller of the state machine. */
export type GateOutput =
  | { readonly type: 'start'; readonly key: AttemptKey }
  | { readonly type: 'refuse'; readonly key: AttemptKey; readonly code: ErrorCode }
  | { readonly type: 'revoked'; readonly key: AttemptKey; readonly state: 'revoked' | 'started' }
  | { readonly type: 'drained' };

/** New state and outputs after an input. */
export interface GateStep {
  readonly state: GateState;
  readonly outputs: readonly GateOutput[];
}

/** Initial state: the gate has not received its configuration and refuses attempts. */
export function initGate(incarnation: number): GateState {
  return { incarnation, phase: 'starting', running: ImmutableMap(), closed: ImmutableMap() };
}

function findRefusal(
  state: GateState,
  { key, target }: Extract<GateInput, { type: 'attempt' }>,
): ErrorCode | null {
  if (target !== state.incarnation) {
    return 'wrong_incarnation';
  }
  // A duplicate, or an attempt that was revoked: starting it could run a call twice.
  if (state.running.has(key) || state.closed.has(key)) {
    return 'revoked';
  }
  if (state.phase === 'starting') {
    return 'not_ready';
  }
  return state.phase === 'leaving' ? 'leaving' : null;
}

function onAttempt(
  state: GateState,
  input: Extract<GateInput, { type: 'attempt' }>,
  now: number,
): GateStep {
  const { key, customer } = input;
  const code = findRefusal(state, input);
  if (code !== null) {
    return { state, outputs: [{ type: 'refuse', key, code }] };
  }
  const running = state.running.set(key, { customer, startedAt: now });
  return { state: { ...state, running }, outputs: [{ type: 'start', key }] };
}

function outputIfDrained(state: GateState): readonly GateOutput[] {
  return state.phase === 'leaving' && state.running.size === 0 ? [{ type: 'drained' }] : [];
}

function onEnded(state: GateState, key: AttemptKey, now: number): GateStep {
  const next: GateState = {
    ...state,
    running: state.running.delete(key),
    closed: state.closed.set(key, { reason: 'ended', at: now }),
  };
  return { state: next, outputs: outputIfDrained(next) };
}

/**
 * Revokes an attempt.
 *
 * An attempt can still be in a socket buffer when its sender gives it up. If it were read and run later,
 * although the caller was told that it was not run, the caller's retry would run the call twice. So the
 * key is closed before the reply is sent, and a closed key is never started. A restarted gate can't know
 * what its predecessor ran, so it confirms revocations only for its own incarnation.
 */
function onRevoke(
  state: GateState,
  { key, target }: Extract<GateInput, { type: 'revoke' }>,
  now: number,
): GateStep {
  const known = state.closed.get(key);
  const mayHaveStarted =
    target !== state.incarnation || state.running.has(key) || known?.reason === 'ended';
  if (mayHaveStarted) {
    return { state, outputs: [{ type: 'revoked', key, state: 'started' }] };
  }
  const closed = state.closed.set(key, { reason: 'revoked', at: now });
  return { state: { ...state, closed }, outputs: [{ type: 'revoked', key, state: 'revoked' }] };
}

function onTick(state: GateState, now: number): GateStep {
  const closed = state.closed.filter(({ at }) => now - at <= CLOSED_ATTEMPT_TTL_MS);
  return { state: { ...state, closed }, outputs: [] };
}

type Handlers = {
  readonly [T in GateInput['type']]: (
    state: GateState,
    input: Extract<GateInput, { type: T }>,
    now: number,
  ) => GateStep;
};

const HANDLERS: Handlers = {
  attempt: onAttempt,
  ended: (state, { key }, now) => onEnded(state, key, now),
  revoke: onRevoke,
  ready: (state) => ({
    state: state.phase === 'starting' ? { ...state, phase: 'serving' } : state,
    outputs: [],
  }),
  leave: (state) => {
    const next: GateState = { ...state, phase: 'leaving' };
    return { state: next, outputs: outputIfDrained(next) };
  },
  tick: (state, _input, now) => onTick(state, now),
};

/** Applies one input; `now` in ms. */
export function stepGate(state: GateState, input: GateInput, now: number): GateStep {
  const handler = HANDLERS[input.type] as (
    state: GateState,
    input: GateInput,
    now: number,
  ) => GateStep;
  return handler(state, input, now);
}
