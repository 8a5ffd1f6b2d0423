/** Opens links to targets in several stages, and reports the stage at which an attempt failed. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import type { Address } from './TransportAddress.js';
import {
  HEARTBEAT_METHOD,
  TransportLink,
  type LinkHandlers,
  type LinkSwitch,
} from './TransportLink.js';

/**
 * Limit on connecting, ms: three round trips between regions. A host without power drops the attempt, and the kernel
 * retries only after a second, when the host may have been up for a while.
 */
const CONNECT_TIMEOUT_MS = 300;

/** Target of a link. */
export interface LinkTarget {
  readonly name: string;
  readonly address: Address;
}

/** Stage of an attempt: `connect`, `signOfLife` (the peer answers a ping) and `join` (the link's `onUp`). */
export type LinkStage = 'connect' | 'signOfLife' | 'join';

/** A failed attempt. */
export interface LinkAttemptFailure {
  readonly target: string;
  readonly stage: LinkStage;
  readonly reason: string;
}

/** Options of a connector. */
export interface LinkConnectorOptions {
  readonly handlers: LinkHandlers;
  readonly isCut?: LinkSwitch | undefined;
  /** Called with each new link; if it rejects, the link is closed. */
  readonly onUp: (link: TransportLink) => Promise<void>;
  readonly onFailure?: ((failure: LinkAttemptFailure) => void) | undefined;
}

/**
 * Opens a socket. Rejects after {@link CONNECT_TIMEOUT_MS}.
 *
 * Without this limit, an attempt to connect to a host without power would last for as long as the kernel retries, and
 * delay a process that needs a link, or two control hosts that could elect a leader. `setTimeout` is used because
 * `AbortSignal.any` refers to a timeout signal only weakly, so that a garbage collection can remove its timer.
 */
async function openSocket(address: Address, signal: AbortSignal): Promise<Socket> {
  const socket = connect({ host: address.host, port: address.port });
  const abort = (): void => {
    socket.destroy(new Error('connect timed out or was given up'));
  };
  const timer = setTimeout(abort, CONNECT_TIMEOUT_MS);
  signal.addEventListener('abort', abort);
  if (signal.aborted) {
    abort();
  }
  try {
    await once(socket, 'connect');
    return socket;
  } finally {
    clearTimeout(timer);
    signal.removeEventListener('abort', abort);
  }
}

/** Closes a link when the signal aborts; returns a function that undoes this. */
export function closeOnAbort(signal: AbortSignal, link: TransportLink): () => void {
  const onAbort = (): void => link.close();
  signal.addEventListener('abort', onAbort);
  return () => signal.removeEventListener('abort', onAbort);
}

/** Opens links; its methods resolve to null or false if a stage fails. */
export class LinkConnector {
  readonly #options: LinkConnectorOptions;

  constructor(options: LinkConnectorOptions) {
    this.#options = options;
  }

  async connect(target: LinkTarget, signal: AbortSignal): Promise<TransportLink | null> {
    const { handlers, isCut } = this.#options;
    try {
      const socket = await openSocket(target.address, signal);
      const link = new TransportLink(socket, target.name, handlers, isCut);
      link.target = target.name;
      link.notify(HEARTBEAT_METHOD, {});
      return link;
    } catch (err) {
      this.#fail(target.name, 'connect', err);
      return null;
    }
  }

  /** Connects to a target and waits for its answer to a ping; null if either fails. */
  async connectAndPing(
    target: LinkTarget,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<TransportLink | null> {
    const link = await this.connect(target, signal);
    const isAlive =
      link !== null &&
      (await this.#tryStep(link, signal, 'signOfLife', async () =>
        link.request(HEARTBEAT_METHOD, {}, timeoutMs),
      ));
    return isAlive ? link : null;
  }

  /** Runs `onUp` with the link; false if that fails. */
  async bringUp(link: TransportLink, signal: AbortSignal): Promise<boolean> {
    return this.#tryStep(link, signal, 'join', async () => this.#options.onUp(link));
  }

  /** Runs a stage of an attempt; the link is closed if that fails or if the signal aborts meanwhile. */
  async #tryStep(
    link: TransportLink,
    signal: AbortSignal,
    stage: LinkStage,
    step: () => Promise<unknown>,
  ): Promise<boolean> {
    const undo = closeOnAbort(signal, link);
    try {
      await step();
      return !signal.aborted;
    } catch (err) {
      this.#fail(link.target, stage, err);
      link.close();
      return false;
    } finally {
      undo();
    }
  }

  #fail(target: string, stage: LinkStage, err: unknown): void {
    this.#options.onFailure?.({ target, stage, reason: (err as Error).message });
  }
}
