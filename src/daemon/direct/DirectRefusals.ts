/** Endpoints that this entry process avoids, as they have just refused its requests. */
import {
  dropExpiredRefusals,
  clearRefusals,
  refusingEndpoints,
  recordRefusal,
  type EndpointRefusals,
} from '../../coordination/index.js';
import type { AnswerHead, MemberRecord } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/**
 * Whether an answer is a refusal for a reason of the endpoint's own, without a backoff. Other refusals name another
 * rank as faulty, or request a backoff.
 */
function isRefusal({ id }: MemberRecord, head: AnswerHead): boolean {
  const { notRun, restMs, faultyInstance } = head;
  return notRun && restMs === 'none' && (faultyInstance === null || faultyInstance === id);
}

/** Recent refusals by endpoints, at one entry process. */
export class DirectRefusals {
  readonly #runtime: Pick<Runtime, 'now' | 'log'>;

  #refusals: EndpointRefusals = new Map();

  constructor(runtime: Pick<Runtime, 'now' | 'log'>) {
    this.#runtime = runtime;
  }

  /** Ids of endpoints to avoid as long as others are left. */
  get avoided(): readonly string[] {
    return refusingEndpoints(this.#refusals, this.#runtime.now());
  }

  /** Processes the head of an endpoint's answer to a request. */
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
        'avoiding an endpoint that refused a request',
      );
    }
  }

  tick(): void {
    this.#refusals = dropExpiredRefusals(this.#refusals, this.#runtime.now());
  }
}
