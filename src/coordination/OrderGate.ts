/**
 * Fencing in front of an engine: which orders a gate passes on. Some engines ignore fencing tokens,
 * so the gate compares for all.
 */

/** What a gate knows of one group's or engine's fencing tokens. */
export interface OrderGateState {
  /** Highest token seen or learned; null after a restart, until a quorum has told it. */
  readonly highest: number | null;
  /** Orders passed on that the engine hasn't answered, by token. */
  readonly open: readonly number[];
}

/** What becomes of an order. `wait`: send it again, once the gate has learned or is clear. */
export type OrderVerdict = 'pass' | 'stale' | 'wait';

/** A gate that has just started. */
export const FRESH_ORDER_GATE: OrderGateState = { highest: null, open: [] };

/**
 * Takes what a quorum says is the highest token granted.
 *
 * Failure: a gate restarts and has forgotten the highest token. Symptom: an order of a coordinator
 * long replaced, late on its way, is passed on. Enough: until a quorum has told the token, no order
 * passes.
 */
export function learnToken(state: OrderGateState, token: number): OrderGateState {
  return { ...state, highest: Math.max(state.highest ?? 0, token) };
}

/**
 * Judges an order.
 *
 * Failure: an order of the old coordinator was passed on and is still on its way to an engine that
 * ignores tokens, when the new coordinator's comes. Symptom: the engine carries out the old one
 * last. Enough: an order with a higher token waits until those with lower ones were answered.
 */
export function judgeOrder(
  state: OrderGateState,
  token: number,
): { readonly state: OrderGateState; readonly verdict: OrderVerdict } {
  if (state.highest === null) {
    return { state, verdict: 'wait' };
  }
  if (token < state.highest) {
    return { state, verdict: 'stale' };
  }
  const raised = { ...state, highest: token };
  return state.open.some((other) => other < token)
    ? { state: raised, verdict: 'wait' }
    : { state: { ...raised, open: [...state.open, token] }, verdict: 'pass' };
}

/** The engine has answered an order, or its connection is known to be dead. */
export function settleOrder(state: OrderGateState, token: number): OrderGateState {
  const at = state.open.indexOf(token);
  return { ...state, open: state.open.filter((_token, i) => i !== at) };
}
