/**
 * A set that all entry and control processes hold alike: each tells the others of its changes, and whole sets are
 * compared and exchanged where they differ. What is in it, and how two of them merge, its rules say.
 */

/** How often whole sets are compared by their hashes: within the time that news may take, thrice over. In ms. */
const COMPARE_MS = 1_000;

/** A whole set is sent to one process at most this often, ms. */
const WHOLE_MS = 300;

/** Sends a message to one other process. */
export type SendShared<News> = (news: News) => void;

/** A set after a change, with the items that are news. */
export interface SharedSetStep<State, Item> {
  readonly state: State;
  readonly changed: readonly Item[];
}

/** What the set is made of; `merge` must not depend on the order or the repetition of news. */
export interface SharedSetRules<State, Item, News> {
  readonly empty: State;
  readonly itemsOf: (state: State) => readonly Item[];
  /** Stands for the whole set; 0 for an empty one. */
  readonly hash: (state: State) => number;
  readonly merge: (state: State, news: News, now: number) => SharedSetStep<State, Item>;
  /** Drops what is too old; the same state where nothing is. */
  readonly forget: (state: State, now: number) => State;
  /** Items as they are told, in messages of a bounded size; one at least. */
  readonly write: (state: State, items: readonly Item[], now: number) => readonly News[];
}

/** What the task needs. */
export interface SharedSetOptions<Item, News> {
  readonly now: () => number;
  /** Sends to the processes that this one tells, but for the one that the news came from. */
  readonly publish: (news: News, from: string | null) => void;
  /** Called once changes are published; `from` is null for this process's own. */
  readonly onChanged: (changed: readonly Item[], from: string | null) => void;
  /** Called each time that the set is another one. */
  readonly onReplaced?: () => void;
}

/** The set of one process. */
export class DaemonSharedSet<State, Item, News extends { readonly hash: number }> {
  readonly #rules: SharedSetRules<State, Item, News>;

  readonly #options: SharedSetOptions<Item, News>;

  #state: State;

  /** When another process was last sent the whole set, ms. */
  readonly #wholeSentAt = new Map<string, number>();

  #comparedAt = -Infinity;

  constructor(rules: SharedSetRules<State, Item, News>, options: SharedSetOptions<Item, News>) {
    this.#rules = rules;
    this.#options = options;
    this.#state = rules.empty;
  }

  get state(): State {
    return this.#state;
  }

  /** Takes a change of this process's own, or of another's news. */
  take({ state, changed }: SharedSetStep<State, Item>, from: string | null = null): void {
    this.#replace(state);
    if (changed.length > 0) {
      this.#write(changed).forEach((news) => this.#options.publish(news, from));
      this.#options.onChanged(changed, from);
    }
  }

  /** Takes news of another process, and answers with the whole set where that process holds another. */
  onNews(news: News, from: string, reply: SendShared<News>): void {
    const now = this.#options.now();
    this.take(this.#rules.merge(this.#state, news, now), from);
    const sentAt = this.#wholeSentAt.get(from) ?? -Infinity;
    if (news.hash !== this.#rules.hash(this.#state) && now - sentAt >= WHOLE_MS) {
      this.#wholeSentAt.set(from, now);
      this.#write(this.#items).forEach(reply);
    }
  }

  /** Sends the whole set to a process that this one has just met. */
  introduce(send: SendShared<News>): void {
    if (this.#items.length > 0) {
      this.#write(this.#items).forEach(send);
    }
  }

  /**
   * Forgets what is old, and has others compare their sets with this one: news gets lost with a hub that dies, a
   * partition or a process that stood still.
   */
  tick(): void {
    const now = this.#options.now();
    this.#replace(this.#rules.forget(this.#state, now));
    if (this.#items.length > 0 && now - this.#comparedAt >= COMPARE_MS) {
      this.#comparedAt = now;
      this.#write([]).forEach((news) => this.#options.publish(news, null));
    }
  }

  get #items(): readonly Item[] {
    return this.#rules.itemsOf(this.#state);
  }

  #write(items: readonly Item[]): readonly News[] {
    return this.#rules.write(this.#state, items, this.#options.now());
  }

  #replace(state: State): void {
    if (state !== this.#state) {
      this.#state = state;
      this.#options.onReplaced?.();
    }
  }
}
