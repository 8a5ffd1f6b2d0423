/**
 * Requests that were in progress at endpoints that crashed, and the shared parts of their prompts, as every entry and
 * control process records them.
 *
 * A request may crash each endpoint that runs it (a query of death), or each request with a certain part in its prompt
 * may, and whoever sends, retries or resumes it does not know of the earlier crashes: endpoint after endpoint would
 * crash, with all requests in progress there. Each crash is therefore recorded against the requests in progress at the
 * endpoint and their parts, and reported to all entry processes. A request with too many crashes, or with parts that
 * explain too many, is sent to no endpoint.
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
  /** See {@link SuspectRecord}; 0 if the process that recorded the crash doesn't tell. */
  readonly crashedAt: number;
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
 * How long a suspect is kept after its last crash, ms. A new version of the endpoints may be able to run it.
 */
export const SUSPECT_RETENTION_MS = 600_000;

/** Limits of the suspects of one kind, per customer and in total. */
interface SuspectLimits {
  readonly perCustomer: number;
  readonly total: number;
}

/**
 * Requests: a hundred in progress at each of several crashed endpoints. Parts: three prompts that fill the head of their
 * request with parts that no endpoint has answered on, for each of several customers.
 */
export const SUSPECT_LIMITS: Readonly<Record<SuspectKind, SuspectLimits>> = {
  request: { perCustomer: 256, total: 1_024 },
  part: { perCustomer: 4_096, total: 16_384 },
};

/** Maximum crashes kept per request; more than are ever counted. */
const MAX_CRASHES_PER_SUSPECT = 16;

/** Maximum suspects in one message. */
const MAX_RECORDS_PER_MESSAGE = 64;

/** Crashes recorded against a suspect and not cleared. */
export function countedEnds({
  ends,
  cleared,
}: Pick<Suspect, 'ends' | 'cleared'>): readonly string[] {
  return ends.filter((incarnationKey) => !cleared.includes(incarnationKey));
}

/** Number of crashes recorded against a suspect and not cleared. */
export function crashCount(suspect: Pick<Suspect, 'ends' | 'cleared'>): number {
  return suspect.cleared.length === 0 ? suspect.ends.length : countedEnds(suspect).length;
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
    crashedAt: Math.max(a.crashedAt, b.crashedAt),
  };
}

function isSame(a: Suspect | undefined, b: Suspect): boolean {
  return a?.ends.length === b.ends.length && a.cleared.length === b.cleared.length;
}

/** Hash of each suspect, as most stay the same from one state to the next. */
const SUSPECT_HASHES = new WeakMap<Suspect, number>();

function hashSuspect(suspect: Suspect): number {
  const { digest, ends, cleared } = suspect;
  const hash =
    SUSPECT_HASHES.get(suspect) ?? hashText(`${digest} ${ends.join(',')} ${cleared.join(',')}`);
  SUSPECT_HASHES.set(suspect, hash);
  return hash;
}

/**
 * Sorts suspects with most crashes first, so that those close to quarantine are kept. Of those with as many, the ones of
 * the newest crash come first: if what is already there were kept, a part that was dropped at its first crash would be
 * dropped at each one. Then by a hash over the crashes, so that all processes keep the same ones, and other ones
 * at each crash that has more suspects than are kept.
 */
function compareSuspects(a: Suspect, b: Suspect): number {
  return (
    crashCount(b) - crashCount(a) ||
    b.crashedAt - a.crashedAt ||
    hashSuspect(a) - hashSuspect(b) ||
    (a.digest < b.digest ? -1 : 1)
  );
}

/** Counts the suspects of each kind, in total and by customer. */
class SuspectCounts {
  readonly #counts = {
    request: { total: 0, byCustomer: new Map<string, number>() },
    part: { total: 0, byCustomer: new Map<string, number>() },
  };

  /** Counts a suspect if it is within the limits of its kind; returns whether it is. */
  add({ kind, customer }: Suspect): boolean {
    const limits = SUSPECT_LIMITS[kind];
    const counts = this.#counts[kind];
    const ofCustomer = counts.byCustomer.get(customer) ?? 0;
    if (ofCustomer >= limits.perCustomer || counts.total >= limits.total) {
      return false;
    }
    counts.byCustomer.set(customer, ofCustomer + 1);
    counts.total += 1;
    return true;
  }
}

function isWithinLimits(state: QuarantineState): boolean {
  const counts = new SuspectCounts();
  return (
    state.size <= SUSPECT_LIMITS.request.perCustomer ||
    [...state.values()].every((suspect) => counts.add(suspect))
  );
}

/** Drops suspects beyond the limits. A customer with a thousand suspects uses up only its own share. */
function trim(state: QuarantineState): QuarantineState {
  if (isWithinLimits(state)) {
    return state;
  }
  const counts = new SuspectCounts();
  const kept = [...state.values()].sort(compareSuspects).filter((suspect) => counts.add(suspect));
  return new Map(kept.map((suspect) => [suspect.digest, suspect]));
}

/** State after a merge, with the suspects that changed, and the number of those dropped beyond the limits. */
export interface QuarantineStep {
  readonly state: QuarantineState;
  readonly changed: readonly Suspect[];
  readonly dropped: number;
}

function merge(state: QuarantineState, suspects: readonly Suspect[]): QuarantineStep {
  const next = new Map(state);
  suspects.forEach((suspect) => {
    const known = next.get(suspect.digest);
    next.set(suspect.digest, known === undefined ? suspect : mergeSuspect(known, suspect));
  });
  const kept = trim(next);
  const changed = [...new Set(suspects.map(({ digest }) => digest))].flatMap((digest) => {
    const suspect = kept.get(digest);
    return suspect === undefined || isSame(state.get(digest), suspect) ? [] : [suspect];
  });
  return { state: kept, changed, dropped: next.size - kept.size };
}

/**
 * Records the crash of an incarnation of an endpoint against all requests in progress there, and their parts.
 * `crashedAt` is the time of the crash, Unix ms.
 */
export function recordSuspects(
  state: QuarantineState,
  incarnationKey: IncarnationKey,
  lost: readonly LostRequest[],
  now: number,
  crashedAt = now,
): QuarantineStep {
  const ends = [incarnationKey];
  const suspects = lost.flatMap(({ digest, customer, parts }) =>
    [
      { kind: 'request' as const, digest },
      ...parts.map((part) => ({ kind: 'part' as const, digest: part })),
    ].map((suspect) => ({
      ...suspect,
      customer,
      ends,
      cleared: [],
      lastCrashAt: now,
      crashedAt,
    })),
  );
  return merge(state, suspects);
}

/**
 * Clears the crashes known so far for suspects that an endpoint could answer or that are released by an operator.
 * Reports of these crashes that are late or repeated have no effect.
 */
export function clearSuspects(state: QuarantineState, digests: readonly string[]): QuarantineStep {
  const cleared = digests.flatMap((digest) => {
    const known = state.get(digest);
    return known === undefined || crashCount(known) === 0
      ? []
      : [{ ...known, cleared: known.ends }];
  });
  return cleared.length === 0 ? { state, changed: [], dropped: 0 } : merge(state, cleared);
}

/** Merges an update, or the full set, of another process. */
export function mergeSuspectRecords(
  state: QuarantineState,
  records: readonly SuspectRecord[],
  now: number,
): QuarantineStep {
  const suspects = records
    .filter(({ ageMs }) => ageMs < SUSPECT_RETENTION_MS)
    .map(({ ageMs, kind = 'request', crashedAt = 0, ...record }) => ({
      ...record,
      kind,
      crashedAt,
      lastCrashAt: now - ageMs,
    }));
  return merge(state, suspects);
}

/** Drops suspects beyond their retention time; returns the same state if there are none. */
export function dropExpiredSuspects(state: QuarantineState, now: number): QuarantineState {
  const kept = [...state].filter(([, { lastCrashAt }]) => now - lastCrashAt < SUSPECT_RETENTION_MS);
  return kept.length === state.size ? state : new Map(kept);
}

/** Hash of all suspects in any order, equal for two processes with the same suspects. 0 if there are none. */
export function hashQuarantine(state: QuarantineState): number {
  let sum = 0;
  state.forEach((suspect) => {
    sum = (sum + hashSuspect(suspect)) % 2 ** 32;
  });
  return sum;
}

/** Records of suspects as other processes and the disk hold them. */
export function toSuspectRecords(
  suspects: readonly Suspect[],
  now: number,
): readonly Required<SuspectRecord>[] {
  return suspects.map(({ lastCrashAt, ...record }) => ({ ...record, ageMs: now - lastCrashAt }));
}

/** Updates with suspects for another process, in messages of a bounded size; at least one message. */
export function toQuarantineUpdates(
  state: QuarantineState,
  suspects: readonly Suspect[],
  now: number,
): readonly QuarantineUpdate[] {
  const hash = hashQuarantine(state);
  const records = toSuspectRecords(suspects, now);
  const messages = Math.max(1, Math.ceil(records.length / MAX_RECORDS_PER_MESSAGE));
  return Array.from({ length: messages }, (_item, i) => ({
    records: records.slice(i * MAX_RECORDS_PER_MESSAGE, (i + 1) * MAX_RECORDS_PER_MESSAGE),
    hash,
    isPartial: i < messages - 1,
  }));
}
