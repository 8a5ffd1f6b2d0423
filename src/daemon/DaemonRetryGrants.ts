/** Grants retries of services to entry processes, from the share of this control process and of its peers. */
import { Counter } from 'prom-client';
import {
  grantRetries,
  mayGrantRetries,
  NO_RETRY_GRANTS,
  onFounded,
  onHostsProven,
  retryShareOf,
  type ClockReading,
  type RetryGrantsState,
} from '../coordination/index.js';
import type { RetryAllowance } from '../protocol/index.js';
import type { LinkHandlers } from '../transport/index.js';
import type { Runtime } from './DaemonRuntime.js';

/** Names of the link methods, as entry processes and other control processes call them. */
export const RETRY_GRANT_METHOD = 'retry.grant';
const PEER_GRANT_METHOD = 'control.retryGrant';

/** A peer that doesn't answer within this time is passed over, ms: several round trips between availability zones. */
const PEER_TIMEOUT_MS = 100;

/** No further peer is asked after this time, ms: the entry process gives up then. */
const PEERS_TIMEOUT_MS = 200;

/** A peer that has granted less than was wanted isn't asked again for this long, ms. */
const PEER_EXHAUSTED_MS = 250;

/** Maximum number of retries in one question. */
const MAX_WANTED = 10_000;

/** A wish for retries of a service. */
export interface RetryGrantRequest {
  readonly service: string;
  readonly wanted: number;
}

function isGrantRequest(params: unknown): params is RetryGrantRequest {
  const { service, wanted } = (params ?? {}) as Partial<RetryGrantRequest>;
  const isCount = Number.isInteger(wanted) && Number(wanted) > 0 && Number(wanted) <= MAX_WANTED;
  return typeof service === 'string' && isCount;
}

/** Dependencies of {@link DaemonRetryGrants}. */
export interface RetryGrantsOptions {
  /** Name of this control process. */
  readonly self: string;
  readonly runtime: Pick<Runtime, 'now' | 'clocks' | 'log' | 'registry'>;
  readonly allowance: RetryAllowance;
  /** Names of the other control processes that are known. */
  readonly peers: () => readonly string[];
  /** Calls a method of another control process. */
  readonly requestPeer: (
    name: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ) => Promise<unknown>;
}

/** Retry grants of one control process. */
export class DaemonRetryGrants {
  readonly #options: RetryGrantsOptions;

  readonly #granted: Counter;

  readonly #exhaustedUntil = new Map<string, number>();

  #state: RetryGrantsState = NO_RETRY_GRANTS;

  #mayGrant = false;

  constructor(options: RetryGrantsOptions) {
    this.#options = options;
    this.#granted = new Counter({
      name: 'laburnumgauge_retries_granted_total',
      help: 'Retries granted from the share of this control process',
      registers: [options.runtime.registry],
    });
  }

  /** Link methods that entry processes and other control processes call. */
  get handlers(): LinkHandlers {
    return {
      [RETRY_GRANT_METHOD]: async (params) =>
        isGrantRequest(params) ? this.grantWithPeers(params) : 0,
      [PEER_GRANT_METHOD]: (params) => (isGrantRequest(params) ? this.grant(params) : 0),
    };
  }

  /** Records that this process takes part in founding the cluster. */
  onFounded(): void {
    this.#state = onFounded(this.#state);
  }

  /** Records the control hosts that the log names, as proven by a read that was requested at `requestedAt`. */
  onHostsProven(names: readonly string[], requestedAt: ClockReading): void {
    const { self, allowance } = this.#options;
    this.#state = onHostsProven(this.#state, self, names, requestedAt, allowance);
    this.#logShare();
  }

  /** Whether a new proof of the control hosts is due. */
  isProofOlderThan(ms: number): boolean {
    const { provenAt } = this.#state;
    return provenAt === null || this.#options.runtime.now() - provenAt.monotonic > ms;
  }

  /** Grants up to `wanted` retries from the share of this process; returns the number granted. */
  grant({ service, wanted }: RetryGrantRequest): number {
    const { runtime, allowance } = this.#options;
    const { state, count } = grantRetries(
      this.#state,
      service,
      wanted,
      runtime.clocks(),
      allowance,
    );
    this.#state = state;
    this.#granted.inc(count);
    return count;
  }

  /** Grants up to `wanted` retries, from the shares of other control processes where this one's doesn't suffice. */
  async grantWithPeers({ service, wanted }: RetryGrantRequest): Promise<number> {
    const until = this.#options.runtime.now() + PEERS_TIMEOUT_MS;
    let granted = this.grant({ service, wanted });
    const peers = this.#options.peers().filter((name) => this.#mayAsk(name, service));
    // In sequence: asked at the same time, the peers would grant more than is wanted.
    // eslint-disable-next-line no-restricted-syntax
    for (const peer of peers) {
      if (granted < wanted && this.#options.runtime.now() < until) {
        // eslint-disable-next-line no-await-in-loop
        granted += await this.#askPeer(peer, service, wanted - granted);
      }
    }
    return granted;
  }

  #mayAsk(peer: string, service: string): boolean {
    const until = this.#exhaustedUntil.get(`${peer} ${service}`) ?? -Infinity;
    return this.#options.runtime.now() >= until;
  }

  async #askPeer(peer: string, service: string, wanted: number): Promise<number> {
    const { runtime, requestPeer } = this.#options;
    const lent = await requestPeer(peer, PEER_GRANT_METHOD, { service, wanted }, PEER_TIMEOUT_MS)
      .then(Number)
      .catch((err: unknown) => {
        runtime.log.debug({ err, peer }, 'a peer granted no retries');
        return 0;
      });
    if (lent < wanted) {
      this.#exhaustedUntil.set(`${peer} ${service}`, runtime.now() + PEER_EXHAUSTED_MS);
    }
    return lent;
  }

  #logShare(): void {
    const { runtime, allowance } = this.#options;
    const mayGrant = mayGrantRetries(this.#state, runtime.clocks(), allowance);
    if (mayGrant !== this.#mayGrant) {
      this.#mayGrant = mayGrant;
      const share = retryShareOf(this.#state, allowance);
      const hosts = this.#state.hosts.size;
      runtime.log.info({ event: 'retry_share', mayGrant, share, hosts }, 'share of retries');
    }
  }
}
