/**
 * A set that all entry and control processes share: each sends its changes to the others, and whole sets are
 * exchanged where their hashes differ. The rules of a set define its items and how two sets merge.
 */

/** How often whole sets are compared by their hashes, ms: three times within the time that an update may take. */
const COMPARE_INTERVAL_MS = 1_000;

/** Minimum interval between two replies with the whole set to the same process, ms. */
const FULL_SEND_INTERVAL_MS = 300;

/** Sends an update to one other process. */
export type SendUpdate<Update> = (update: Update) => void;

/** A set after a change, with the items that changed. */
export interface SharedSetStep<State, Item> {
  readonly state: State;
  readonly changed: readonly Item[];
}

/** Rules of a set. `merge` must not depend on the order or repetition of updates. */
export interface SharedSetRules<State, Item, Update> {
  readonly empty: State;
  readonly itemsOf: (state: State) => readonly Item[];
  /** Hash of the whole set; 0 for an empty one. */
  readonly hash: (state: State) => number;
  readonly merge: (state: State, update: Update, now: number) => SharedSetStep<State, Item>;
  /** Drops expired items; returns the same state if there are none. */
  readonly dropExpired: (state: State, now: number) => State;
  /** Messages of bounded size with the items and the hash of the set; at least one message, even without items. */
  readonly toUpdates: (state: State, items: readonly Item[], now: number) => readonly Update[];
}

/** An update, which may be split over several messages. */
export interface SharedSetUpdate {
  readonly records: readonly unknown[];
  /** Hash of the sender's whole set. */
  readonly hash: number;
  /** Whether further messages with the rest of the records follow. */
  readonly isPartial?: boolean;
}

/** Dependencies of {@link DaemonSharedSet}. */
export interface SharedSetOptions<Item, Update> {
  readonly now: () => number;
  /** Sends an update to all connected processes but the one that it came from; `from` is null for an own change. */
  readonly publish: (update: Update, from: string | null) => void;
  /** Called after changes are published; `from` is null for an own change. */
  readonly onChanged: (changed: readonly Item[], from: string | null) => void;
  /** Called after each change of the set. */
  readonly onStateChange?: () => void;
}

/** The set as held by one process. */
export class DaemonSharedSet<State, Item, Update extends SharedSetUpdate> {
  readonly #rules: SharedSetRules<State, Item, Update>;

  readonly #options: SharedSetOptions<Item, Update>;

  #state: State;

  /** When the whole set was last sent to another process in reply, ms, by its name. */
  readonly #allSentAt = new Map<string, number>();

  /** Records of the partial updates that the rest hasn't followed yet, by sender. */
  readonly #partialRecords = new Map<string, readonly unknown[]>();

  #comparedAt = -Infinity;

  constructor(rules: SharedSetRules<State, Item, Update>, options: SharedSetOptions<Item, Update>) {
    this.#rules = rules;
    this.#options = options;
    this.#state = rules.empty;
  }

  get state(): State {
    return this.#state;
  }

  /** Applies a change made by this process, or where `from` is given, by an update from that process. */
  apply({ state, changed }: SharedSetStep<State, Item>, from: string | null = null): void {
    this.#replace(state);
    if (changed.length > 0) {
      this.#toUpdates(changed).forEach((update) => this.#options.publish(update, from));
      this.#options.onChanged(changed, from);
    }
  }

  /**
   * Merges an update from another process once all of its messages have come, as each merge takes a pass over the set;
   * replies with the whole set if that process holds a different one.
   */
  onUpdate(update: Update, from: string, reply: SendUpdate<Update>): void {
    const records = [...(this.#partialRecords.get(from) ?? []), ...update.records];
    if (update.isPartial === true) {
      this.#partialRecords.set(from, records);
      return;
    }
    // If the rest of an earlier update was lost, its records come with this one: their order doesn't matter.
    this.#partialRecords.delete(from);
    const now = this.#options.now();
    this.apply(this.#rules.merge(this.#state, { ...update, records }, now), from);
    const sentAt = this.#allSentAt.get(from) ?? -Infinity;
    if (update.hash !== this.#rules.hash(this.#state) && now - sentAt >= FULL_SEND_INTERVAL_MS) {
      this.#allSentAt.set(from, now);
      this.#toUpdates(this.#items).forEach(reply);
    }
  }

  /** Sends the whole set to a newly connected process. */
  sendAll(send: SendUpdate<Update>): void {
    if (this.#items.length > 0) {
      this.#toUpdates(this.#items).forEach(send);
    }
  }

  /**
   * Drops expired items, and has others compare their sets with this one: updates are lost when a hub crashes, in a
   * partition, or while a process is suspended.
   */
  tick(): void {
    const now = this.#options.now();
    this.#replace(this.#rules.dropExpired(this.#state, now));
    if (this.#items.length > 0 && now - this.#comparedAt >= COMPARE_INTERVAL_MS) {
      this.#comparedAt = now;
      this.#toUpdates([]).forEach((update) => this.#options.publish(update, null));
    }
  }

  get #items(): readonly Item[] {
    return this.#rules.itemsOf(this.#state);
  }

  #toUpdates(items: readonly Item[]): readonly Update[] {
    return this.#rules.toUpdates(this.#state, items, this.#options.now());
  }

  #replace(state: State): void {
    if (state !== this.#state) {
      this.#state = state;
      this.#options.onStateChange?.();
    }
  }
}
