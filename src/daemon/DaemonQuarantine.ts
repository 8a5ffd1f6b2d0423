/** Holds the set of suspect requests and parts of prompts in an entry or control process, and exchanges it with others. */
import {
  clearSuspect,
  EMPTY_QUARANTINE,
  crashCount,
  dropExpiredSuspects,
  hashQuarantine,
  recordSuspects,
  mergeSuspectRecords,
  quarantinedParts,
  SUSPECT_RETENTION_MS,
  toQuarantineUpdates,
  type IncarnationKey,
  type LostRequest,
  type QuarantineState,
  type Suspect,
} from '../coordination/index.js';
import type { QuarantineUpdate } from '../protocol/index.js';
import type { Runtime } from './DaemonRuntime.js';
import { DaemonSharedSet, type SendUpdate, type SharedSetRules } from './DaemonSharedSet.js';

/** Sends an update to one other process. */
export type SendQuarantineUpdate = SendUpdate<QuarantineUpdate>;

const RULES: SharedSetRules<QuarantineState, Suspect, QuarantineUpdate> = {
  empty: EMPTY_QUARANTINE,
  itemsOf: (state) => [...state.values()],
  hash: hashQuarantine,
  merge: (state, { records }, now) => mergeSuspectRecords(state, records, now),
  dropExpired: dropExpiredSuspects,
  toUpdates: toQuarantineUpdates,
};

/** Dependencies of {@link DaemonQuarantine}. */
export interface QuarantineOptions {
  readonly runtime: Pick<Runtime, 'now' | 'log'>;
  /** Sends an update to all connected processes but the one that it came from; `from` is null for an own change. */
  readonly publish: (update: QuarantineUpdate, from: string | null) => void;
}

/** The suspect requests known to one process. */
export class DaemonQuarantine {
  readonly #options: QuarantineOptions;

  readonly #set: DaemonSharedSet<QuarantineState, Suspect, QuarantineUpdate>;

  #customers: ReadonlySet<string> = new Set();

  #hasParts = false;

  /** Quarantined parts by the number of crashes that suffices; computed when they are asked for. */
  readonly #quarantinedParts = new Map<number, ReadonlySet<string>>();

  readonly #listeners = new Set<() => void>();

  constructor(options: QuarantineOptions) {
    this.#options = options;
    this.#set = new DaemonSharedSet(RULES, {
      now: options.runtime.now,
      publish: options.publish,
      onChanged: (changed, from) => this.#onChanged(changed, from),
      onStateChange: () => {
        const { suspects } = this;
        this.#customers = new Set(
          suspects.filter(({ kind }) => kind === 'request').map(({ customer }) => customer),
        );
        this.#hasParts = suspects.some(({ kind }) => kind === 'part');
        this.#quarantinedParts.clear();
      },
    });
  }

  /** All suspects with at least one counted crash. */
  get suspects(): readonly Suspect[] {
    return [...this.#set.state.values()].filter((suspect) => crashCount(suspect) > 0);
  }

  /** Whether a customer has suspect requests. If not, its requests need not be compared with any. */
  hasSuspects(customer: string): boolean {
    return this.#customers.has(customer);
  }

  /** Whether parts of prompts are suspect. If not, those of a request need not be compared with any. */
  get hasParts(): boolean {
    return this.#hasParts;
  }

  /** Digests of the parts that explain at least `minCrashes` crashes; see {@link quarantinedParts}. */
  quarantinedParts(minCrashes: number): ReadonlySet<string> {
    const known = this.#quarantinedParts.get(minCrashes);
    const parts = known ?? quarantinedParts(this.#set.state, minCrashes);
    this.#quarantinedParts.set(minCrashes, parts);
    return parts;
  }

  /** Number of crashes counted against a request or part. */
  crashCount(digest: string): number {
    const suspect = this.#set.state.get(digest);
    return suspect === undefined ? 0 : crashCount(suspect);
  }

  /** Time until a request is forgotten, ms. */
  quarantinedForMs(digest: string): number {
    const crashedAt = this.#set.state.get(digest)?.lastCrashAt ?? -Infinity;
    return Math.max(0, crashedAt + SUSPECT_RETENTION_MS - this.#options.runtime.now());
  }

  /** Calls a listener after each change of items; returns a function that unregisters it. */
  registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  recordSuspects(incarnationKey: IncarnationKey, lost: readonly LostRequest[]): void {
    this.#set.apply(
      recordSuspects(this.#set.state, incarnationKey, lost, this.#options.runtime.now()),
    );
  }

  /** Releases a request; returns whether any crash was counted against it. */
  clear(digest: string): boolean {
    const step = clearSuspect(this.#set.state, digest);
    this.#set.apply(step);
    return step.changed.length > 0;
  }

  /** Merges an update from another process, and replies with the whole set if that process holds a different one. */
  onUpdate(update: QuarantineUpdate, from: string, reply: SendQuarantineUpdate): void {
    this.#set.onUpdate(update, from, reply);
  }

  /** Sends the whole set to a newly connected process. */
  sendAll(send: SendQuarantineUpdate): void {
    this.#set.sendAll(send);
  }

  /** Drops expired suspects, and has others compare their sets with this one. */
  tick(): void {
    this.#set.tick();
  }

  /**
   * Logs one line for all changed suspects, as all requests in progress at a crashed endpoint become suspects
   * together, with their parts.
   */
  #onChanged(changed: readonly Suspect[], from: string | null): void {
    const listOf = (listed: Suspect['kind']): readonly string[] =>
      changed
        .filter(({ kind }) => kind === listed)
        .map((suspect) => `${suspect.digest}=${crashCount(suspect)}`);
    this.#options.runtime.log.info(
      {
        event: 'suspects',
        from,
        requests: listOf('request'),
        parts: listOf('part'),
        held: this.#set.state.size,
      },
      'suspects changed',
    );
    this.#listeners.forEach((listener) => listener());
  }
}
