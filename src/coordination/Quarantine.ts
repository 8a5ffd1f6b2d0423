/**
 * Requests that endpoints have ended under, as every entry and control process remembers them.
 *
 * Failure: a request ends each endpoint that runs it (a query of death), and whoever sends, retries or resumes it
 * doesn't know what it did before. Symptom: endpoint after endpoint ends, each with all that runs beside it. Enough:
 * each end is held against the requests in progress there, all entry processes learn of it, and a request that too
 * many ends are held against is sent to no endpoint.
 *
 * A set that merges: ends and those cleared are unions, so that neither order nor repetition of news matters.
 */
import type { QuarantineNews, SuspectRecord } from '../protocol/index.js';
import type { IncarnationKey, LostRequest } from './EndpointCrashes.js';
import { hashText } from './RoutingHash.js';

/** What is held against one request. */
export interface Suspect extends Omit<SuspectRecord, 'ageMs'> {
  /** When the last end was, ms on the local monotonic clock. */
  readonly lastCrashAt: number;
}

/** All suspects, by digest. */
export type QuarantineState = ReadonlyMap<string, Suspect>;

/** Nobody is suspected. */
export const EMPTY_QUARANTINE: QuarantineState = new Map();

/**
 * Ends after which a request is held. The end of one rank takes the work of its whole group, for seconds: there two
 * must do, since a third costs more callers than are ever refused for having been neighbours twice.
 */
export const QUARANTINE_CRASHES = { group: 2, single: 3 } as const;

/** A request is forgotten this long after the last end; ms. A new version of the endpoints may well run it. */
export const SUSPECT_RETENTION_MS = 600_000;

/** Suspects kept of one customer and in all: a hundred in progress at each of several endpoints that ended. */
export const MAX_SUSPECTS_PER_CUSTOMER = 256;
export const MAX_SUSPECTS = 1_024;

/** Ends kept of one request; more than are ever counted. */
const MAX_CRASHES_PER_SUSPECT = 16;

/** Suspects in one message. */
const MAX_RECORDS_PER_MESSAGE = 64;

/** Ends that are held against a request. */
export function crashCount({ ends, cleared }: Pick<Suspect, 'ends' | 'cleared'>): number {
  return ends.filter((incarnationKey) => !cleared.includes(incarnationKey)).length;
}

/** Union of two sorted lists; what is beyond the bound is left out on every process alike. */
function unionOf(a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])].sort().slice(0, MAX_CRASHES_PER_SUSPECT);
}

function isSubset(a: readonly string[], b: readonly string[]): boolean {
  return a.every((incarnationKey) => b.includes(incarnationKey));
}

/** When the last end was: told by whoever knows more ends, or has known the same ones for longer. */
function mergeLastCrashAt(a: Suspect, b: Suspect): number {
  const aWithinB = isSubset(a.ends, b.ends);
  const bWithinA = isSubset(b.ends, a.ends);
  if (aWithinB && bWithinA) {
    return Math.min(a.lastCrashAt, b.lastCrashAt);
  }
  if (aWithinB || bWithinA) {
    return aWithinB ? b.lastCrashAt : a.lastCrashAt;
  }
  return Math.max(a.lastCrashAt, b.lastCrashAt);
}

function mergeSuspect(a: Suspect, b: Suspect): Suspect {
  return {
    digest: a.digest,
    customer: a.customer,
    ends: unionOf(a.ends, b.ends),
    cleared: unionOf(a.cleared, b.cleared),
    lastCrashAt: mergeLastCrashAt(a, b),
  };
}

function isSame(a: Suspect | undefined, b: Suspect): boolean {
  return a?.ends.length === b.ends.length && a.cleared.length === b.cleared.length;
}

/** Most ends first: what is about to be held is kept. By digest then, so that all processes keep the same. */
function compareSuspects(a: Suspect, b: Suspect): number {
  return crashCount(b) - crashCount(a) || (a.digest < b.digest ? -1 : 1);
}

/** Drops suspects beyond the bounds: a customer who sends a thousand fills only its own part. */
function trim(state: QuarantineState): QuarantineState {
  const counts = new Map<string, number>();
  const kept = [...state.values()].sort(compareSuspects).filter(({ customer }) => {
    const count = (counts.get(customer) ?? 0) + 1;
    counts.set(customer, count);
    return count <= MAX_SUSPECTS_PER_CUSTOMER;
  });
  return kept.length === state.size && kept.length <= MAX_SUSPECTS
    ? state
    : new Map(kept.slice(0, MAX_SUSPECTS).map((suspect) => [suspect.digest, suspect]));
}

/** A set after a merge, with the suspects that are news. */
export interface QuarantineStep {
  readonly state: QuarantineState;
  readonly changed: readonly Suspect[];
}

function merge(state: QuarantineState, suspects: readonly Suspect[]): QuarantineStep {
  const next = new Map(state);
  suspects.forEach((suspect) => {
    const known = next.get(suspect.digest);
    next.set(suspect.digest, known === undefined ? suspect : mergeSuspect(known, suspect));
  });
  const kept = trim(next);
  const changed = [...kept.values()].filter(
    (suspect) => !isSame(state.get(suspect.digest), suspect),
  );
  return { state: kept, changed };
}

/** Holds the end of an endpoint's life against all that was in progress there. */
export function recordSuspects(
  state: QuarantineState,
  incarnationKey: IncarnationKey,
  lost: readonly LostRequest[],
  now: number,
): QuarantineStep {
  const suspects = lost.map(({ digest, customer }) => ({
    digest,
    customer,
    ends: [incarnationKey],
    cleared: [],
    lastCrashAt: now,
  }));
  return merge(state, suspects);
}

/**
 * Holds nothing of what is known so far against a request any longer: it was answered whole, or an operator
 * releases it. Reports of these ends that come late, or again, change nothing.
 */
export function clearSuspect(state: QuarantineState, digest: string): QuarantineStep {
  const known = state.get(digest);
  return known === undefined || crashCount(known) === 0
    ? { state, changed: [] }
    : merge(state, [{ ...known, cleared: known.ends }]);
}

/** Takes another process's news, or its whole set. */
export function mergeSuspectRecords(
  state: QuarantineState,
  records: readonly SuspectRecord[],
  now: number,
): QuarantineStep {
  const suspects = records
    .filter(({ ageMs }) => ageMs < SUSPECT_RETENTION_MS)
    .map(({ ageMs, ...record }) => ({ ...record, lastCrashAt: now - ageMs }));
  return merge(state, suspects);
}

/** Forgets what is too old; the same set where nothing is. */
export function dropExpiredSuspects(state: QuarantineState, now: number): QuarantineState {
  const kept = [...state].filter(([, { lastCrashAt }]) => now - lastCrashAt < SUSPECT_RETENTION_MS);
  return kept.length === state.size ? state : new Map(kept);
}

/** Stands for a whole set: two processes that hold the same have the same. 0 for an empty one. */
export function hashQuarantine(state: QuarantineState): number {
  const lines = [...state.values()]
    .map(({ digest, ends, cleared }) => `${digest} ${ends.join(',')} ${cleared.join(',')}`)
    .sort();
  return lines.length === 0 ? 0 : hashText(lines.join('\n'));
}

/** Suspects as they are told to another process, in messages of a bounded size; one at least. */
export function toQuarantineUpdates(
  state: QuarantineState,
  suspects: readonly Suspect[],
  now: number,
): readonly QuarantineNews[] {
  const hash = hashQuarantine(state);
  const records = suspects.map(({ lastCrashAt, ...record }) => ({
    ...record,
    ageMs: now - lastCrashAt,
  }));
  const messages = Math.max(1, Math.ceil(records.length / MAX_RECORDS_PER_MESSAGE));
  return Array.from({ length: messages }, (_item, i) => ({
    records: records.slice(i * MAX_RECORDS_PER_MESSAGE, (i + 1) * MAX_RECORDS_PER_MESSAGE),
    hash,
  }));
}
