/**
 * Fencing in front of an engine: which orders a gate passes on. Some engines ignore fencing tokens,
 * so the gate compares for all.
 */

/** What a gate knows of one group's or engine's fencing tokens. */
export interface OrderGateState {
  /** Highest token seen or learned; null after a restart, until a quorum has told it. */
  readonly highestToken: number | null;
  /** Orders passed on that the engine hasn't answered, by token. */
  readonly pendingTokens: readonly number[];
}

/** What becomes of an order. `wait`: send it again, once the gate has learned or is clear. */
export type OrderVerdict = 'pass' | 'stale' | 'wait';

/** A gate that has just started. */
export const INITIAL_ORDER_GATE: OrderGateState = { highestToken: null, pendingTokens: [] };

/**
 * Takes what a quorum says is the highest token granted.
 *
 * Failure: a gate restarts and has forgotten the highest token. Symptom: an order of a coordinator
 * long replaced, late on its way, is passed on. Enough: until a quorum has told the token, no order
 * passes.
 */
export function raiseHighestToken(state: OrderGateState, token: number): OrderGateState {
  return { ...state, highestToken: Math.max(state.highestToken ?? 0, token) };
}

/**
 * Judges an order.
 *
 * Failure: an order of the old coordinator was passed on and is still on its way to an engine that
 * ignores tokens, when the new coordinator's comes. Symptom: the engine carries out the old one
 * last. Enough: an order with a higher token waits until those with lower ones were answered.
 */
export function checkOrder(
  state: OrderGateState,
  token: number,
): { readonly state: OrderGateState; readonly verdict: OrderVerdict } {
  if (state.highestToken === null) {
    return { state, verdict: 'wait' };
  }
  if (token < state.highestToken) {
    return { state, verdict: 'stale' };
  }
  const raised = { ...state, highestToken: token };
  return state.pendingTokens.some((other) => other < token)
    ? { state: raised, verdict: 'wait' }
    : { state: { ...raised, pendingTokens: [...state.pendingTokens, token] }, verdict: 'pass' };
}

/** The engine has answered an order, or its connection is known to be dead. */
export function completeOrder(state: OrderGateState, token: number): OrderGateState {
  const at = state.pendingTokens.indexOf(token);
  return { ...state, pendingTokens: state.pendingTokens.filter((_token, i) => i !== at) };
}
