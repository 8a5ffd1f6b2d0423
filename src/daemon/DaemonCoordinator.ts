/** Requests the lease on the group of this endpoint's host; its holder coordinates the group. */
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

/** Dependencies of {@link DaemonCoordinator}. */
export interface CoordinatorOptions {
  readonly group: string;
  readonly hubLink: DaemonHubLink;
  readonly log: Logger;
  readonly now: () => number;
}

/** Obtains and keeps the lease on one group. */
export class DaemonCoordinator {
  readonly #options: CoordinatorOptions;

  #state: LeaseView;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
    this.#state = initLease(this.#self, options.group, options.now());
  }

  /**
   * The holder name contains the incarnation, so that it differs from that of an earlier run; a control process may
   * have raised the incarnation at the hello.
   */
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
    outputs.forEach((output) => this.#handleOutput(output));
  }

  #handleOutput(output: LeaseOutput): void {
    const { group, log } = this.#options;
    if (output.type === 'ask') {
      this.#requestLease(output).catch(() => this.#step({ type: 'failed' }));
      return;
    }
    const token = output.type === 'gained' ? output.token : null;
    log.info({ event: 'lease', group, change: output.type, token }, 'lease on the group changed');
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
