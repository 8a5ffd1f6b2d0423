/** Admission: which requests an entry process takes, by customer. */
import { Map as ImmutableMap } from 'immutable';
import { RequestError, type Customer } from '../protocol/index.js';

/** Retries allowed for each first try, and how many may be saved up. */
const RETRY_TOKENS_PER_REQUEST = 0.1;
const MAX_RETRY_TOKENS = 10;

/** Requests in progress by customer, and each service's retry budget. */
export interface AdmissionState {
  readonly inFlight: ImmutableMap<string, number>;
  readonly retryTokens: ImmutableMap<string, number>;
}

/** Nothing in progress. */
export const EMPTY_ADMISSION: AdmissionState = {
  inFlight: ImmutableMap(),
  retryTokens: ImmutableMap(),
};

/**
 * A customer's part of its limit at one of the entry processes. Rounded up, so that the parts
 * together never hold less than the limit.
 */
export function localLimit(customer: Customer, entryHosts: number): number {
  return Math.max(1, Math.ceil(customer.maxInFlight / Math.max(1, entryHosts)));
}

/** Takes a request in, or says why not. */
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
  const saved = Math.min(
    MAX_RETRY_TOKENS,
    (state.retryTokens.get(service) ?? MAX_RETRY_TOKENS) + RETRY_TOKENS_PER_REQUEST,
  );
  return {
    state: {
      inFlight: state.inFlight.set(customer.name, inFlight + 1),
      retryTokens: state.retryTokens.set(service, saved),
    },
    error: null,
  };
}

/** A request has ended. */
export function release(state: AdmissionState, customer: string): AdmissionState {
  const left = (state.inFlight.get(customer) ?? 1) - 1;
  const inFlight = left > 0 ? state.inFlight.set(customer, left) : state.inFlight.delete(customer);
  return { ...state, inFlight };
}

/** Takes one retry from a service's budget, if there is one. */
export function takeRetry(
  state: AdmissionState,
  service: string,
): { readonly state: AdmissionState; readonly allowed: boolean } {
  const saved = state.retryTokens.get(service) ?? MAX_RETRY_TOKENS;
  return saved < 1
    ? { state, allowed: false }
    : {
        state: { ...state, retryTokens: state.retryTokens.set(service, saved - 1) },
        allowed: true,
      };
}
