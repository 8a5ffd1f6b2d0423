/** Task of an entry or control process that holds the set of suspects and exchanges it with others. */
import {
  clearSuspect,
  EMPTY_QUARANTINE,
  endsHeld,
  forgetOld,
  hashQuarantine,
  holdEnd,
  mergeNews,
  SUSPECT_MS,
  writeNews,
  type EndpointLife,
  type LostRequest,
  type QuarantineState,
  type QuarantineStep,
  type Suspect,
} from '../coordination/index.js';
import type { QuarantineNews } from '../protocol/index.js';
import type { Runtime } from './DaemonRuntime.js';

/** How often whole sets are compared by their hashes: within the time that news may take, thrice over. In ms. */
const COMPARE_MS = 1_000;

/** A whole set is sent to one process at most this often, ms. */
const WHOLE_MS = 300;

/** Sends a message to one other process. */
export type SendNews = (news: QuarantineNews) => void;

/** What the task needs. */
export interface QuarantineOptions {
  readonly runtime: Pick<Runtime, 'now' | 'log'>;
  /** Sends to the processes that this one tells, but for the one that the news came from. */
  readonly publish: (news: QuarantineNews, from: string | null) => void;
}

/** The set of one process. */
export class DaemonQuarantine {
  readonly #options: QuarantineOptions;

  #state: QuarantineState = EMPTY_QUARANTINE;

  #customers: ReadonlySet<string> = new Set();

  readonly #listeners = new Set<() => void>();

  /** When another process was last sent the whole set, ms. */
  readonly #wholeSentAt = new Map<string, number>();

  #comparedAt = -Infinity;

  constructor(options: QuarantineOptions) {
    this.#options = options;
  }

  /** All suspects that ends are held against. */
  get suspects(): readonly Suspect[] {
    return [...this.#state.values()].filter((suspect) => endsHeld(suspect) > 0);
  }

  /** Whether a customer has suspects: without any there is nothing to compare its requests with. */
  hasSuspectOf(customer: string): boolean {
    return this.#customers.has(customer);
  }

  /** Ends held against a request. */
  endsOf(digest: string): number {
    const suspect = this.#state.get(digest);
    return suspect === undefined ? 0 : endsHeld(suspect);
  }

  /** Time until a request is forgotten, ms. */
  heldForMs(digest: string): number {
    const endedAt = this.#state.get(digest)?.endedAt ?? -Infinity;
    return Math.max(0, endedAt + SUSPECT_MS - this.#options.runtime.now());
  }

  /** Calls a listener after each change; the result takes it off again. */
  registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  holdEnd(life: EndpointLife, lost: readonly LostRequest[]): void {
    this.#take(holdEnd(this.#state, life, lost, this.#options.runtime.now()), null);
  }

  /** Releases a request; true if anything was held against it. */
  clear(digest: string): boolean {
    const step = clearSuspect(this.#state, digest);
    this.#take(step, null);
    return step.changed.length > 0;
  }

  /** Takes news of another process, and answers with the whole set where that process holds another. */
  onNews(news: QuarantineNews, from: string, reply: SendNews): void {
    const now = this.#options.runtime.now();
    this.#take(mergeNews(this.#state, news.records, now), from);
    const sentAt = this.#wholeSentAt.get(from) ?? -Infinity;
    if (news.hash !== hashQuarantine(this.#state) && now - sentAt >= WHOLE_MS) {
      this.#wholeSentAt.set(from, now);
      this.#write([...this.#state.values()]).forEach(reply);
    }
  }

  /** Sends the whole set to a process that this one has just met. */
  introduce(send: SendNews): void {
    if (this.#state.size > 0) {
      this.#write([...this.#state.values()]).forEach(send);
    }
  }

  /**
   * Forgets what is old, and has others compare their sets with this one.
   *
   * Failure: news gets lost with a hub that dies, a cut or a process that stood still. Symptom: one entry process
   * goes on sending what all others refuse. Enough: hashes of whole sets are compared at an interval, and two
   * processes whose sets differ send each other the whole.
   */
  tick(): void {
    const now = this.#options.runtime.now();
    this.#replace(forgetOld(this.#state, now));
    if (this.#state.size > 0 && now - this.#comparedAt >= COMPARE_MS) {
      this.#comparedAt = now;
      this.#write([]).forEach((news) => this.#options.publish(news, null));
    }
  }

  #write(suspects: readonly Suspect[]): readonly QuarantineNews[] {
    return writeNews(this.#state, suspects, this.#options.runtime.now());
  }

  #replace(state: QuarantineState): void {
    if (state !== this.#state) {
      this.#state = state;
      this.#customers = new Set(this.suspects.map(({ customer }) => customer));
    }
  }

  #take({ state, changed }: QuarantineStep, from: string | null): void {
    this.#replace(state);
    if (changed.length === 0) {
      return;
    }
    this.#log(changed, from);
    this.#write(changed).forEach((news) => this.#options.publish(news, from));
    this.#listeners.forEach((listener) => listener());
  }

  /** One line for what is told of several requests: all that was in progress at an endpoint is suspected. */
  #log(changed: readonly Suspect[], from: string | null): void {
    const requests = changed.map((suspect) => `${suspect.digest}=${endsHeld(suspect)}`);
    this.#options.runtime.log.info(
      { event: 'suspects', from, requests, held: this.#state.size },
      'ends held against requests',
    );
  }
}
