/** What processes tell each other of limits that endpoints have named. */

/** The limit that one life of an endpoint has named last. */
export interface LimitRecord {
  /** The endpoint, `id@incarnation`. */
  readonly life: string;
  /** Logical clock (Lamport, 1978) of that endpoint's limits: a greater one was named later. */
  readonly clock: number;
  /** Requests a second from all entry hosts together; null once no limit is named any more. */
  readonly perSecond: number | null;
  /** Time since it was named, ms: clocks of two hosts don't agree. */
  readonly ageMs: number;
}

/** News of limits, or a whole set; `hash` stands for all that the sender holds. */
export interface LimitUpdate {
  readonly records: readonly LimitRecord[];
  readonly hash: number;
}
