/** Task of an entry process that finds out which requests were in progress at an endpoint when it ended. */
import type { Counter } from 'prom-client';
import {
  lifeOf,
  NO_ENDPOINT_ENDS,
  provesEnd,
  stepEndpointEnds,
  type EndpointEndsInput,
  type EndpointEndsState,
  type EndpointLife,
  type LostRequest,
} from '../coordination/index.js';
import type { MemberRecord } from '../protocol/index.js';
import { parseAddress, type Address, type Probe } from '../transport/index.js';
import type { Runtime } from './DaemonRuntime.js';

/** What the task needs. */
export interface EndpointEndsOptions {
  readonly runtime: Pick<Runtime, 'now' | 'log'>;
  readonly probe: (address: Address) => Probe;
  readonly ends: Pick<Counter, 'inc'>;
  /** Takes the requests that were in progress at a life that has ended. */
  readonly onSuspects: (life: EndpointLife, suspects: readonly LostRequest[]) => void;
}

/** The task. */
export class DaemonEndpointEnds {
  readonly #options: EndpointEndsOptions;

  #state: EndpointEndsState = NO_ENDPOINT_ENDS;

  /** Endpoints at which requests were lost, by life, while nobody knows whether it has ended. */
  readonly #records = new Map<EndpointLife, MemberRecord>();

  readonly #probes = new Map<EndpointLife, Promise<void>>();

  constructor(options: EndpointEndsOptions) {
    this.#options = options;
  }

  /**
   * Takes a request whose connection to an endpoint has ended before its answer was whole. Resolves as soon as a
   * probe has told what it can, so that whoever sends the request again knows what it did.
   */
  async onLost(endpoint: MemberRecord, lost: LostRequest): Promise<void> {
    const life = lifeOf(endpoint);
    this.#records.set(life, endpoint);
    this.#input({ type: 'lost', life, lost });
    await this.#probes.get(life);
  }

  /** Takes a request and the life of an endpoint that is known to have ended under it. */
  onEnded(life: EndpointLife, lost: LostRequest): void {
    this.#input({ type: 'ended', life });
    this.#input({ type: 'lost', life, lost });
  }

  /** Takes news of members; `isNew` tells whether an id was unknown before them. */
  onMembers(records: readonly MemberRecord[], isNew: (id: string) => boolean): void {
    [...this.#records].forEach(([life, known]) => {
      const proof = records.find(
        (news) => (news.id === known.id || isNew(news.id)) && provesEnd(known, news),
      );
      if (proof !== undefined) {
        this.#input({ type: 'ended', life });
      }
    });
  }

  tick(): void {
    this.#input({ type: 'tick' });
  }

  #input(input: EndpointEndsInput): void {
    const { state, outputs } = stepEndpointEnds(this.#state, input, this.#options.runtime.now());
    if (state.ended.size > this.#state.ended.size) {
      this.#options.ends.inc();
    }
    this.#state = state;
    outputs.forEach((output) => {
      if (output.type === 'probe') {
        this.#probe(output.life);
        return;
      }
      const { life, evidence, suspects } = output;
      this.#options.runtime.log.warn(
        {
          event: 'endpoint_ended',
          life,
          evidence,
          suspects: suspects.map(({ request, digest }) => `${request}=${digest}`),
        },
        'an endpoint ended with requests in progress',
      );
      this.#options.onSuspects(life, suspects);
    });
    [...this.#records.keys()]
      .filter((life) => !state.pending.has(life))
      .forEach((life) => this.#records.delete(life));
  }

  #probe(life: EndpointLife): void {
    const address = parseAddress(this.#records.get(life)?.address ?? '');
    if (address === undefined) {
      this.#input({ type: 'probed', life, result: 'unknown' });
      return;
    }
    const { result, settled } = this.#options.probe(address);
    this.#probes.set(life, settled);
    result
      .then((found) => {
        this.#options.runtime.log.info(
          { event: 'endpoint_probe', life, result: found },
          'endpoint probed after a connection to it ended',
        );
        this.#probes.delete(life);
        this.#input({ type: 'probed', life, result: found });
      })
      .catch((err: unknown) => this.#options.runtime.log.error({ err }, 'probe failed'));
  }
}
