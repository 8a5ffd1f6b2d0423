/** Holds the set of suspect requests and parts of prompts in an entry or control process, and exchanges it with others. */
import {
  clearSuspects,
  EMPTY_QUARANTINE,
  crashCount,
  dropExpiredSuspects,
  hashQuarantine,
  recordSuspects,
  mergeSuspectRecords,
  quarantinedCombinations,
  SUSPECT_RETENTION_MS,
  toQuarantineUpdates,
  toSuspectRecords,
  type IncarnationKey,
  type LostRequest,
  type PartCombination,
  type QuarantineState,
  type Suspect,
} from '../coordination/index.js';
import type { QuarantineUpdate, SuspectRecord } from '../protocol/index.js';
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

/** Maximum number of changed suspects of a kind that are named in one log line. */
const MAX_LOGGED = 32;

/** Called with the suspects that have changed. */
export type QuarantineListener = (changed: readonly Suspect[]) => void;

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

  #revision = 0;

  /** Quarantined parts by the number of crashes that suffices; computed when they are asked for. */
  readonly #combinations = new Map<number, readonly PartCombination[]>();

  readonly #listeners = new Set<QuarantineListener>();

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
        this.#combinations.clear();
      },
    });
  }

  /** Increases with each recorded or cleared crash. */
  get revision(): number {
    return this.#revision;
  }

  /** The whole set, with crashes that don't count any more. */
  get records(): readonly Required<SuspectRecord>[] {
    return toSuspectRecords([...this.#set.state.values()], this.#options.runtime.now());
  }

  /** Merges records that an earlier process of this host has kept. */
  restore(records: readonly SuspectRecord[]): void {
    this.#set.apply(mergeSuspectRecords(this.#set.state, records, this.#options.runtime.now()));
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

  /** Combinations of parts that explain at least `minCrashes` crashes; see {@link quarantinedCombinations}. */
  quarantinedCombinations(minCrashes: number): readonly PartCombination[] {
    const known = this.#combinations.get(minCrashes);
    const combinations = known ?? quarantinedCombinations(this.#set.state, minCrashes);
    this.#combinations.set(minCrashes, combinations);
    return combinations;
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
  registerListener(listener: QuarantineListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Records the crash of an endpoint; `crashedAt` is its time, Unix ms. */
  recordSuspects(
    incarnationKey: IncarnationKey,
    lost: readonly LostRequest[],
    crashedAt: number,
  ): void {
    const { runtime } = this.#options;
    const step = recordSuspects(this.#set.state, incarnationKey, lost, runtime.now(), crashedAt);
    if (step.dropped > 0) {
      const { dropped } = step;
      runtime.log.warn(
        { event: 'suspects_dropped', incarnationKey, dropped },
        'more suspects than are kept: those with fewest and oldest crashes are dropped',
      );
    }
    this.#set.apply(step);
  }

  /** Releases requests and parts; returns whether any crash was counted against them. */
  clear(digests: readonly string[]): boolean {
    const step = clearSuspects(this.#set.state, digests);
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
   * Logs one line for all changed suspects, those with most crashes first, as all requests in progress at a crashed
   * endpoint become suspects together, with their parts.
   */
  #onChanged(changed: readonly Suspect[], from: string | null): void {
    this.#revision += 1;
    const ofKind = (wanted: Suspect['kind']): readonly string[] =>
      changed
        .filter(({ kind }) => kind === wanted)
        .sort((a, b) => crashCount(b) - crashCount(a))
        .map((suspect) => `${suspect.digest}=${crashCount(suspect)}`);
    const requests = ofKind('request');
    const parts = ofKind('part');
    this.#options.runtime.log.info(
      {
        event: 'suspects',
        from,
        requests: requests.slice(0, MAX_LOGGED),
        parts: parts.slice(0, MAX_LOGGED),
        unlisted:
          Math.max(0, requests.length - MAX_LOGGED) + Math.max(0, parts.length - MAX_LOGGED),
        held: this.#set.state.size,
      },
      'suspects changed',
    );
    this.#listeners.forEach((listener) => listener(changed));
  }
}
