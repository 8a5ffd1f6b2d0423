/** Keeps one link up to one of several addresses. */
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { Address } from './TransportAddress.js';
import { TransportLink, type LinkHandlers, type LinkSwitch } from './TransportLink.js';

const CONNECT_MS = 1_500;
const BACKOFF_MS = 100;
const BACKOFF_MAX_MS = 1_000;

/** How often a link to another than the first target is reconsidered. In ms. */
const RETURN_MS = 5_000;

/** Where a link may lead. */
export interface LinkTarget {
  readonly name: string;
  readonly address: Address;
}

/** What a client of links needs. */
export interface LinkClientOptions {
  /** Targets in order of preference; asked again for each connection. */
  readonly targets: () => readonly LinkTarget[];
  readonly handlers: LinkHandlers;
  readonly signal: AbortSignal;
  readonly isCut?: LinkSwitch;
  /** Called with each new link; if it rejects, the link is closed and the next target tried. */
  readonly onUp: (link: TransportLink) => Promise<void>;
  readonly onDown?: (link: TransportLink) => void;
  /** Number from 0 to 1, to spread reconnects. */
  readonly jitter: () => number;
}

async function openSocket(address: Address, signal: AbortSignal) {
  const socket = connect({ host: address.host, port: address.port });
  const limit = AbortSignal.any([signal, AbortSignal.timeout(CONNECT_MS)]);
  await new Promise<void>((resolve, reject) => {
    const abort = () => {
      socket.destroy();
      reject(new Error('connect timed out'));
    };
    limit.addEventListener('abort', abort, { once: true });
    socket.once('error', reject);
    socket.once('connect', () => {
      limit.removeEventListener('abort', abort);
      socket.removeListener('error', reject);
      resolve();
    });
  });
  return socket;
}

/** A link that is made anew whenever it ends, until the signal. */
export class TransportLinkClient {
  readonly #options: LinkClientOptions;

  #link: TransportLink | null = null;

  #dropped = false;

  /** When a peer was last heard on a link that has ended; at first, when this client was made. */
  #heardBefore = performance.now();

  constructor(options: LinkClientOptions) {
    this.#options = options;
    this.#run().catch(() => undefined);
  }

  /** The link, once its `onUp` is through; null while there is none. */
  get link(): TransportLink | null {
    return this.#link;
  }

  /** When a peer was last heard, on this link or an earlier one; ms on the local monotonic clock. */
  get heardAt(): number {
    return this.#link?.hasHeard === true ? this.#link.heardAt : this.#heardBefore;
  }

  /** Calls a method of the peer. Rejects at once while there is no link. */
  async request(method: string, params: unknown, timeoutMs?: number): Promise<unknown> {
    if (this.#link === null) {
      throw new Error('no link');
    }
    return this.#link.request(method, params, timeoutMs);
  }

  /** Sends without waiting for an answer; does nothing while there is no link. */
  notify(method: string, params: unknown): void {
    this.#link?.notify(method, params);
  }

  /** Closes the link because its target is of no use now; the next target is tried first. */
  dropLink(): void {
    this.#dropped = true;
    this.#link?.close();
  }

  async #run(): Promise<void> {
    const { signal, jitter } = this.#options;
    let failures = 0;
    while (!signal.aborted) {
      const targets = this.#options.targets();
      const target = targets[failures % targets.length];
      // One connection at a time, by design: this loop is the owner of the link.
      // eslint-disable-next-line no-await-in-loop
      const served = target !== undefined && (await this.#serve(target));
      failures = served && !this.#dropped ? 0 : failures + 1;
      this.#dropped = false;
      const pause = Math.min(
        BACKOFF_MAX_MS,
        BACKOFF_MS * 2 ** Math.floor(failures / Math.max(1, targets.length)),
      );
      // eslint-disable-next-line no-await-in-loop
      await delay(pause * (0.5 + jitter()), undefined, { signal }).catch(() => undefined);
    }
  }

  /**
   * Ends a link to a target that is second best once the first accepts connections again: else all
   * that moved away from a process that restarted would stay away, and an AZ that is cut off later
   * would find its processes attached elsewhere.
   */
  #returnToFirst(link: TransportLink): () => void {
    const { targets, signal, jitter } = this.#options;
    const timer = setInterval(
      () => {
        const [first] = targets();
        if (first !== undefined && first.name !== link.target) {
          openSocket(first.address, signal)
            .then((socket) => {
              socket.destroy();
              link.close();
            })
            .catch(() => undefined);
        }
      },
      RETURN_MS * (0.5 + jitter()),
    );
    return () => clearInterval(timer);
  }

  /** Serves one connection to its end; false if it did not come up. */
  async #serve(target: LinkTarget): Promise<boolean> {
    const { handlers, signal, isCut, onUp, onDown } = this.#options;
    let link: TransportLink | null = null;
    const onAbort = (): void => link?.close();
    try {
      const socket = await openSocket(target.address, signal);
      link = new TransportLink(socket, target.name, handlers, isCut);
      link.target = target.name;
      signal.addEventListener('abort', onAbort);
      await onUp(link);
      this.#link = link;
      const stop = this.#returnToFirst(link);
      await link.closed;
      stop();
      // A target that went silent is likely out of reach still: connecting to it first would hang.
      this.#dropped = this.#dropped || link.wasSilent;
      return true;
    } catch {
      link?.close();
      return false;
    } finally {
      signal.removeEventListener('abort', onAbort);
      this.#heardBefore = link?.hasHeard === true ? link.heardAt : this.#heardBefore;
      this.#link = null;
      if (link !== null) {
        onDown?.(link);
      }
    }
  }
}
