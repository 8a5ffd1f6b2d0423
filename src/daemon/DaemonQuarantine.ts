/** Task of an entry or control process that holds the set of suspects and exchanges it with others. */
import {
  clearSuspect,
  EMPTY_QUARANTINE,
  crashCount,
  dropExpiredSuspects,
  hashQuarantine,
  recordSuspects,
  mergeSuspectRecords,
  SUSPECT_RETENTION_MS,
  toQuarantineUpdates,
  type IncarnationKey,
  type LostRequest,
  type QuarantineState,
  type Suspect,
} from '../coordination/index.js';
import type { QuarantineNews } from '../protocol/index.js';
import type { Runtime } from './DaemonRuntime.js';
import { DaemonSharedSet, type SendUpdate, type SharedSetRules } from './DaemonSharedSet.js';

/** Sends a message to one other process. */
export type SendQuarantineUpdate = SendUpdate<QuarantineNews>;

const RULES: SharedSetRules<QuarantineState, Suspect, QuarantineNews> = {
  empty: EMPTY_QUARANTINE,
  itemsOf: (state) => [...state.values()],
  hash: hashQuarantine,
  merge: (state, { records }, now) => mergeSuspectRecords(state, records, now),
  dropExpired: dropExpiredSuspects,
  toUpdates: toQuarantineUpdates,
};

/** What the task needs. */
export interface QuarantineOptions {
  readonly runtime: Pick<Runtime, 'now' | 'log'>;
  /** Sends to the processes that this one tells, but for the one that the news came from. */
  readonly publish: (update: QuarantineNews, from: string | null) => void;
}

/** The set of one process. */
export class DaemonQuarantine {
  readonly #options: QuarantineOptions;

  readonly #set: DaemonSharedSet<QuarantineState, Suspect, QuarantineNews>;

  #customers: ReadonlySet<string> = new Set();

  readonly #listeners = new Set<() => void>();

  constructor(options: QuarantineOptions) {
    this.#options = options;
    this.#set = new DaemonSharedSet(RULES, {
      now: options.runtime.now,
      publish: options.publish,
      onChanged: (changed, from) => this.#onChanged(changed, from),
      onStateChange: () => {
        this.#customers = new Set(this.suspects.map(({ customer }) => customer));
      },
    });
  }

  /** All suspects that ends are held against. */
  get suspects(): readonly Suspect[] {
    return [...this.#set.state.values()].filter((suspect) => crashCount(suspect) > 0);
  }

  /** Whether a customer has suspects: without any there is nothing to compare its requests with. */
  hasSuspects(customer: string): boolean {
    return this.#customers.has(customer);
  }

  /** Ends held against a request. */
  crashCount(digest: string): number {
    const suspect = this.#set.state.get(digest);
    return suspect === undefined ? 0 : crashCount(suspect);
  }

  /** Time until a request is forgotten, ms. */
  quarantinedForMs(digest: string): number {
    const endedAt = this.#set.state.get(digest)?.lastCrashAt ?? -Infinity;
    return Math.max(0, endedAt + SUSPECT_RETENTION_MS - this.#options.runtime.now());
  }

  /** Calls a listener after each change; the result takes it off again. */
  registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  recordSuspects(incarnationKey: IncarnationKey, lost: readonly LostRequest[]): void {
    this.#set.apply(
      recordSuspects(this.#set.state, incarnationKey, lost, this.#options.runtime.now()),
    );
  }

  /** Releases a request; true if anything was held against it. */
  clear(digest: string): boolean {
    const step = clearSuspect(this.#set.state, digest);
    this.#set.apply(step);
    return step.changed.length > 0;
  }

  /** Takes news of another process, and answers with the whole set where that process holds another. */
  onUpdate(update: QuarantineNews, from: string, reply: SendQuarantineUpdate): void {
    this.#set.onUpdate(update, from, reply);
  }

  /** Sends the whole set to a process that this one has just met. */
  sendAll(send: SendQuarantineUpdate): void {
    this.#set.sendAll(send);
  }

  /** Forgets what is old, and has others compare their sets with this one. */
  tick(): void {
    this.#set.tick();
  }

  /** One line for what is told of several requests: all that was in progress at an endpoint is suspected. */
  #onChanged(changed: readonly Suspect[], from: string | null): void {
    const requests = changed.map((suspect) => `${suspect.digest}=${crashCount(suspect)}`);
    this.#options.runtime.log.info(
      { event: 'suspects', from, requests, held: this.#set.state.size },
      'ends held against requests',
    );
    this.#listeners.forEach((listener) => listener());
  }
}
