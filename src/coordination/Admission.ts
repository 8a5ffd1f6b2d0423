/** Admission control of an entry process: concurrency limits per customer, and retry budgets per service. */
import { Map as ImmutableMap } from 'immutable';
import { RequestError, type Customer } from '../protocol/index.js';

/** Retry tokens that a service earns with each admitted request. */
const RETRY_TOKENS_PER_REQUEST = 0.1;

/** Maximum number of retry tokens that a service can accumulate. */
const MAX_RETRY_TOKENS = 10;

/** Requests in progress by customer name, and retry tokens by service. */
export interface AdmissionState {
  readonly inFlight: ImmutableMap<string, number>;
  readonly retryTokens: ImmutableMap<string, number>;
}

/** No requests in progress; each service starts with the maximum of retry tokens. */
export const EMPTY_ADMISSION: AdmissionState = {
  inFlight: ImmutableMap(),
  retryTokens: ImmutableMap(),
};

/**
 * One entry process's share of a customer's concurrency limit. Rounded up, so that the shares of all
 * processes add up to at least the limit.
 */
export function localLimit(customer: Customer, entryHosts: number): number {
  return Math.max(1, Math.ceil(customer.maxInFlight / Math.max(1, entryHosts)));
}

/** Admits a request, or returns a `customer_limit` error if the customer has reached its share. */
export function admit(
  state: AdmissionState,
  customer: Customer,
  service: string,
  entryHosts: number,
): { readonly state: AdmissionState; readonly error: RequestError | null } {
  const inFlight = state.inFlight.get(customer.name) ?? 0;
  if (inFlight >= localLimit(customer, entryHosts)) {
    const error = new RequestError(
      'customer_limit',
      `customer "${customer.name}" has ${inFlight} requests in progress here, its limit`,
    );
    return { state, error };
  }
  const tokens = Math.min(
    MAX_RETRY_TOKENS,
    (state.retryTokens.get(service) ?? MAX_RETRY_TOKENS) + RETRY_TOKENS_PER_REQUEST,
  );
  return {
    state: {
      inFlight: state.inFlight.set(customer.name, inFlight + 1),
      retryTokens: state.retryTokens.set(service, tokens),
    },
    error: null,
  };
}

/** Releases a finished request of a customer. */
export function release(state: AdmissionState, customer: string): AdmissionState {
  const remaining = (state.inFlight.get(customer) ?? 1) - 1;
  const inFlight =
    remaining > 0 ? state.inFlight.set(customer, remaining) : state.inFlight.delete(customer);
  return { ...state, inFlight };
}

/** Spends one retry token of a service, if it has one. */
export function takeRetry(
  state: AdmissionState,
  service: string,
): { readonly state: AdmissionState; readonly allowed: boolean } {
  const tokens = state.retryTokens.get(service) ?? MAX_RETRY_TOKENS;
  return tokens < 1
    ? { state, allowed: false }
    : {
        state: { ...state, retryTokens: state.retryTokens.set(service, tokens - 1) },
        allowed: true,
      };
}
