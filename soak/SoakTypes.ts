/** What a soak run records: what callers sent and got, what engines ran, and what was done to the system. */

/** Kinds of requests, by what may be repeated. */
export type SoakRequestKind = 'ask' | 'hold' | 'stream';

/** How an attempt ended for its caller. */
export type SoakOutcome =
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
  readonly kind: SoakRequestKind;
  readonly key: string;
  /** Entry host that it was sent to. */
  readonly entry: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: SoakOutcome;
  /** 0 where there was no answer. */
  readonly status: number;
  /** Id of the request that the answer says it is for, and seal of the engine that gave it; null for none. */
  readonly echoedId: string | null;
  readonly seal: string | null;
  readonly body: string;
  /** Bytes on the connection that belong to no answer. */
  readonly stray: string;
  /** Event after which a stream is to go on, and the attempt that it goes on from; 0 and null for a first one. */
  readonly lastEventId: number;
  readonly resumedFrom: string | null;
}

/** An answer that an engine began to give. */
export interface SoakAnswer {
  readonly id: string;
  readonly engine: string;
  readonly status: number;
}

/** A run of a request at an engine. */
export interface SoakExecution {
  readonly id: string;
  readonly engine: string;
  readonly at: number;
  readonly customer: string | undefined;
  /** Whether it goes on after an event, as a resumed stream does. */
  readonly resumed: boolean;
}

/** A key was withdrawn by a version whose acknowledgement came at a time. */
export interface SoakRevokedKey {
  readonly key: string;
  readonly ackedAt: number;
}

/** A planned or unplanned disturbance, as it was carried out. */
export interface SoakInjectedFault {
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
export interface SoakEngineCrash {
  readonly body: string;
  readonly engine: string;
  readonly at: number;
}

/** What an engine asks for in its answers. */
export type SoakReliefKind = 'limit' | 'rest' | 'leave';

/** An engine asked for relief. */
export interface SoakReliefRequest {
  readonly kind: SoakReliefKind;
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
  readonly executions: readonly SoakExecution[];
  readonly answers: readonly SoakAnswer[];
  readonly revokedKeys: readonly SoakRevokedKey[];
  readonly drains: readonly SoakDrain[];
  readonly reliefRequests: readonly SoakReliefRequest[];
  readonly refusals: readonly SoakRefusal[];
  readonly injectedFaults: readonly SoakInjectedFault[];
  /** Engines that requests ended, and all runs of such requests. */
  readonly engineCrashes: readonly SoakEngineCrash[];
  readonly fatalExecutions: readonly (Pick<SoakEngineCrash, 'body' | 'at'> &
    Pick<SoakExecution, 'id'>)[];
  /** Passes that began with two maps. */
  readonly mixedPasses: number;
  /** Newest version that was acknowledged, and what each control process reads back at the end. */
  readonly ackedVersion: number;
  readonly readBackVersions: readonly (number | null)[];
  /** Processes that ended without being told to, with how. */
  readonly unexpectedExits: readonly string[];
  /** Requests answered whole after all disturbances were over. */
  readonly servedAfterRecovery: number;
  /** Passes of the group and changes of map after all disturbances were over. */
  readonly passesAfterRecovery: number;
}

/** A broken promise. */
export interface SoakFinding {
  readonly rule: string;
  readonly detail: string;
}
