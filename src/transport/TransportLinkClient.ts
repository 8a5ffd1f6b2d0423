/** Keeps one link up to one of several addresses. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { Address } from './TransportAddress.js';
import { BEAT, TransportLink, type LinkHandlers, type LinkSwitch } from './TransportLink.js';

const CONNECT_MS = 1_500;
const BACKOFF_MS = 100;
const BACKOFF_MAX_MS = 1_000;

/** How often a link to another than the first target is reconsidered. In ms. */
const RETURN_MS = 5_000;

/**
 * In a search the next target is tried too after this long: some ten round trips between AZs, so that one
 * that is out of reach costs little, and one that is near is alone. In ms.
 */
const STAGGER_MS = 100;

/** A target that gives no sign of life for this long is left out of a search. In ms. */
const PING_MS = 1_000;

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
  /** Number from 0 to 1, to spread reconnects. */
  readonly jitter: () => number;
}

/**
 * Connects.
 *
 * Failure: a host is dark and answers nothing. Symptom: the attempt hangs for as long as the kernel tries, and
 * with it the process that waits for a hub, or two control hosts that could elect a leader. Enough: a timer that
 * the event loop holds ends it. `AbortSignal.any` holds a timeout signal only weakly: with the first garbage
 * collection its timer is gone.
 */
async function openSocket(address: Address, signal: AbortSignal): Promise<Socket> {
  const socket = connect({ host: address.host, port: address.port });
  const giveUp = (): void => {
    socket.destroy(new Error('connect timed out or was given up'));
  };
  const timer = setTimeout(giveUp, CONNECT_MS);
  signal.addEventListener('abort', giveUp);
  if (signal.aborted) {
    giveUp();
  }
  try {
    await once(socket, 'connect');
    return socket;
  } finally {
    clearTimeout(timer);
    signal.removeEventListener('abort', giveUp);
  }
}

/** Closes a link when a signal comes; returns its undo. */
function closeWith(signal: AbortSignal, link: TransportLink): () => void {
  const onAbort = (): void => link.close();
  signal.addEventListener('abort', onAbort);
  return () => signal.removeEventListener('abort', onAbort);
}

/** A link that is made anew whenever it ends, until the signal. */
export class TransportLinkClient {
  readonly #options: LinkClientOptions;

  #link: TransportLink | null = null;

  /** A link that a search has found, to take the place of the present one. */
  #found: TransportLink | null = null;

  #search: AbortController | null = null;

  /** Resolves once no search is under way. */
  #searched: Promise<void> = Promise.resolve();

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

  /** Asks the peer for a sign of life. Rejects at once while there is no link. */
  async ping(timeoutMs: number): Promise<void> {
    await this.request(BEAT, {}, timeoutMs);
  }

  /** Sends without waiting for an answer; does nothing while there is no link. */
  notify(method: string, params: unknown): void {
    this.#link?.notify(method, params);
  }

  /**
   * Looks for another target while this link stays; the first that is up takes its place. Ends with
   * {@link stopSearch}; if this link ends first, the search goes on.
   */
  searchOther(): void {
    const current = this.#link?.target;
    this.#startSearch(this.#options.targets().filter(({ name }) => name !== current));
  }

  /** Ends a search: the present link is of use again. */
  stopSearch(): void {
    this.#search?.abort();
  }

  async #run(): Promise<void> {
    const { signal, jitter } = this.#options;
    let failures = 0;
    while (!signal.aborted) {
      // eslint-disable-next-line no-await-in-loop
      await this.#searched;
      const targets = this.#options.targets();
      const target = targets[failures % targets.length];
      // One connection at a time, by design: this loop is the owner of the link.
      // eslint-disable-next-line no-await-in-loop
      const link = this.#takeFound() ?? (await this.#open(target));
      // eslint-disable-next-line no-await-in-loop
      await this.#keep(link);
      // A target that went silent is likely out of reach still: connecting to it first would hang.
      failures = link === null || link.wasSilent ? failures + 1 : 0;
      const pause = Math.min(
        BACKOFF_MAX_MS,
        BACKOFF_MS * 2 ** Math.floor(failures / Math.max(1, targets.length)),
      );
      if (this.#found === null) {
        // eslint-disable-next-line no-await-in-loop
        await delay(pause * (0.5 + jitter()), undefined, { signal }).catch(() => undefined);
      }
    }
    this.#takeFound()?.close();
  }

  #takeFound(): TransportLink | null {
    const found = this.#found;
    this.#found = null;
    return found;
  }

  /** Connects to a target and brings the link up; null where that fails. */
  async #open(target: LinkTarget | undefined): Promise<TransportLink | null> {
    const { signal } = this.#options;
    const link = target === undefined ? null : await this.#connect(target, signal);
    return link !== null && (await this.#bringUp(link, signal)) ? link : null;
  }

  async #connect(target: LinkTarget, signal: AbortSignal): Promise<TransportLink | null> {
    const { handlers, isCut } = this.#options;
    try {
      const socket = await openSocket(target.address, signal);
      const link = new TransportLink(socket, target.name, handlers, isCut);
      link.target = target.name;
      return link;
    } catch {
      // Out of reach or refused: whoever asked tries the next target, and the backoff bounds how often.
      return null;
    }
  }

  async #bringUp(link: TransportLink, signal: AbortSignal): Promise<boolean> {
    const undo = closeWith(signal, link);
    try {
      await this.#options.onUp(link);
      return !signal.aborted;
    } catch {
      // The peer took no part: as if it were out of reach.
      link.close();
      return false;
    } finally {
      undo();
    }
  }

  /** Serves a link to its end. */
  async #keep(link: TransportLink | null): Promise<void> {
    if (link === null) {
      return;
    }
    const undo = closeWith(this.#options.signal, link);
    const stop = this.#returnToFirst(link);
    this.#link = link;
    await link.closed;
    this.#link = null;
    stop();
    undo();
    this.#heardBefore = link.hasHeard ? link.heardAt : this.#heardBefore;
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
          this.#startSearch([first]);
        }
      },
      RETURN_MS * (0.5 + jitter()),
    );
    return () => clearInterval(timer);
  }

  /**
   * Failure: a hub freezes, and connections to it still open, since its kernel takes them. Symptom: a process
   * that gives its link up for another hangs there, and callers are served by an older configuration
   * meanwhile. Enough: the link stays until another target has answered, and several are asked side by side.
   */
  #startSearch(targets: readonly LinkTarget[]): void {
    if (this.#link === null || this.#search !== null) {
      return;
    }
    const search = new AbortController();
    this.#search = search;
    this.#searched = this.#raceFor(targets, search).then((found) => {
      this.#search = null;
      this.#found = found;
      if (found !== null) {
        this.#link?.close();
      }
    });
  }

  /** The first link of several that is up; null where none came up before the search ended. */
  async #raceFor(
    targets: readonly LinkTarget[],
    search: AbortController,
  ): Promise<TransportLink | null> {
    const signal = AbortSignal.any([this.#options.signal, search.signal]);
    let found: TransportLink | null = null;
    // One at a time is brought up, so that no two hubs count this process as theirs.
    let turn = Promise.resolve();
    const bringUp = async (link: TransportLink): Promise<void> => {
      if (found === null && !signal.aborted && (await this.#bringUp(link, signal))) {
        found = link;
        search.abort();
      } else {
        link.close();
      }
    };
    const tryTarget = async (target: LinkTarget, i: number): Promise<void> => {
      await delay(i * STAGGER_MS, undefined, { signal }).catch(() => undefined);
      const link = signal.aborted ? null : await this.#reach(target, signal);
      if (link !== null) {
        turn = turn.then(async () => bringUp(link));
        await turn;
      }
    };
    await Promise.all(targets.map(tryTarget));
    return found;
  }

  /** Connects to a target and waits for a sign of life. */
  async #reach(target: LinkTarget, signal: AbortSignal): Promise<TransportLink | null> {
    const link = await this.#connect(target, signal);
    if (link === null) {
      return null;
    }
    const undo = closeWith(signal, link);
    try {
      await link.request(BEAT, {}, PING_MS);
      return link;
    } catch {
      // Frozen, or the search has ended.
      link.close();
      return null;
    } finally {
      undo();
    }
  }
}
