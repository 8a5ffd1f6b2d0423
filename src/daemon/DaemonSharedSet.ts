/**
 * A set that all entry and control processes hold alike: each tells the others of its changes, and whole sets are
 * compared and exchanged where they differ. What is in it, and how two of them merge, its rules say.
 */

/** How often whole sets are compared by their hashes: within the time that news may take, thrice over. In ms. */
const COMPARE_INTERVAL_MS = 1_000;

/** A whole set is sent to one process at most this often, ms. */
const FULL_SEND_INTERVAL_MS = 300;

/** Sends a message to one other process. */
export type SendUpdate<Update> = (update: Update) => void;

/** A set after a change, with the items that are news. */
export interface SharedSetStep<State, Item> {
  readonly state: State;
  readonly changed: readonly Item[];
}

/** What the set is made of; `merge` must not depend on the order or the repetition of news. */
export interface SharedSetRules<State, Item, Update> {
  readonly empty: State;
  readonly itemsOf: (state: State) => readonly Item[];
  /** Stands for the whole set; 0 for an empty one. */
  readonly hash: (state: State) => number;
  readonly merge: (state: State, update: Update, now: number) => SharedSetStep<State, Item>;
  /** Drops what is too old; the same state where nothing is. */
  readonly dropExpired: (state: State, now: number) => State;
  /** Items as they are told, in messages of a bounded size; one at least. */
  readonly toUpdates: (state: State, items: readonly Item[], now: number) => readonly Update[];
}

/** What the task needs. */
export interface SharedSetOptions<Item, Update> {
  readonly now: () => number;
  /** Sends to the processes that this one tells, but for the one that the news came from. */
  readonly publish: (update: Update, from: string | null) => void;
  /** Called once changes are published; `from` is null for this process's own. */
  readonly onChanged: (changed: readonly Item[], from: string | null) => void;
  /** Called each time that the set is another one. */
  readonly onStateChange?: () => void;
}

/** The set of one process. */
export class DaemonSharedSet<State, Item, Update extends { readonly hash: number }> {
  readonly #rules: SharedSetRules<State, Item, Update>;

  readonly #options: SharedSetOptions<Item, Update>;

  #state: State;

  /** When another process was last sent the whole set, ms. */
  readonly #allSentAt = new Map<string, number>();

  #comparedAt = -Infinity;

  constructor(rules: SharedSetRules<State, Item, Update>, options: SharedSetOptions<Item, Update>) {
    this.#rules = rules;
    this.#options = options;
    this.#state = rules.empty;
  }

  get state(): State {
    return this.#state;
  }

  /** Takes a change of this process's own, or of another's news. */
  apply({ state, changed }: SharedSetStep<State, Item>, from: string | null = null): void {
    this.#replace(state);
    if (changed.length > 0) {
      this.#toUpdates(changed).forEach((update) => this.#options.publish(update, from));
      this.#options.onChanged(changed, from);
    }
  }

  /** Takes news of another process, and answers with the whole set where that process holds another. */
  onUpdate(update: Update, from: string, reply: SendUpdate<Update>): void {
    const now = this.#options.now();
    this.apply(this.#rules.merge(this.#state, update, now), from);
    const sentAt = this.#allSentAt.get(from) ?? -Infinity;
    if (update.hash !== this.#rules.hash(this.#state) && now - sentAt >= FULL_SEND_INTERVAL_MS) {
      this.#allSentAt.set(from, now);
      this.#toUpdates(this.#items).forEach(reply);
    }
  }

  /** Sends the whole set to a process that this one has just met. */
  sendAll(send: SendUpdate<Update>): void {
    if (this.#items.length > 0) {
      this.#toUpdates(this.#items).forEach(send);
    }
  }

  /**
   * Forgets what is old, and has others compare their sets with this one: news gets lost with a hub that dies, a
   * partition or a process that stood still.
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
