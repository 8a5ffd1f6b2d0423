/** Task that asks for the lease on the group of this endpoint's host, and coordinates under it. */
import type { Logger } from 'pino';
import {
  initLease,
  LEASE_MS,
  stepLease,
  type LeaseInput,
  type LeaseOutput,
  type LeaseView,
} from '../coordination/index.js';
import type { LeaseReply } from './DaemonControlService.js';
import type { DaemonHubLink } from './DaemonHubLink.js';

/** What the task needs. */
export interface CoordinatorOptions {
  readonly self: string;
  readonly group: string;
  readonly hubLink: DaemonHubLink;
  readonly log: Logger;
  readonly now: () => number;
}

/** The right to coordinate one group. */
export class DaemonCoordinator {
  readonly #options: CoordinatorOptions;

  #state: LeaseView;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
    this.#state = initLease(options.self, options.group, options.now());
  }

  get lease(): LeaseView {
    return this.#state;
  }

  tick(): void {
    this.#input({ type: 'tick' });
  }

  #input(input: LeaseInput): void {
    const { state, outputs } = stepLease(this.#state, input, this.#options.now());
    this.#state = state;
    outputs.forEach((output) => this.#perform(output));
  }

  #perform(output: LeaseOutput): void {
    const { group, log } = this.#options;
    if (output.type === 'ask') {
      this.#ask(output).catch(() => this.#input({ type: 'failed' }));
      return;
    }
    const token = output.type === 'gained' ? output.token : null;
    log.info({ event: 'lease', group, change: output.type, token }, 'lease on the group');
  }

  async #ask({ after, observe }: Extract<LeaseOutput, { type: 'ask' }>): Promise<void> {
    const { group, self, hubLink } = this.#options;
    const ask = { group, holder: self, durationMs: LEASE_MS, after, observe };
    const reply = (await hubLink.request('lease.ask', ask)) as LeaseReply;
    const inputs = {
      granted: (): LeaseInput =>
        reply.result === 'granted'
          ? { type: 'granted', grant: reply.lease, renewals: reply.renewals }
          : { type: 'failed' },
      held: (): LeaseInput =>
        reply.result === 'held' ? { type: 'held', lease: reply.lease } : { type: 'failed' },
      failed: (): LeaseInput => ({ type: 'failed' }),
    };
    this.#input(inputs[reply.result]());
  }
}
