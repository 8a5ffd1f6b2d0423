/** Endpoints that this entry process passes over, as they have just refused its requests. */
import {
  dropExpiredRefusals,
  clearRefusals,
  refusingEndpoints,
  recordRefusal,
  type EndpointRefusals,
} from '../../coordination/index.js';
import type { AnswerHead, MemberRecord } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** Whether an endpoint refuses for itself, and names no time: another rank may be to blame, and a rest is kept apart. */
function isRefusal({ id }: MemberRecord, head: AnswerHead): boolean {
  const { notRun, restMs, faultyInstance } = head;
  return notRun && restMs === 'none' && (faultyInstance === null || faultyInstance === id);
}

/** Task of one entry process. */
export class DirectRefusals {
  readonly #runtime: Pick<Runtime, 'now' | 'log'>;

  #refusals: EndpointRefusals = new Map();

  constructor(runtime: Pick<Runtime, 'now' | 'log'>) {
    this.#runtime = runtime;
  }

  /** Ids of endpoints to pass over as long as others are left. */
  get avoided(): readonly string[] {
    return refusingEndpoints(this.#refusals, this.#runtime.now());
  }

  /** Takes the head of an endpoint's answer to a request. */
  onAnswer(endpoint: MemberRecord, head: AnswerHead, request: string): void {
    const { now, log } = this.#runtime;
    if (!isRefusal(endpoint, head)) {
      this.#refusals = head.notRun ? this.#refusals : clearRefusals(this.#refusals, endpoint.id);
      return;
    }
    const known = this.#refusals;
    this.#refusals = recordRefusal(known, endpoint.id, now());
    const refusal = this.#refusals.get(endpoint.id);
    if (this.#refusals !== known && refusal !== undefined) {
      const { count, at, until } = refusal;
      log.info(
        { event: 'passed_over', endpoint: endpoint.id, request, count, forMs: until - at },
        'an endpoint refuses',
      );
    }
  }

  tick(): void {
    this.#refusals = dropExpiredRefusals(this.#refusals, this.#runtime.now());
  }
}
