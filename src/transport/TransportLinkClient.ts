/** Maintains one link to one of several targets. */
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

/** Base of the pause between attempts, ms; short, as hosts that lost power are back within tenths of a second. */
const BASE_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** Interval at which a client that isn't linked to the first target tries to return to it, ms. */
const RETURN_INTERVAL_MS = 5_000;

/** Reason of a search: `other` if the current target doesn't respond, `return` if the preferred one may be back. */
export type LinkSearchReason = 'other' | 'return';

/** Result of a search. */
export interface LinkSearchResult {
  readonly reason: LinkSearchReason;
  /** Target of the current link. */
  readonly from: string;
  readonly targets: readonly string[];
  /** Target of the link that was found; null if none was. */
  readonly found: string | null;
  /** Whether the search was stopped early. */
  readonly stopped: boolean;
}

/** Options of a link client. */
export interface LinkClientOptions {
  /** Returns the targets in order of preference; called for each connection. */
  readonly targets: () => readonly LinkTarget[];
  readonly handlers: LinkHandlers;
  readonly signal: AbortSignal;
  readonly isCut?: LinkSwitch;
  /** Called with each new link; if it rejects, the link is closed and another target is tried. */
  readonly onUp: (link: TransportLink) => Promise<void>;
  /** Returns a random number from 0 to 1, to spread reconnects. */
  readonly jitter: () => number;
  /** Called with each failed attempt, including aborted ones. */
  readonly onFailure?: (failure: LinkAttemptFailure) => void;
  /** Called at the end of each search. */
  readonly onSearched?: (result: LinkSearchResult) => void;
}

/** A search in progress. */
interface LinkSearch {
  readonly reason: LinkSearchReason;
  readonly stop: AbortController;
}

/** Opens a link, and a new one whenever it ends, until the signal aborts. */
export class TransportLinkClient {
  readonly #options: LinkClientOptions;

  readonly #connector: LinkConnector;

  #link: TransportLink | null = null;

  /** A link found by a search, which replaces the current one. */
  #replacement: TransportLink | null = null;

  #search: LinkSearch | null = null;

  /** Whether to search for another target once the search in progress has ended. */
  #isSearchQueued = false;

  /** Resolves once no search is in progress. */
  #searchDone: Promise<void> = Promise.resolve();

  readonly #createdAt = performance.now();

  /** When something was last received on an ended link; at first, when this client was created. */
  #lastReceivedEarlier = this.#createdAt;

  constructor(options: LinkClientOptions) {
    this.#options = options;
    this.#connector = new LinkConnector(options);
    this.#run().catch(() => undefined);
  }

  /** The current link, after its `onUp` has resolved; null if there is none. */
  get link(): TransportLink | null {
    return this.#link;
  }

  /** When something was last received on the current or an earlier link, ms on the local monotonic clock. */
  get lastReceivedAt(): number {
    return this.#link?.hasReceived === true ? this.#link.lastReceivedAt : this.#lastReceivedEarlier;
  }

  /** Whether anything was ever received; until then {@link lastReceivedAt} is when this client was created. */
  get hasReceived(): boolean {
    return this.lastReceivedAt > this.#createdAt;
  }

  /** Calls a method of the peer. Rejects at once if there is no link. */
  async request(method: string, params: unknown, timeoutMs?: number): Promise<unknown> {
    if (this.#link === null) {
      throw new Error('no link');
    }
    return this.#link.request(method, params, timeoutMs);
  }

  /** Checks that the peer responds. Rejects at once if there is no link. */
  async ping(timeoutMs: number): Promise<void> {
    await this.request(HEARTBEAT_METHOD, {}, timeoutMs);
  }

  /** Sends a message without waiting for an answer; does nothing if there is no link. */
  notify(method: string, params: unknown): void {
    this.#link?.notify(method, params);
  }

  /**
   * Searches for another target while the current link stays open; the first new link replaces it. The search ends with
   * {@link stopSearch} and continues if the current link ends. A return in progress is stopped first, since it tries
   * only one target.
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
   * Stops a search for another target, because the current one responds again. A return to the preferred target
   * continues, since it doesn't depend on that.
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
      // Sequential by design: this loop owns the only link.
      // eslint-disable-next-line no-await-in-loop
      const link = this.#takeReplacement() ?? (await this.#openAny(failures));
      // eslint-disable-next-line no-await-in-loop
      await this.#serveLink(link);
      // A target whose link timed out is probably still unreachable; trying it first would delay the others.
      failures = link === null || link.hasTimedOut ? failures + 1 : 0;
      const pause = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** failures);
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
   * Opens a link to the first target that responds; null if none does. The first `failures` targets are tried last.
   * Targets are tried concurrently, since one of them may have no power yet.
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

  /** Connects to a target and runs `onUp`; null if either fails. */
  async #open(target: LinkTarget | undefined): Promise<TransportLink | null> {
    const { signal } = this.#options;
    const link = target === undefined ? null : await this.#connector.connect(target, signal);
    return link !== null && (await this.#connector.bringUp(link, signal)) ? link : null;
  }

  /** Makes a link the current one until it ends. */
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
   * Tries to return to the first target at an interval. Otherwise the clients of a restarted process would stay with
   * others, and the processes of an availability zone that is cut off later would be linked to other zones.
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
   * Searches while the current link stays open until another target has responded; several are tried concurrently. The
   * kernel of a frozen host still accepts connections, so a process that closed its link first could get stuck at such
   * a host, and would serve callers with an older configuration meanwhile.
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
