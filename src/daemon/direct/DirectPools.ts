/** Connection pools of an entry process to endpoints, by incarnation key. */
import { incarnationKeyOf, type IncarnationKey } from '../../coordination/index.js';
import type { MemberRecord } from '../../protocol/index.js';
import { openPool, type EndpointPool } from '../../transport/index.js';

/** Share of an endpoint's connections that all entry processes use together: endpoints have other callers too. */
const CONNECTION_SHARE = 0.8;

/** Minimum number of entry processes assumed, as others may not be known yet. */
const MIN_ENTRY_HOSTS = 2;

/** Minimum number of connections from this process to an endpoint. */
const MIN_CONNECTIONS = 2;

/** Connection pools of one entry process. */
export class DirectPools {
  readonly #pools = new Map<IncarnationKey, EndpointPool>();

  /** The pool of an endpoint that accepts `maxConnections` from all entry processes together. */
  to(endpoint: MemberRecord, maxConnections: number, entryHosts: number): EndpointPool {
    const known = this.#pools.get(incarnationKeyOf(endpoint));
    if (known !== undefined) {
      return known;
    }
    const sharers = Math.max(MIN_ENTRY_HOSTS, entryHosts);
    const own = Math.floor((maxConnections * CONNECTION_SHARE) / sharers);
    const pool = openPool(`http://${endpoint.address}`, Math.max(MIN_CONNECTIONS, own));
    this.#pools.set(incarnationKeyOf(endpoint), pool);
    return pool;
  }

  /** Closes the pools of incarnations that aren't kept; requests in progress on them may finish. */
  keep(isKept: (incarnationKey: IncarnationKey) => boolean): void {
    [...this.#pools].forEach(([incarnationKey, pool]) => {
      if (!isKept(incarnationKey)) {
        this.#pools.delete(incarnationKey);
        pool.pool.close().catch(() => undefined);
      }
    });
  }
}
