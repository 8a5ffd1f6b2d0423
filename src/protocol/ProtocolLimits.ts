/** Messages between processes about rate limits that endpoints advertise. */

/** The last limit advertised by one incarnation of an endpoint. */
export interface LimitRecord {
  /** Key of the incarnation, `id@incarnation`. */
  readonly life: string;
  /** Logical clock (Lamport, 1978) of this endpoint's limits: a greater value was advertised later. */
  readonly clock: number;
  /** Requests per second from all entry hosts together; null once the endpoint no longer advertises a limit. */
  readonly perSecond: number | null;
  /** Time since it was advertised, ms; an age, since the clocks of two hosts differ. */
  readonly ageMs: number;
}

/** Changed limits or a complete set; `hash` is the hash of all records that the sender holds. */
export interface LimitUpdate {
  readonly records: readonly LimitRecord[];
  readonly hash: number;
}
