/** Backoffs that endpoints have requested from this entry process. */
import { Gauge } from 'prom-client';
import {
  dropExpiredBackoffs,
  incarnationKeyOf,
  recordBackoff,
  type EndpointBackoff,
} from '../../coordination/index.js';
import type { AnswerHead, MemberRecord } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import { DirectSendRates } from './DirectSendRates.js';

/** Endpoint backoffs at one entry process. */
export class DirectBackoffs extends DirectSendRates<EndpointBackoff> {
  readonly #runtime: Pick<Runtime, 'now' | 'log' | 'registry'>;

  constructor(runtime: Pick<Runtime, 'now' | 'log' | 'registry'>) {
    super(runtime.now);
    this.#runtime = runtime;
    const count = (): number => this.rates.size;
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_resting_endpoints',
      help: 'Endpoints that want nothing from this host for a time',
      registers: [runtime.registry],
      collect() {
        this.set(count());
      },
    });
  }

  /** Applies the backoff that the head of an answer requests. */
  onAnswer(endpoint: MemberRecord, restMs: AnswerHead['restMs'], request: string): void {
    if (restMs === 'none') {
      return;
    }
    const { log, now } = this.#runtime;
    log.info(
      { event: 'rest', endpoint: endpoint.id, restMs, request },
      'endpoint requested a backoff',
    );
    if (restMs !== 'unreadable') {
      this.replace(recordBackoff(this.rates, incarnationKeyOf(endpoint), restMs, now()));
    }
  }

  /** Whether an endpoint's backoff is active now. */
  isBackedOff(endpoint: MemberRecord): boolean {
    return (this.rates.get(incarnationKeyOf(endpoint))?.until ?? -Infinity) > this.#runtime.now();
  }

  tick(): void {
    this.replace(dropExpiredBackoffs(this.rates, this.#runtime.now()));
  }
}
