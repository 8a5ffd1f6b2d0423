/** Messages between processes about requests that endpoints crashed on. */

/** What is suspected: a whole request, or a part of prompts that requests share. */
export type SuspectKind = 'request' | 'part';

/** A request, or a part of prompts, and the endpoint incarnations that crashed while they ran it. */
export interface SuspectRecord {
  /** Absent in messages of processes that know only requests. */
  readonly kind?: SuspectKind;
  /** Digest of the request or part, by which a repetition is recognized. */
  readonly digest: string;
  /** Customer who sent it; empty for a route that needs no key. */
  readonly customer: string;
  /** Keys of the incarnations that crashed while they ran it, `id@incarnation`, sorted. */
  readonly ends: readonly string[];
  /** Those of `ends` that no longer count against it, sorted. */
  readonly cleared: readonly string[];
  /** Time since the last crash, ms; an age, since the clocks of two hosts differ. */
  readonly ageMs: number;
  /**
   * Time of the last crash by the clock of the process that recorded it, Unix ms. All processes go by it where they drop
   * suspects beyond a limit; absent in messages of processes that drop by digest only.
   */
  readonly crashedAt?: number;
}

/** Changed suspects or a complete set; `hash` is the hash of all records that the sender holds. */
export interface QuarantineUpdate {
  readonly records: readonly SuspectRecord[];
  readonly hash: number;
  /** Whether further messages with the rest of the records follow, so that the hash can't be compared yet. */
  readonly isPartial?: boolean;
}
