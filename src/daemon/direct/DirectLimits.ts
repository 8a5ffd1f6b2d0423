/** Limits that endpoints name in their answers, as an entry process takes them in. */
import { Gauge } from 'prom-client';
import { lifeOf, type EndpointLife } from '../../coordination/index.js';
import type { MemberRecord, NamedLimit } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** Task of one entry process. */
export class DirectLimits {
  readonly #runtime: Pick<Runtime, 'log' | 'registry'>;

  /** Limits in force, requests a second. */
  readonly #limits = new Map<EndpointLife, number>();

  constructor(runtime: Pick<Runtime, 'log' | 'registry'>) {
    this.#runtime = runtime;
    const limits = this.#limits;
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_limited_endpoints',
      help: 'Endpoints that have named a limit',
      registers: [runtime.registry],
      collect() {
        this.set(limits.size);
      },
    });
  }

  /** Takes the limit that an answer names. */
  onAnswer(endpoint: MemberRecord, limit: NamedLimit, request: string): void {
    const life = lifeOf(endpoint);
    const known = this.#limits.get(life) ?? 'none';
    if (limit === known) {
      return;
    }
    if (typeof limit === 'number') {
      this.#limits.set(life, limit);
    } else if (limit === 'none') {
      this.#limits.delete(life);
    }
    this.#runtime.log.info(
      { event: 'limit', endpoint: endpoint.id, limit, before: known, request },
      'an endpoint names another limit',
    );
  }

  /** Forgets lives that are over. */
  keep(isKept: (life: EndpointLife) => boolean): void {
    [...this.#limits.keys()]
      .filter((life) => !isKept(life))
      .forEach((life) => this.#limits.delete(life));
  }
}
