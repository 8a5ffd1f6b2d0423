/** Connections of an entry process to endpoints, by life. */
import { incarnationKeyOf, type IncarnationKey } from '../../coordination/index.js';
import type { MemberRecord } from '../../protocol/index.js';
import { openPool, type EndpointPool } from '../../transport/index.js';

/** Part of an endpoint's connections that the entry processes use together: others call it too. */
const CONNECTION_SHARE = 0.8;

/** Fewer entry processes are never counted: others may not be known yet. */
const MIN_ENTRY_HOSTS = 2;

/** Every endpoint gets at least this many connections from here. */
const MIN_CONNECTIONS = 2;

/** Task state of the process. */
export class DirectPools {
  readonly #pools = new Map<IncarnationKey, EndpointPool>();

  /**
   * The connections to an endpoint, of which it takes `mostConnections` from all entry processes together.
   */
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

  /** Closes the connections to lives that aren't kept; what runs on them may end. */
  keep(isKept: (incarnationKey: IncarnationKey) => boolean): void {
    [...this.#pools].forEach(([incarnationKey, pool]) => {
      if (!isKept(incarnationKey)) {
        this.#pools.delete(incarnationKey);
        pool.pool.close().catch(() => undefined);
      }
    });
  }
}
