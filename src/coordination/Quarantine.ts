/**
 * Requests that were in progress at endpoints that crashed, and the shared parts of their prompts, as every entry and
 * control process records them.
 *
 * A request may crash each endpoint that runs it (a query of death), or each request with a certain part in its prompt
 * may, and whoever sends, retries or resumes it does not know of the earlier crashes: endpoint after endpoint would
 * crash, with all requests in progress there. Each crash is therefore recorded against the requests in progress at the
 * endpoint and their parts, and reported to all entry processes. A request with too many crashes, or with a part that
 * explains too many, is sent to no endpoint.
 *
 * Crashes and cleared crashes are sets that merge by union, so that neither order nor repetition of updates
 * matters.
 */
import type { QuarantineUpdate, SuspectKind, SuspectRecord } from '../protocol/index.js';
import type { IncarnationKey, LostRequest } from './EndpointCrashes.js';
import { hashText } from './RoutingHash.js';

/** Crashes recorded against one request or part. */
export interface Suspect extends Omit<SuspectRecord, 'ageMs'> {
  readonly kind: SuspectKind;
  /** Time of the last crash, ms on the local monotonic clock. */
  readonly lastCrashAt: number;
}

/** All suspects, by digest. */
export type QuarantineState = ReadonlyMap<string, Suspect>;

/** Initial state without suspects. */
export const EMPTY_QUARANTINE: QuarantineState = new Map();

/**
 * Number of crashes after which a request is quarantined. The crash of one rank interrupts its whole group
 * for seconds; for a group two crashes must suffice, since a third costs more callers than are ever refused
 * because their requests happened to be in progress at two crashes.
 */
export const QUARANTINE_CRASHES = { group: 2, single: 3 } as const;

/**
 * Number of crashes after which parts are quarantined that were in progress at the same ones, so that nothing tells them
 * apart. Until then another crash may.
 */
const TIED_PARTS_CRASHES = 4;

/**
 * How long a suspect is kept after its last crash, ms. A new version of the endpoints may be able to run it.
 */
export const SUSPECT_RETENTION_MS = 600_000;

/**
 * Maximum suspects per customer and in total: a hundred requests in progress at each of several crashed
 * endpoints.
 */
export const MAX_SUSPECTS_PER_CUSTOMER = 256;
export const MAX_SUSPECTS = 1_024;

/** Maximum crashes kept per request; more than are ever counted. */
const MAX_CRASHES_PER_SUSPECT = 16;

/** Maximum suspects in one message. */
const MAX_RECORDS_PER_MESSAGE = 64;

function countedEnds({ ends, cleared }: Pick<Suspect, 'ends' | 'cleared'>): readonly string[] {
  return ends.filter((incarnationKey) => !cleared.includes(incarnationKey));
}

/** Number of crashes recorded against a suspect and not cleared. */
export function crashCount(suspect: Pick<Suspect, 'ends' | 'cleared'>): number {
  return countedEnds(suspect).length;
}

/** Sorted union of two lists. Every process drops the same entries beyond the maximum. */
function unionOf(a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])].sort().slice(0, MAX_CRASHES_PER_SUSPECT);
}

function isSubset(a: readonly string[], b: readonly string[]): boolean {
  return a.every((incarnationKey) => b.includes(incarnationKey));
}

/**
 * Time of the last crash: that of the suspect with more crashes, the earlier one if both have the same
 * crashes, and the later one if each has crashes that the other lacks.
 */
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
    kind: a.kind,
    digest: a.digest,
    // Several customers may have sent a part; all processes must keep the same one.
    customer: a.customer < b.customer ? a.customer : b.customer,
    ends: unionOf(a.ends, b.ends),
    cleared: unionOf(a.cleared, b.cleared),
    lastCrashAt: mergeLastCrashAt(a, b),
  };
}

function isSame(a: Suspect | undefined, b: Suspect): boolean {
  return a?.ends.length === b.ends.length && a.cleared.length === b.cleared.length;
}

/**
 * Sorts suspects with most crashes first, so that those close to quarantine are kept, then by digest, so that
 * all processes keep the same ones.
 */
function compareSuspects(a: Suspect, b: Suspect): number {
  return crashCount(b) - crashCount(a) || (a.digest < b.digest ? -1 : 1);
}

/** Drops suspects beyond the limits. A customer with a thousand suspects uses up only its own share. */
function trim(state: QuarantineState): QuarantineState {
  const counts = new Map<string, number>();
  const kept = [...state.values()].sort(compareSuspects).filter(({ kind, customer }) => {
    const owner = `${kind} ${customer}`;
    const count = (counts.get(owner) ?? 0) + 1;
    counts.set(owner, count);
    return count <= MAX_SUSPECTS_PER_CUSTOMER;
  });
  return kept.length === state.size && kept.length <= MAX_SUSPECTS
    ? state
    : new Map(kept.slice(0, MAX_SUSPECTS).map((suspect) => [suspect.digest, suspect]));
}

/** State after a merge, with the suspects that changed. */
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

/** Records the crash of an incarnation of an endpoint against all requests in progress there, and their parts. */
export function recordSuspects(
  state: QuarantineState,
  incarnationKey: IncarnationKey,
  lost: readonly LostRequest[],
  now: number,
): QuarantineStep {
  const suspects = lost.flatMap(({ digest, customer, parts }) =>
    [
      { kind: 'request' as const, digest },
      ...parts.map((part) => ({ kind: 'part' as const, digest: part })),
    ].map((suspect) => ({
      ...suspect,
      customer,
      ends: [incarnationKey],
      cleared: [],
      lastCrashAt: now,
    })),
  );
  return merge(state, suspects);
}

/**
 * Clears the crashes known so far for a suspect that an endpoint could answer or that is released by an operator.
 * Reports of these crashes that are late or repeated have no effect.
 */
export function clearSuspect(state: QuarantineState, digest: string): QuarantineStep {
  const known = state.get(digest);
  return known === undefined || crashCount(known) === 0
    ? { state, changed: [] }
    : merge(state, [{ ...known, cleared: known.ends }]);
}

/**
 * Parts that explain at least `minCrashes` crashes by themselves, by digest.
 *
 * A part isn't quarantined if another one was in progress at all of its crashes and at more: the other one explains
 * them. Of parts with the same crashes one may be sound; they are quarantined only after more crashes.
 */
export function quarantinedParts(state: QuarantineState, minCrashes: number): ReadonlySet<string> {
  const parts = [...state.values()]
    .filter(({ kind }) => kind === 'part')
    .map((suspect) => ({ digest: suspect.digest, ends: countedEnds(suspect) }))
    .filter(({ ends }) => ends.length >= minCrashes);
  const quarantined = parts.filter((part) => {
    const rivals = parts.filter((other) => other !== part && isSubset(part.ends, other.ends));
    const isExplained = rivals.some(({ ends }) => ends.length > part.ends.length);
    return !isExplained && (rivals.length === 0 || part.ends.length >= TIED_PARTS_CRASHES);
  });
  return new Set(quarantined.map(({ digest }) => digest));
}

/** Merges an update, or the full set, of another process. */
export function mergeSuspectRecords(
  state: QuarantineState,
  records: readonly SuspectRecord[],
  now: number,
): QuarantineStep {
  const suspects = records
    .filter(({ ageMs }) => ageMs < SUSPECT_RETENTION_MS)
    .map(({ ageMs, kind = 'request', ...record }) => ({
      ...record,
      kind,
      lastCrashAt: now - ageMs,
    }));
  return merge(state, suspects);
}

/** Drops suspects beyond their retention time; returns the same state if there are none. */
export function dropExpiredSuspects(state: QuarantineState, now: number): QuarantineState {
  const kept = [...state].filter(([, { lastCrashAt }]) => now - lastCrashAt < SUSPECT_RETENTION_MS);
  return kept.length === state.size ? state : new Map(kept);
}

/** Hash of all suspects, equal for two processes with the same suspects. 0 if there are none. */
export function hashQuarantine(state: QuarantineState): number {
  const lines = [...state.values()]
    .map(({ digest, ends, cleared }) => `${digest} ${ends.join(',')} ${cleared.join(',')}`)
    .sort();
  return lines.length === 0 ? 0 : hashText(lines.join('\n'));
}

/** Updates with suspects for another process, in messages of a bounded size; at least one message. */
export function toQuarantineUpdates(
  state: QuarantineState,
  suspects: readonly Suspect[],
  now: number,
): readonly QuarantineUpdate[] {
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
