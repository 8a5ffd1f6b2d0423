/** Keeps one link up to one of several addresses. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  HEARTBEAT_METHOD,
  type LinkHandlers,
  type LinkSwitch,
  type TransportLink,
} from './TransportLink.js';
import {
  closeOnAbort,
  LinkConnector,
  type LinkAttemptFailure,
  type LinkTarget,
} from './TransportLinkConnector.js';
import { raceForLink } from './TransportLinkSearch.js';

/** Pause before the first repetition, ms: hosts that lost power together are back within tenths of a second. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** How often a link to another than the first target is reconsidered. In ms. */
const RETURN_INTERVAL_MS = 5_000;

/** Why another target is looked for: the present one is of no use, or one that is preferred may be back. */
export type LinkSearchReason = 'other' | 'return';

/** What a search came to. */
export interface LinkSearchResult {
  readonly reason: LinkSearchReason;
  /** Target of the present link. */
  readonly from: string;
  readonly targets: readonly string[];
  /** Target that was found; null where none was. */
  readonly found: string | null;
  /** Whether it was ended before all targets were tried. */
  readonly stopped: boolean;
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
  /** Number from 0 to 1, to spread reconnects. */
  readonly jitter: () => number;
  /** Called with each attempt that came to nothing, those that were given up included. */
  readonly onFailure?: (failure: LinkAttemptFailure) => void;
  /** Called at the end of each search. */
  readonly onSearched?: (result: LinkSearchResult) => void;
}

/** A search under way. */
interface LinkSearch {
  readonly reason: LinkSearchReason;
  readonly stop: AbortController;
}

/** A link that is made anew whenever it ends, until the signal. */
export class TransportLinkClient {
  readonly #options: LinkClientOptions;

  readonly #connector: LinkConnector;

  #link: TransportLink | null = null;

  /** A link that a search has found, to take the place of the present one. */
  #replacement: TransportLink | null = null;

  #search: LinkSearch | null = null;

  /** Whether another target is to be looked for once the search under way has ended. */
  #isSearchQueued = false;

  /** Resolves once no search is under way. */
  #searchDone: Promise<void> = Promise.resolve();

  /** When a peer was last heard on a link that has ended; at first, when this client was made. */
  #lastReceivedEarlier = performance.now();

  constructor(options: LinkClientOptions) {
    this.#options = options;
    this.#connector = new LinkConnector(options);
    this.#run().catch(() => undefined);
  }

  /** The link, once its `onUp` is through; null while there is none. */
  get link(): TransportLink | null {
    return this.#link;
  }

  /** When a peer was last heard, on this link or an earlier one; ms on the local monotonic clock. */
  get heardAt(): number {
    return this.#link?.hasReceived === true ? this.#link.lastReceivedAt : this.#lastReceivedEarlier;
  }

  /** Calls a method of the peer. Rejects at once while there is no link. */
  async request(method: string, params: unknown, timeoutMs?: number): Promise<unknown> {
    if (this.#link === null) {
      throw new Error('no link');
    }
    return this.#link.request(method, params, timeoutMs);
  }

  /** Asks the peer for a sign of life. Rejects at once while there is no link. */
  async ping(timeoutMs: number): Promise<void> {
    await this.request(HEARTBEAT_METHOD, {}, timeoutMs);
  }

  /** Sends without waiting for an answer; does nothing while there is no link. */
  notify(method: string, params: unknown): void {
    this.#link?.notify(method, params);
  }

  /**
   * Looks for another target while this link stays; the first that is up takes its place. Ends with
   * {@link stopSearch}; if this link ends first, the search goes on. A return under way gives way: it asks
   * but one target.
   */
  searchOther(): void {
    if (this.#search?.reason === 'return') {
      this.#isSearchQueued = true;
      this.#search.stop.abort();
      return;
    }
    const current = this.#link?.target;
    const others = this.#options.targets().filter(({ name }) => name !== current);
    this.#startSearch('other', others);
  }

  /**
   * Ends a search for another target: the present link is of use again. A return goes on: it asks for a better
   * link, not for one in place of a useless one.
   */
  stopSearch(): void {
    this.#isSearchQueued = false;
    if (this.#search?.reason === 'other') {
      this.#search.stop.abort();
    }
  }

  async #run(): Promise<void> {
    const { signal, jitter } = this.#options;
    let failures = 0;
    while (!signal.aborted) {
      // eslint-disable-next-line no-await-in-loop
      await this.#searchDone;
      // One link at a time, by design: this loop is its owner.
      // eslint-disable-next-line no-await-in-loop
      const link = this.#takeReplacement() ?? (await this.#openAny(failures));
      // eslint-disable-next-line no-await-in-loop
      await this.#serveLink(link);
      // A target that went silent is likely out of reach still: connecting to it first would hang.
      failures = link === null || link.hasTimedOut ? failures + 1 : 0;
      const pause = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** failures);
      if (this.#replacement === null) {
        // eslint-disable-next-line no-await-in-loop
        await delay(pause * (0.5 + jitter()), undefined, { signal }).catch(() => undefined);
      }
    }
    this.#takeReplacement()?.close();
  }

  #takeReplacement(): TransportLink | null {
    const found = this.#replacement;
    this.#replacement = null;
    return found;
  }

  /**
   * Makes a link to the first target that answers; null where none does. `failures` moves the first ones to the end.
   * Targets are tried side by side, since one of them may have no power yet.
   */
  async #openAny(failures: number): Promise<TransportLink | null> {
    const { signal, targets } = this.#options;
    const known = targets();
    const first = failures % Math.max(1, known.length);
    const rotated = [...known.slice(first), ...known.slice(0, first)];
    return rotated.length > 1
      ? raceForLink(this.#connector, rotated, { stop: signal, end: signal })
      : this.#open(rotated[0]);
  }

  /** Connects to a target and brings the link up; null where that fails. */
  async #open(target: LinkTarget | undefined): Promise<TransportLink | null> {
    const { signal } = this.#options;
    const link = target === undefined ? null : await this.#connector.connect(target, signal);
    return link !== null && (await this.#connector.bringUp(link, signal)) ? link : null;
  }

  /** Serves a link to its end. */
  async #serveLink(link: TransportLink | null): Promise<void> {
    if (link === null) {
      return;
    }
    const undo = closeOnAbort(this.#options.signal, link);
    const stop = this.#returnToFirst(link);
    this.#link = link;
    await link.closed;
    this.#link = null;
    stop();
    undo();
    this.#lastReceivedEarlier = link.hasReceived ? link.lastReceivedAt : this.#lastReceivedEarlier;
  }

  /**
   * Looks for the first target while a link leads elsewhere: else all that moved away from a process that
   * restarted would stay away, and an AZ that is cut off later would find its processes attached elsewhere.
   */
  #returnToFirst(link: TransportLink): () => void {
    const { targets, jitter } = this.#options;
    const timer = setInterval(
      () => {
        const [first] = targets();
        if (first !== undefined && first.name !== link.target) {
          this.#startSearch('return', [first]);
        }
      },
      RETURN_INTERVAL_MS * (0.5 + jitter()),
    );
    return () => clearInterval(timer);
  }

  /**
   * Failure: a hub freezes, and connections to it still open, since its kernel takes them. Symptom: a process
   * that gives its link up for another hangs there, and callers are served by an older configuration
   * meanwhile. Enough: the link stays until another target has answered, and several are asked side by side.
   */
  #startSearch(reason: LinkSearchReason, targets: readonly LinkTarget[]): void {
    const from = this.#link?.target;
    if (from === undefined || this.#search !== null) {
      return;
    }
    const stop = new AbortController();
    this.#search = { reason, stop };
    const signals = { stop: stop.signal, end: this.#options.signal };
    this.#searchDone = raceForLink(this.#connector, targets, signals).then((found) => {
      this.#options.onSearched?.({
        reason,
        from,
        targets: targets.map(({ name }) => name),
        found: found?.target ?? null,
        stopped: stop.signal.aborted,
      });
      this.#onSearched(found);
    });
  }

  #onSearched(found: TransportLink | null): void {
    this.#search = null;
    this.#replacement = found;
    const isSearchQueued = this.#isSearchQueued && found === null;
    this.#isSearchQueued = false;
    if (found !== null) {
      this.#link?.close();
    } else if (isSearchQueued) {
      this.searchOther();
    }
  }
}
