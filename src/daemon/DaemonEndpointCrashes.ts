/** Finds out, in an entry process, which requests were in progress at an endpoint when it crashed. */
import type { Counter } from 'prom-client';
import {
  incarnationKeyOf,
  NO_ENDPOINT_CRASHES,
  provesCrash,
  stepEndpointCrashes,
  type EndpointCrashesInput,
  type EndpointCrashesState,
  type IncarnationKey,
  type LostRequest,
} from '../coordination/index.js';
import type { MemberRecord } from '../protocol/index.js';
import { parseAddress, type Address, type Probe } from '../transport/index.js';
import type { Runtime } from './DaemonRuntime.js';

/** Dependencies of {@link DaemonEndpointCrashes}. */
export interface EndpointCrashesOptions {
  readonly runtime: Pick<Runtime, 'now' | 'log'>;
  readonly probe: (address: Address) => Probe;
  readonly crashes: Pick<Counter, 'inc'>;
  /** Called with the requests that were in progress at an incarnation that has crashed. */
  readonly onSuspects: (incarnationKey: IncarnationKey, suspects: readonly LostRequest[]) => void;
}

/** Determines whether endpoints at which requests were lost have crashed. */
export class DaemonEndpointCrashes {
  readonly #options: EndpointCrashesOptions;

  #state: EndpointCrashesState = NO_ENDPOINT_CRASHES;

  /** Endpoints at which requests were lost, by incarnation, while it is unknown whether they have crashed. */
  readonly #endpoints = new Map<IncarnationKey, MemberRecord>();

  readonly #probes = new Map<IncarnationKey, Promise<void>>();

  constructor(options: EndpointCrashesOptions) {
    this.#options = options;
  }

  /**
   * Records a request whose connection to an endpoint ended before its answer was complete. Resolves once a probe of
   * the endpoint has a result or would take long, so that the caller knows about a crash before it sends the request
   * again.
   */
  async onConnectionLost(endpoint: MemberRecord, lost: LostRequest): Promise<void> {
    const incarnationKey = incarnationKeyOf(endpoint);
    this.#endpoints.set(incarnationKey, endpoint);
    this.#step({ type: 'lost', incarnationKey, lost });
    await this.#probes.get(incarnationKey);
  }

  /** Records a request and the incarnation of an endpoint that is known to have crashed while processing it. */
  onCrashed(incarnationKey: IncarnationKey, lost: LostRequest): void {
    this.#step({ type: 'ended', incarnationKey });
    this.#step({ type: 'lost', incarnationKey, lost });
  }

  /** Handles changed member records; `isNew` tells whether an id was unknown before them. */
  onMembers(records: readonly MemberRecord[], isNew: (id: string) => boolean): void {
    [...this.#endpoints].forEach(([incarnationKey, known]) => {
      const proof = records.find(
        (update) => (update.id === known.id || isNew(update.id)) && provesCrash(known, update),
      );
      if (proof !== undefined) {
        this.#step({ type: 'ended', incarnationKey });
      }
    });
  }

  tick(): void {
    this.#step({ type: 'tick' });
  }

  #step(input: EndpointCrashesInput): void {
    const { state, outputs } = stepEndpointCrashes(this.#state, input, this.#options.runtime.now());
    if (state.crashed.size > this.#state.crashed.size) {
      this.#options.crashes.inc();
    }
    this.#state = state;
    outputs.forEach((output) => {
      if (output.type === 'probe') {
        this.#probe(output.incarnationKey);
        return;
      }
      const { incarnationKey, evidence, suspects } = output;
      this.#options.runtime.log.warn(
        {
          event: 'endpoint_ended',
          life: incarnationKey,
          evidence,
          suspects: suspects.map(({ request, digest }) => `${request}=${digest}`),
          parts: [...new Set(suspects.flatMap(({ parts }) => parts))],
        },
        'an endpoint crashed with requests in progress',
      );
      this.#options.onSuspects(incarnationKey, suspects);
    });
    [...this.#endpoints.keys()]
      .filter((incarnationKey) => !state.pending.has(incarnationKey))
      .forEach((incarnationKey) => this.#endpoints.delete(incarnationKey));
  }

  #probe(incarnationKey: IncarnationKey): void {
    const address = parseAddress(this.#endpoints.get(incarnationKey)?.address ?? '');
    if (address === undefined) {
      this.#step({ type: 'probed', incarnationKey, result: 'unknown' });
      return;
    }
    const { result, settled } = this.#options.probe(address);
    this.#probes.set(incarnationKey, settled);
    result
      .then((found) => {
        this.#options.runtime.log.info(
          { event: 'endpoint_probe', life: incarnationKey, result: found },
          'endpoint probed after a connection to it was lost',
        );
        this.#probes.delete(incarnationKey);
        this.#step({ type: 'probed', incarnationKey, result: found });
      })
      .catch((err: unknown) =>
        this.#options.runtime.log.error({ err }, 'probe of an endpoint failed'),
      );
  }
}
