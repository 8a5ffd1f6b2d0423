/**
 * Fencing in front of an engine: decides which orders a gate forwards. Some engines ignore fencing tokens, so the
 * gate compares them for all engines.
 */

/** Fencing tokens of one group or engine, as known to a gate. */
export interface OrderGateState {
  /**
   * Highest token seen in an order or reported by a quorum; null after a restart, until a quorum has reported it.
   */
  readonly highestToken: number | null;
  /** Tokens of the orders that were forwarded and that the engine hasn't answered. */
  readonly pendingTokens: readonly number[];
}

/**
 * Decision on an order. `wait`: send it again once the gate has a quorum's report and older orders are answered.
 */
export type OrderVerdict = 'pass' | 'stale' | 'wait';

/** State of a gate that has just started. */
export const INITIAL_ORDER_GATE: OrderGateState = { highestToken: null, pendingTokens: [] };

/**
 * Applies the highest granted token that a quorum reports.
 *
 * A gate that restarts doesn't know the highest token and might forward a late order of a coordinator that was
 * replaced long ago. So no order passes before a quorum has reported the token.
 */
export function raiseHighestToken(state: OrderGateState, token: number): OrderGateState {
  return { ...state, highestToken: Math.max(state.highestToken ?? 0, token) };
}

/**
 * Decides whether an order may pass.
 *
 * An order of the previous coordinator may have been forwarded and still be on its way to an engine that ignores
 * tokens; the engine might then carry it out after the new coordinator's order. So an order waits until those with
 * lower tokens were answered.
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

/** Removes an order that the engine has answered, or whose connection is known to be closed. */
export function completeOrder(state: OrderGateState, token: number): OrderGateState {
  const at = state.pendingTokens.indexOf(token);
  return { ...state, pendingTokens: state.pendingTokens.filter((_token, i) => i !== at) };
}
