/** Task that asks for the lease on the group of this endpoint's host, and coordinates under it. */
import type { Logger } from 'pino';
import {
  holderName,
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
    this.#state = initLease(this.#self, options.group, options.now());
  }

  /** The incarnation tells a process from its past life; control may have asked for a higher one at the hello. */
  get #self(): string {
    return holderName(this.#options.hubLink.record);
  }

  get lease(): LeaseView {
    return this.#state;
  }

  tick(): void {
    if (this.#state.self !== this.#self) {
      this.#state = initLease(this.#self, this.#options.group, this.#options.now());
    }
    this.#step({ type: 'tick' });
  }

  #step(input: LeaseInput): void {
    const { state, outputs } = stepLease(this.#state, input, this.#options.now());
    this.#state = state;
    outputs.forEach((output) => this.#perform(output));
  }

  #perform(output: LeaseOutput): void {
    const { group, log } = this.#options;
    if (output.type === 'ask') {
      this.#requestLease(output).catch(() => this.#step({ type: 'failed' }));
      return;
    }
    const token = output.type === 'gained' ? output.token : null;
    log.info({ event: 'lease', group, change: output.type, token }, 'lease on the group');
  }

  async #requestLease({ after, observe }: Extract<LeaseOutput, { type: 'ask' }>): Promise<void> {
    const { group, hubLink } = this.#options;
    const params = { group, holder: this.#state.self, durationMs: LEASE_MS, after, observe };
    const reply = (await hubLink.request('lease.ask', params)) as LeaseReply;
    const inputs = {
      granted: (): LeaseInput =>
        reply.result === 'granted'
          ? { type: 'granted', grant: reply.lease, renewals: reply.renewals }
          : { type: 'failed' },
      held: (): LeaseInput =>
        reply.result === 'held' ? { type: 'held', lease: reply.lease } : { type: 'failed' },
      failed: (): LeaseInput => ({ type: 'failed' }),
    };
    this.#step(inputs[reply.result]());
  }
}
