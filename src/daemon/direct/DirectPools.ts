/** Connections of an entry process to endpoints, by life. */
import { incarnationKeyOf, type IncarnationKey } from '../../coordination/index.js';
import type { MemberRecord } from '../../protocol/index.js';
import { openPool, type EndpointPool } from '../../transport/index.js';

/** Part of an endpoint's connections that the entry processes use together: others call it too. */
const USED_SHARE = 0.8;

/** Fewer entry processes are never counted: others may not be known yet. */
const LEAST_SHARERS = 2;

/** Every endpoint gets at least this many connections from here. */
const LEAST_CONNECTIONS = 2;

/** Task state of the process. */
export class DirectPools {
  readonly #pools = new Map<IncarnationKey, EndpointPool>();

  /**
   * The connections to an endpoint, of which it takes `mostConnections` from all entry processes together.
   */
  to(endpoint: MemberRecord, mostConnections: number, entryHosts: number): EndpointPool {
    const known = this.#pools.get(incarnationKeyOf(endpoint));
    if (known !== undefined) {
      return known;
    }
    const sharers = Math.max(LEAST_SHARERS, entryHosts);
    const own = Math.floor((mostConnections * USED_SHARE) / sharers);
    const pool = openPool(`http://${endpoint.address}`, Math.max(LEAST_CONNECTIONS, own));
    this.#pools.set(incarnationKeyOf(endpoint), pool);
    return pool;
  }

  /** Closes the connections to lives that aren't kept; what runs on them may end. */
  keep(isKept: (life: IncarnationKey) => boolean): void {
    [...this.#pools].forEach(([life, pool]) => {
      if (!isKept(life)) {
        this.#pools.delete(life);
        pool.pool.close().catch(() => undefined);
      }
    });
  }
}
