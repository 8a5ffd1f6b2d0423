/** Large messages over a link: packed, compressed, and sent in parts at a limited rate. */
import { promisify } from 'node:util';
import { deflateRaw, inflateRawSync } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import type { LinkHandler, LinkHandlers, TransportLink } from './TransportLink.js';

const deflate = promisify(deflateRaw);

/** Maximum size of a part, in bytes. */
export const PART_BYTES = 4_096;

/** Messages up to this size, in bytes, are sent whole and uncompressed. */
const MAX_UNSPLIT_BYTES = 1_024;

interface Part {
  readonly id: number;
  readonly method: string;
  readonly part: number;
  readonly parts: number;
  readonly bytes: Uint8Array;
}

/** Returns how long to wait after sending a number of bytes, ms. */
export type SendDelay = (bytes: number) => number;

/** Sends messages in order; large ones are sent in parts, with the given delay after each part. */
export class PartsSender {
  readonly #link: TransportLink;

  readonly #sendDelay: SendDelay;

  #queue: Promise<void> = Promise.resolve();

  /** Queued messages by method that can still be merged with later ones. */
  readonly #mergeable = new Map<string, { params: unknown }>();

  #counter = 0;

  constructor(link: TransportLink, sendDelay: SendDelay) {
    this.#link = link;
    this.#sendDelay = sendDelay;
  }

  /** Queues a message. */
  notify(method: string, params: unknown): void {
    const packed = pack(params);
    this.#queue = this.#queue
      .then(async () => this.#send(method, params, packed))
      .catch(() => undefined);
  }

  /**
   * Queues a message, or merges it with the last queued one of its method; `merge` returns null if the
   * two can't be merged.
   *
   * If large messages are queued faster than they can be sent, the newest would otherwise arrive seconds late, behind
   * others that it replaces. With merging, at most one is being sent and one is queued.
   */
  notifyMerged<T>(method: string, params: T, merge: (waiting: T, next: T) => T | null): void {
    const waiting = this.#mergeable.get(method);
    const merged = waiting === undefined ? null : merge(waiting.params as T, params);
    if (waiting !== undefined && merged !== null) {
      waiting.params = merged;
      return;
    }
    const queued = { params: params as unknown };
    this.#mergeable.set(method, queued);
    this.#queue = this.#queue
      .then(async () => {
        if (this.#mergeable.get(method) === queued) {
          this.#mergeable.delete(method);
        }
        await this.#send(method, queued.params, pack(queued.params));
      })
      .catch(() => undefined);
  }

  async #send(method: string, params: unknown, packed: Buffer): Promise<void> {
    if (packed.length <= MAX_UNSPLIT_BYTES) {
      this.#link.notify(method, params);
      this.#sendDelay(packed.length);
      return;
    }
    const bytes = await deflate(packed);
    const parts = Math.ceil(bytes.length / PART_BYTES);
    this.#counter += 1;
    const id = this.#counter;
    const sendFrom = async (part: number): Promise<void> => {
      if (part >= parts) {
        return;
      }
      const slice = bytes.subarray(part * PART_BYTES, (part + 1) * PART_BYTES);
      this.#link.notify('link.part', { id, method, part, parts, bytes: slice } satisfies Part);
      const waitMs = this.#sendDelay(slice.length);
      if (waitMs > 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, waitMs).unref();
        });
      }
      await sendFrom(part + 1);
    };
    await sendFrom(0);
  }
}

/** Parts of a message received so far. */
interface PartialMessage {
  readonly id: number;
  readonly parts: readonly Uint8Array[];
}

/**
 * Adds a handler that reassembles parts and passes the complete message to the handler of its method.
 *
 * Parts are kept per link, where they arrive in order. A process has links to two peers while it moves between them;
 * if both send, mixed parts would make both messages incomplete.
 *
 * @param onProgress called for each part that was accepted.
 */
export function withParts(
  handlers: LinkHandlers,
  onProgress: () => void = () => undefined,
): LinkHandlers {
  const byLink = new WeakMap<TransportLink, PartialMessage>();
  const onPart: LinkHandler = (params, link) => {
    const { id, part, parts, method, bytes } = params as Part;
    const previous = part === 0 ? { id, parts: [] } : byLink.get(link);
    if (previous?.id !== id || previous.parts.length !== part) {
      return;
    }
    const received = [...previous.parts, bytes];
    byLink.set(link, { id, parts: received });
    onProgress();
    if (received.length === parts) {
      byLink.delete(link);
      // Synchronously, as a smaller message that arrives next must not overtake this one.
      // eslint-disable-next-line n/no-sync
      handlers[method]?.(unpack(inflateRawSync(Buffer.concat(received))), link);
    }
  };
  return { ...handlers, 'link.part': onPart };
}
