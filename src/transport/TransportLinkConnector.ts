/** Makes links to targets, step by step, and tells where an attempt ended. */
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
 * An attempt to connect takes at most three round trips between regions. A host without power drops it, and the
 * kernel tries again only after a second, by which time the host may have been up for long. In ms.
 */
const CONNECT_TIMEOUT_MS = 300;

/** Where a link may lead. */
export interface LinkTarget {
  readonly name: string;
  readonly address: Address;
}

/** Step of an attempt: the connection, the peer's sign of life, what the user of the link does first. */
export type LinkStage = 'connect' | 'signOfLife' | 'join';

/** An attempt that came to nothing. */
export interface LinkAttemptFailure {
  readonly target: string;
  readonly stage: LinkStage;
  readonly reason: string;
}

/** What a connector needs. */
export interface LinkConnectorOptions {
  readonly handlers: LinkHandlers;
  readonly isCut?: LinkSwitch | undefined;
  /** Called with each new link; if it rejects, the link is closed. */
  readonly onUp: (link: TransportLink) => Promise<void>;
  readonly onFailure?: ((failure: LinkAttemptFailure) => void) | undefined;
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

/** Closes a link when a signal comes; returns its undo. */
export function closeOnAbort(signal: AbortSignal, link: TransportLink): () => void {
  const onAbort = (): void => link.close();
  signal.addEventListener('abort', onAbort);
  return () => signal.removeEventListener('abort', onAbort);
}

/** Makes links; each step resolves to nothing where it fails. */
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
      return link;
    } catch (err) {
      this.#fail(target.name, 'connect', err);
      return null;
    }
  }

  /** Connects to a target and waits for a sign of life. */
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

  /** Has the link's user take it up; false where the peer takes no part. */
  async bringUp(link: TransportLink, signal: AbortSignal): Promise<boolean> {
    return this.#tryStep(link, signal, 'join', async () => this.#options.onUp(link));
  }

  /** Runs a step; a link on which it fails, or that the signal ends meanwhile, is closed. */
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
