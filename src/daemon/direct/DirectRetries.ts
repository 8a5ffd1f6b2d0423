/** Retry budgets of an entry process, one for each service. */
import { Counter } from 'prom-client';
import {
  countFirstAttempt,
  EMPTY_RETRY_BUDGET,
  takeRetryWithin,
  type RetryAllowance,
  type RetryBudgetState,
} from '../../coordination/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** A retry that a request asks for. */
export interface RetryWish {
  readonly service: string;
  /** The caller's id of the request. */
  readonly request: string;
  /** How the attempt before it failed, or `waited` after a wait for a slot. */
  readonly reason: string;
}

/** Retry budgets. */
export class DirectRetries {
  readonly #allowance: RetryAllowance;

  readonly #runtime: Pick<Runtime, 'now' | 'log' | 'registry'>;

  readonly #startedAt: number;

  readonly #decisions: Counter<'decision'>;

  readonly #budgets = new Map<string, RetryBudgetState>();

  constructor(allowance: RetryAllowance, runtime: Pick<Runtime, 'now' | 'log' | 'registry'>) {
    this.#allowance = allowance;
    this.#runtime = runtime;
    this.#startedAt = runtime.now();
    this.#decisions = new Counter({
      name: 'laburnumgauge_retries_total',
      help: 'Retries that requests asked for, by decision: allowed or refused',
      labelNames: ['decision'],
      registers: [runtime.registry],
    });
  }

  /** Counts a first attempt at a service. */
  countFirst(service: string): void {
    const now = this.#runtime.now();
    this.#budgets.set(service, countFirstAttempt(this.#budgetOf(service), now, this.#allowance));
  }

  /** Spends one retry of a service's budget, which `entryHosts` share; false if none is left. */
  take({ service, request, reason }: RetryWish, entryHosts: number): boolean {
    const now = this.#runtime.now();
    const budget = this.#budgetOf(service);
    const decision = takeRetryWithin(budget, now, this.#allowance, entryHosts);
    const { state, allowed, spent, maxRetries } = decision;
    this.#budgets.set(service, state);
    this.#decisions.inc({ decision: allowed ? 'allowed' : 'refused' });
    this.#runtime.log.info(
      {
        event: 'retry',
        request,
        service,
        reason,
        allowed,
        spent,
        maxRetries: Math.floor(maxRetries),
        firstAttempts: state.firstAttempts.length,
        hosts: entryHosts,
        processAgeMs: Math.round(now - this.#startedAt),
      },
      'retry decided',
    );
    return allowed;
  }

  #budgetOf(service: string): RetryBudgetState {
    return this.#budgets.get(service) ?? EMPTY_RETRY_BUDGET;
  }
}
