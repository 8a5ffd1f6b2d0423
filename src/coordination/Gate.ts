/**
 * The gate in front of an engine: which attempts it starts. It refuses what it will not run, and
 * keeps its word after it has said so.
 */
import { Map as ImmutableMap } from 'immutable';
import type { ErrorCode } from '../protocol/index.js';

/** How long an attempt's end or revocation is remembered: longer than any message can be late. */
export const CLOSED_ATTEMPT_TTL_MS = 120_000;

/** An attempt's key: the entry process's incarnation is part of the request's id. */
export type AttemptKey = string;

/** What a gate keeps. */
export interface GateState {
  readonly incarnation: number;
  readonly phase: 'starting' | 'serving' | 'leaving';
  /** Attempts started and not ended. */
  readonly running: ImmutableMap<
    AttemptKey,
    { readonly customer: string; readonly startedAt: number }
  >;
  /** Attempts that have ended or were revoked, with when. */
  readonly closed: ImmutableMap<
    AttemptKey,
    { readonly reason: 'ended' | 'revoked'; readonly at: number }
  >;
}

/** What goes in. */
export type GateInput =
  | {
      readonly type: 'attempt';
      readonly key: AttemptKey;
      /** The incarnation that the sender wants. */
      readonly target: number;
      readonly customer: string;
    }
  | { readonly type: 'ended'; readonly key: AttemptKey }
  | { readonly type: 'revoke'; readonly key: AttemptKey; readonly target: number }
  | { readonly type: 'ready' }
  | { readonly type: 'leave' }
  | { readonly type: 'tick' };

/** What comes out. */
export type GateOutput =
  | { readonly type: 'start'; readonly key: AttemptKey }
  | { readonly type: 'refuse'; readonly key: AttemptKey; readonly code: ErrorCode }
  | { readonly type: 'revoked'; readonly key: AttemptKey; readonly state: 'revoked' | 'started' }
  | { readonly type: 'drained' };

/** New state and outputs of a step. */
export interface GateStep {
  readonly state: GateState;
  readonly outputs: readonly GateOutput[];
}

/** A gate that has not heard of its configuration yet. */
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
  // The same attempt twice, or one that was revoked: starting it would run a call again.
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
 * Failure: an attempt sits in a socket buffer while its sender gives it up; it is read later and
 * run, although the caller was told that it wasn't. Symptom: the caller's new try runs it twice.
 * Enough: the key is closed before the answer leaves, and a closed key is never started. A gate
 * that has restarted can't know what its predecessor ran, so it vouches only for its own
 * incarnation.
 */
function onRevoke(
  state: GateState,
  { key, target }: Extract<GateInput, { type: 'revoke' }>,
  now: number,
): GateStep {
  const known = state.closed.get(key);
  const started =
    target !== state.incarnation || state.running.has(key) || known?.reason === 'ended';
  if (started) {
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

/** One step of a gate. */
export function stepGate(state: GateState, input: GateInput, now: number): GateStep {
  const handler = HANDLERS[input.type] as (
    state: GateState,
    input: GateInput,
    now: number,
  ) => GateStep;
  return handler(state, input, now);
}
