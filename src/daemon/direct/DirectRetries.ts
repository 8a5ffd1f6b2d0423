/** Retry budgets of an entry process, one for each service. */
import {
  countFirstAttempt,
  EMPTY_RETRY_BUDGET,
  takeRetryWithin,
  type RetryAllowance,
  type RetryBudgetState,
} from '../../coordination/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** Retry budgets. */
export class DirectRetries {
  readonly #allowance: RetryAllowance;

  readonly #now: () => number;

  readonly #budgets = new Map<string, RetryBudgetState>();

  constructor(allowance: RetryAllowance, { now }: Pick<Runtime, 'now'>) {
    this.#allowance = allowance;
    this.#now = now;
  }

  /** Counts a first attempt at a service. */
  countFirst(service: string): void {
    this.#budgets.set(
      service,
      countFirstAttempt(this.#budgetOf(service), this.#now(), this.#allowance),
    );
  }

  /** Spends one retry of a service's budget, which `entryHosts` share; false if none is left. */
  take(service: string, entryHosts: number): boolean {
    const budget = this.#budgetOf(service);
    const { state, allowed } = takeRetryWithin(budget, this.#now(), this.#allowance, entryHosts);
    this.#budgets.set(service, state);
    return allowed;
  }

  #budgetOf(service: string): RetryBudgetState {
    return this.#budgets.get(service) ?? EMPTY_RETRY_BUDGET;
  }
}
