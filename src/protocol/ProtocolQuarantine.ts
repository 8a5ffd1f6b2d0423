/** What processes tell each other of requests that endpoints have ended under. */

/** A request, and the lives of endpoints that ended while they ran it. */
export interface SuspectRecord {
  /** Digest of the request, by which it is known when it comes again. */
  readonly digest: string;
  /** Customer whose request it is; empty for a route that needs no key. */
  readonly customer: string;
  /** Lives that ended while they ran it, sorted. */
  readonly ends: readonly string[];
  /** Those of them that are no longer held against it, sorted. */
  readonly cleared: readonly string[];
  /** Time since the last of them ended, ms: clocks of two hosts don't agree. */
  readonly ageMs: number;
}

/** News of suspects, or a whole set; `hash` stands for all that the sender holds. */
export interface QuarantineUpdate {
  readonly records: readonly SuspectRecord[];
  readonly hash: number;
}
