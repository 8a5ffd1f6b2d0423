/** Sends items in batches, one at a time. */

interface PendingItem<Item, Result> {
  readonly item: Item;
  readonly resolve: (result: Result) => void;
  readonly reject: (err: unknown) => void;
}

/** Collects the items that are added while a batch is on its way, and sends them together in the next one. */
export class DaemonBatcher<Item, Result> {
  readonly #send: (items: readonly Item[]) => Promise<Result>;

  readonly #maxItems: number;

  readonly #queue: PendingItem<Item, Result>[] = [];

  #isSending = false;

  /** `send` must settle in bounded time; its result is that of each item of the batch. */
  constructor(send: (items: readonly Item[]) => Promise<Result>, maxItems: number) {
    this.#send = send;
    this.#maxItems = maxItems;
  }

  /** Resolves with the result of the batch that contains the item. */
  async add(item: Item): Promise<Result> {
    return new Promise((resolve, reject) => {
      this.#queue.push({ item, resolve, reject });
      this.#sendNext();
    });
  }

  #sendNext(): void {
    if (this.#isSending || this.#queue.length === 0) {
      return;
    }
    this.#isSending = true;
    const batch = this.#queue.splice(0, this.#maxItems);
    this.#send(batch.map(({ item }) => item))
      .then(
        (result) => batch.forEach(({ resolve }) => resolve(result)),
        (err: unknown) => batch.forEach(({ reject }) => reject(err)),
      )
      .finally(() => {
        this.#isSending = false;
        this.#sendNext();
      })
      // Both outcomes have been passed on above.
      .catch(() => undefined);
  }
}
