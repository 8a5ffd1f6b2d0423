/** What a soak run records: requests and answers of callers, executions at engines, and injected faults. */

/** Kinds of requests, by what may be retried: `hold` runs at most once, `stream` may be resumed after an event. */
export type SoakRequestKind = 'ask' | 'hold' | 'stream';

/** How an attempt ended for its caller. */
export type SoakOutcome =
  /** The answer is complete by its framing. */
  | 'whole'
  /** The connection closed before the answer was complete, or before it began. */
  | 'broken'
  /** The caller's own deadline passed. */
  | 'deadline'
  /** The caller aborted it. */
  | 'left';

/** One attempt of a caller; times are ms on the soak's monotonic clock. */
export interface SoakAttempt {
  readonly id: string;
  readonly kind: SoakRequestKind;
  readonly key: string;
  /** Whether the request, or a part of its prompt, crashes engines. */
  readonly isFatal: boolean;
  /** Name of the entry host that it was sent to. */
  readonly entry: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: SoakOutcome;
  /** 0 where there was no answer. */
  readonly status: number;
  /** Id of the request and seal of the engine, as the answer's headers name them; null where missing. */
  readonly echoedId: string | null;
  readonly seal: string | null;
  readonly body: string;
  /** Bytes received on the connection that belong to no answer. */
  readonly stray: string;
  /** Event after which a stream is resumed, and id of the attempt that it resumes; 0 and null for a first attempt. */
  readonly lastEventId: number;
  readonly resumedFrom: string | null;
}

/** An answer that an engine began to send. */
export interface SoakAnswer {
  readonly id: string;
  readonly engine: string;
  readonly status: number;
}

/** One execution of a request at an engine. */
export interface SoakExecution {
  readonly id: string;
  readonly engine: string;
  readonly at: number;
  readonly customer: string | undefined;
  /** Whether it resumes a stream after an event. */
  readonly resumed: boolean;
}

/** A key that a new version removed, and when that version was acknowledged; Infinity until then. */
export interface SoakRevokedKey {
  readonly key: string;
  readonly ackedAt: number;
}

/** A planned or unplanned fault, and the time in which it was injected. */
export interface SoakInjectedFault {
  readonly kind: string;
  readonly target: string;
  readonly from: number;
  readonly until: number;
}

/** An engine announced that it is draining, or deregistered, and a control process acknowledged it. */
export interface SoakDrain {
  readonly engine: string;
  readonly ackedAt: number;
}

/** A request crashed the engine that ran it. */
export interface SoakEngineCrash {
  readonly body: string;
  readonly engine: string;
  readonly at: number;
}

/** Kind of relief that an engine requests in its answers: a rate limit, a backoff, or no new requests as it leaves. */
export type SoakReliefKind = 'limit' | 'rest' | 'leave';

/** An engine requested relief in its answers. */
export interface SoakReliefRequest {
  readonly kind: SoakReliefKind;
  /** Number of the engine's host, and the engine's id. */
  readonly host: number;
  readonly engine: string;
  /** Requests per second; only for a limit. */
  readonly perSecond: number;
  readonly from: number;
  readonly until: number;
}

/** An evacuation of a zone: when it was acknowledged, and when its end was ordered. */
export interface SoakEvacuation {
  readonly zone: string;
  readonly ackedAt: number;
  readonly withdrawnAt: number;
}

/** An engine refused a request and asked for a backoff. */
export interface SoakRefusal {
  readonly id: string;
  readonly engine: string;
  readonly at: number;
}

/** An engine that started cold, and when requests reached it while it was cold. */
export interface SoakColdStart {
  /** Number of the engine's host. */
  readonly host: number;
  readonly engine: string;
  readonly arrivals: readonly number[];
}

/** Everything that one soak run recorded; the checks read nothing else. */
export interface SoakRecord {
  readonly attempts: readonly SoakAttempt[];
  readonly executions: readonly SoakExecution[];
  readonly answers: readonly SoakAnswer[];
  readonly revokedKeys: readonly SoakRevokedKey[];
  readonly drains: readonly SoakDrain[];
  readonly departures: readonly SoakDrain[];
  readonly reliefRequests: readonly SoakReliefRequest[];
  readonly evacuations: readonly SoakEvacuation[];
  readonly refusals: readonly SoakRefusal[];
  readonly coldStarts: readonly SoakColdStart[];
  readonly injectedFaults: readonly SoakInjectedFault[];
  /** Longest time for which the event loop of callers, engines and proxy stood still, ms. */
  readonly longestStallMs: number;
  /** Engines that requests crashed, and all executions of such requests. */
  readonly engineCrashes: readonly SoakEngineCrash[];
  readonly fatalExecutions: readonly (Pick<SoakEngineCrash, 'body' | 'at'> &
    Pick<SoakExecution, 'id'>)[];
  /** Passes that began while ranks used different expert maps. */
  /** Executions of requests with the part of prompts that crashes engines. */
  readonly fatalPartExecutions: readonly { readonly at: number }[];
  readonly mixedPasses: number;
  /** Newest acknowledged version, and the version that each control process returns at the end; null for none. */
  readonly ackedVersion: number;
  readonly readBackVersions: readonly (number | null)[];
  /** Processes that exited although no fault stopped them, each with its exit code or signal. */
  readonly unexpectedExits: readonly string[];
  /** Requests sent after recovery and answered with status 200. */
  readonly servedAfterRecovery: number;
  /** Passes of the group after recovery. */
  readonly passesAfterRecovery: number;
}

/** A violated guarantee. */
export interface SoakFinding {
  readonly rule: string;
  readonly detail: string;
}
