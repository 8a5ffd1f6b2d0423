/** What a soak run records: what callers sent and got, what engines ran, and what was done to the system. */

/** Kinds of requests, by what may be repeated. */
export type SoakKind = 'ask' | 'hold' | 'stream';

/** How an attempt ended for its caller. */
export type SoakEnd =
  /** The answer ended as the protocol says. */
  | 'whole'
  /** The connection ended inside the answer, or before it. */
  | 'broken'
  /** The caller's own deadline passed. */
  | 'deadline'
  /** The caller broke it off. */
  | 'left';

/** One attempt of a caller; times are ms on the soak's steady clock. */
export interface SoakAttempt {
  readonly id: string;
  readonly kind: SoakKind;
  readonly key: string;
  /** Entry host that it was sent to. */
  readonly entry: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly end: SoakEnd;
  /** 0 where there was no answer. */
  readonly status: number;
  /** Id of the request that the answer says it is for, and seal of the engine that gave it; null for none. */
  readonly echoedId: string | null;
  readonly seal: string | null;
  readonly body: string;
  /** Bytes on the connection that belong to no answer. */
  readonly stray: string;
  /** Event after which a stream is to go on, and the attempt that it goes on from; 0 and null for a first one. */
  readonly after: number;
  readonly resumes: string | null;
}

/** An answer that an engine began to give. */
export interface SoakAnswer {
  readonly id: string;
  readonly engine: string;
  readonly status: number;
}

/** A run of a request at an engine. */
export interface SoakRun {
  readonly id: string;
  readonly engine: string;
  readonly at: number;
  readonly customer: string | undefined;
  /** Whether it goes on after an event, as a resumed stream does. */
  readonly resumed: boolean;
}

/** A key was withdrawn by a version whose acknowledgement came at a time. */
export interface SoakWithdrawal {
  readonly key: string;
  readonly ackedAt: number;
}

/** A planned or unplanned disturbance, as it was carried out. */
export interface SoakEvent {
  readonly kind: string;
  readonly target: string;
  readonly from: number;
  readonly until: number;
}

/** An engine said that it leaves, and that was acknowledged. */
export interface SoakDrain {
  readonly engine: string;
  readonly ackedAt: number;
}

/** A request ended the engine that ran it. */
export interface SoakEngineEnd {
  readonly body: string;
  readonly engine: string;
  readonly at: number;
}

/** What an engine asks for in its answers. */
export type SoakNeedKind = 'limit' | 'rest' | 'leave';

/** An engine asked for relief. */
export interface SoakNeed {
  readonly kind: SoakNeedKind;
  /** Number of its host, and its id. */
  readonly host: number;
  readonly engine: string;
  /** For a limit. */
  readonly perSecond: number;
  readonly from: number;
  readonly until: number;
}

/** An engine refused a request and asked for rest. */
export interface SoakRefusal {
  readonly id: string;
  readonly engine: string;
  readonly at: number;
}

/** All that was recorded. */
export interface SoakRecord {
  readonly attempts: readonly SoakAttempt[];
  readonly runs: readonly SoakRun[];
  readonly answers: readonly SoakAnswer[];
  readonly withdrawals: readonly SoakWithdrawal[];
  readonly drains: readonly SoakDrain[];
  readonly needs: readonly SoakNeed[];
  readonly refusals: readonly SoakRefusal[];
  readonly events: readonly SoakEvent[];
  /** Engines that requests ended, and all runs of such requests. */
  readonly engineEnds: readonly SoakEngineEnd[];
  readonly fatalRuns: readonly (Pick<SoakEngineEnd, 'body' | 'at'> & Pick<SoakRun, 'id'>)[];
  /** Passes that began with two maps. */
  readonly mixedPasses: number;
  /** Newest version that was acknowledged, and what each control process reads back at the end. */
  readonly acked: number;
  readonly readBack: readonly (number | null)[];
  /** Processes that ended without being told to, with how. */
  readonly ownEnds: readonly string[];
  /** Requests answered whole after all disturbances were over. */
  readonly servedAtEnd: number;
  /** Passes of the group and changes of map after all disturbances were over. */
  readonly passesAtEnd: number;
}

/** A broken promise. */
export interface SoakFinding {
  readonly rule: string;
  readonly detail: string;
}
