/** Bulk over a link: packed, compressed, and sent in parts that can be paced. */
import { promisify } from 'node:util';
import { deflateRaw, inflateRaw } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import type { LinkHandler, LinkHandlers, TransportLink } from './TransportLink.js';

const deflate = promisify(deflateRaw);
const inflate = promisify(inflateRaw);

/** Bytes of one part. */
export const PART_BYTES = 4_096;

/** Messages shorter than this go as they are. In bytes. */
const MAX_UNSPLIT_BYTES = 1_024;

interface Part {
  readonly id: number;
  readonly method: string;
  readonly part: number;
  readonly parts: number;
  readonly bytes: Uint8Array;
}

/** How long to wait after so many bytes were sent. In ms. */
export type SendDelay = (bytes: number) => number;

/** Sends messages in order; what is large goes in parts, at the pace given. */
export class PartsSender {
  readonly #link: TransportLink;

  readonly #sendDelay: SendDelay;

  #queue: Promise<void> = Promise.resolve();

  /** Messages by method that wait in the queue and may still be merged with later ones. */
  readonly #mergeable = new Map<string, { params: unknown }>();

  #counter = 0;

  constructor(link: TransportLink, sendDelay: SendDelay) {
    this.#link = link;
    this.#sendDelay = sendDelay;
  }

  /** Queues a message behind those queued before. */
  notify(method: string, params: unknown): void {
    const packed = pack(params);
    this.#queue = this.#queue
      .then(async () => this.#send(method, params, packed))
      .catch(() => undefined);
  }

  /**
   * Queues a message, or merges it with the last of its method that still waits; `merge` gives null where
   * the two can't be one.
   *
   * Failure: large messages come faster than the pace lets them go. Symptom: the newest arrives seconds
   * late, behind others that it has overtaken. Enough: at most one is on its way and one waits.
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

/** What has come of a message so far. */
interface PartialMessage {
  readonly id: number;
  readonly parts: readonly Uint8Array[];
}

/**
 * Adds to handlers one that puts parts together and hands the whole to the method's own.
 *
 * Failure: a process has links to two hubs while it moves, and both send. Symptom: parts of one message are
 * taken for the other's, and neither arrives. Enough: each link's parts are kept by themselves; on one link
 * they come in order.
 *
 * @param onProgress called with each part that was taken.
 */
export function withParts(
  handlers: LinkHandlers,
  onProgress: () => void = () => undefined,
): LinkHandlers {
  const byLink = new WeakMap<TransportLink, PartialMessage>();
  const onPart: LinkHandler = async (params, link) => {
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
      await handlers[method]?.(unpack(await inflate(Buffer.concat(received))), link);
    }
  };
  return { ...handlers, 'link.part': onPart };
}
