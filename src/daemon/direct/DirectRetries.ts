/**
 * Retries of an entry process: each is paid for with requests that this process has read or, where these don't suffice,
 * granted by a control process.
 */
import { Counter } from 'prom-client';
import {
  countRequest,
  earnedRetries,
  EMPTY_RETRY_BUDGET,
  spendEarnedRetry,
  mayStillSend,
  moveEarnedRetry,
  type ClockReading,
  type RetryBudgetState,
  type RetryPermit,
} from '../../coordination/index.js';
import type { RetryAllowance } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import { DirectRetryGrants, type RequestRetries } from './DirectRetryGrants.js';

/** A retry that a request asks for. */
export interface RetryWish {
  readonly service: string;
  /** The caller's id of the request. */
  readonly request: string;
  /** How the attempt before it failed, `waited` after a wait for a slot, or `on the way` for a further allowance. */
  readonly reason: string;
}

/** How it became known that a retry has reached its endpoint, or won't any more. */
export type RetryArrivalProof = 'answered' | 'failed' | 'aborted';

/** A retry that has been sent. */
export interface SentRetry extends Omit<RetryWish, 'reason'> {
  /** Id of the endpoint. */
  readonly endpoint: string;
}

/** Dependencies of {@link DirectRetries}. */
export interface DirectRetriesOptions {
  readonly allowance: RetryAllowance;
  readonly runtime: Pick<Runtime, 'now' | 'clocks' | 'log' | 'registry'>;
  readonly requestRetries: RequestRetries;
}

/** Retries of one entry process. */
export class DirectRetries {
  readonly #options: DirectRetriesOptions;

  readonly #startedAt: number;

  readonly #decisions: Counter<'decision'>;

  readonly #budgets = new Map<string, RetryBudgetState>();

  readonly #grants = new Map<string, DirectRetryGrants>();

  constructor(options: DirectRetriesOptions) {
    this.#options = options;
    this.#startedAt = options.runtime.now();
    this.#decisions = new Counter({
      name: 'laburnumgauge_retries_total',
      help: 'Retries that requests asked for, by decision: earned, granted or refused',
      labelNames: ['decision'],
      registers: [options.runtime.registry],
    });
    options.runtime.log.info(
      { event: 'retry_allowance', ...options.allowance },
      'allowance of retries',
    );
  }

  /** Counts a request for a service that a caller has sent. */
  countRequest(service: string): void {
    const { allowance, runtime } = this.#options;
    this.#budgets.set(service, countRequest(this.#budgetOf(service), runtime.clocks(), allowance));
  }

  /** Allows one retry; resolves with null if it is refused. */
  async acquire(wish: RetryWish): Promise<RetryPermit | null> {
    const { clocks, now } = this.#options.runtime;
    const askedAt = clocks();
    if (this.#spendEarned(wish.service, askedAt)) {
      this.#logDecision(wish, 'earned', 0);
      return { allowedAt: askedAt, isEarned: true };
    }
    const hasGrants = this.#options.allowance.extra > 0;
    const allowedAt = hasGrants ? await this.#grantsOf(wish.service).acquire() : null;
    this.#logDecision(wish, allowedAt === null ? 'refused' : 'granted', now() - askedAt.monotonic);
    return allowedAt === null ? null : { allowedAt, isEarned: false };
  }

  /** Allows a retry that was sent under a permit to arrive later; resolves with null if that is refused. */
  async extend(wish: RetryWish, permit: RetryPermit): Promise<RetryPermit | null> {
    const askedAt = this.#options.runtime.clocks();
    if (permit.isEarned && this.#moveEarned(wish.service, permit, askedAt)) {
      this.#logDecision(wish, 'earned', 0);
      return { allowedAt: askedAt, isEarned: true };
    }
    return this.acquire(wish);
  }

  /** Whether a retry may still be sent under a permit. */
  mayStillSend({ allowedAt }: RetryPermit): boolean {
    return mayStillSend(allowedAt, this.#options.runtime.clocks());
  }

  /** Logs that a retry is sent. */
  onSent(retry: SentRetry): void {
    this.#options.runtime.log.info({ event: 'retry_sent', ...retry }, 'retry sent');
  }

  /** Logs the end of the time in which a retry can have reached its endpoint, `ms` after it was sent. */
  onArrived(retry: SentRetry, proof: RetryArrivalProof, ms: number): void {
    const { log } = this.#options.runtime;
    log.info({ event: 'retry_arrived', ...retry, proof, ms: Math.round(ms) }, 'retry arrived');
  }

  #budgetOf(service: string): RetryBudgetState {
    return this.#budgets.get(service) ?? EMPTY_RETRY_BUDGET;
  }

  #grantsOf(service: string): DirectRetryGrants {
    const { runtime, requestRetries } = this.#options;
    const known = this.#grants.get(service);
    const grants = known ?? new DirectRetryGrants(service, runtime, requestRetries);
    this.#grants.set(service, grants);
    return grants;
  }

  #spendEarned(service: string, now: ClockReading): boolean {
    return this.#apply(service, (budget, allowance) => spendEarnedRetry(budget, now, allowance));
  }

  #moveEarned(service: string, { allowedAt }: RetryPermit, now: ClockReading): boolean {
    return this.#apply(service, (budget, allowance) =>
      moveEarnedRetry(budget, allowedAt, now, allowance),
    );
  }

  /** Applies a step to the budget of a service; whether it allowed the retry. */
  #apply(
    service: string,
    step: (
      budget: RetryBudgetState,
      allowance: RetryAllowance,
    ) => { readonly state: RetryBudgetState; readonly allowed: boolean },
  ): boolean {
    const { state, allowed } = step(this.#budgetOf(service), this.#options.allowance);
    this.#budgets.set(service, state);
    return allowed;
  }

  #logDecision(
    { service, request, reason }: RetryWish,
    decision: 'earned' | 'granted' | 'refused',
    waitMs: number,
  ): void {
    const { allowance, runtime } = this.#options;
    const earnedLeft = earnedRetries(this.#budgetOf(service), runtime.clocks(), allowance);
    this.#decisions.inc({ decision });
    runtime.log.info(
      {
        event: 'retry',
        request,
        service,
        reason,
        decision,
        earnedLeft: Math.floor(earnedLeft),
        waitMs: Math.round(waitMs),
        processAgeMs: Math.round(runtime.now() - this.#startedAt),
      },
      'retry decided',
    );
  }
}
