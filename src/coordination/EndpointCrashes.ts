/**
 * Determines which requests were in progress at an endpoint when it crashed. An entry process sees only that
 * connections close; a probe right after, or a later update of the endpoint's record, tells whether it
 * crashed. Pure: it is given what was observed and outputs when to probe.
 */

import type { MemberRecord } from '../protocol/index.js';

/**
 * Key `id@incarnation` of one incarnation of an endpoint. A later process with the same id or address has
 * another key.
 */
export type IncarnationKey = string;

/** Key of the incarnation that a record describes. */
export function incarnationKeyOf({ id, incarnation }: MemberRecord): IncarnationKey {
  return `${id}@${incarnation}`;
}

/** Id of the endpoint in a key. */
export function endpointIdOf(incarnationKey: IncarnationKey): string {
  return incarnationKey.slice(0, incarnationKey.lastIndexOf('@'));
}

/**
 * Whether an update proves that an endpoint has crashed, that is, ended without announcing it: its lease
 * expired, its id has a later incarnation, or another endpoint serves at its address. An endpoint that
 * announces its shutdown increases the version of its record.
 */
export function provesCrash(known: MemberRecord, update: MemberRecord): boolean {
  if (update.id !== known.id) {
    return (
      update.address === known.address && update.role === known.role && update.status === 'serving'
    );
  }
  return update.incarnation === known.incarnation
    ? update.status === 'gone' && update.version === known.version
    : update.incarnation > known.incarnation;
}

/** A request whose connection closed before the endpoint's response was complete. */
export interface LostRequest {
  readonly digest: string;
  readonly customer: string;
  /** Digests of the shared parts of its prompt that are suspected with it. */
  readonly parts: readonly string[];
  /** The caller's id of the request, for the log. */
  readonly request: string;
}

/** Requests lost at one incarnation while it is unknown whether it has crashed. */
interface PendingLosses {
  readonly losses: readonly { readonly lost: LostRequest; readonly at: number }[];
  /** Start time of the probe in progress, ms; null for none. */
  readonly probedAt: number | null;
}

/** State of the crash detection. */
export interface EndpointCrashesState {
  readonly pending: ReadonlyMap<IncarnationKey, PendingLosses>;
  /** Incarnations that are known to have crashed, with the time at which this became known, ms. */
  readonly crashed: ReadonlyMap<IncarnationKey, number>;
}

/** How a crash became known: by a refused probe or by a report. */
export type CrashEvidence = 'refused' | 'reported';

/** Inputs of the crash detection. */
export type EndpointCrashesInput =
  | { readonly type: 'lost'; readonly incarnationKey: IncarnationKey; readonly lost: LostRequest }
  /** Result of a probe; `unknown` if the connection was neither accepted nor refused. */
  | {
      readonly type: 'probed';
      readonly incarnationKey: IncarnationKey;
      readonly result: 'refused' | 'open' | 'unknown';
    }
  /** Report that an incarnation has ended without announcing it. */
  | { readonly type: 'ended'; readonly incarnationKey: IncarnationKey }
  | { readonly type: 'tick' };

/** Outputs of the crash detection. */
export type EndpointCrashesOutput =
  | { readonly type: 'probe'; readonly incarnationKey: IncarnationKey }
  /** An incarnation has crashed while these requests were in progress there. */
  | {
      readonly type: 'ended';
      readonly incarnationKey: IncarnationKey;
      readonly evidence: CrashEvidence;
      readonly suspects: readonly LostRequest[];
    };

/** New state and outputs of a step. */
export interface EndpointCrashesStep {
  readonly state: EndpointCrashesState;
  readonly outputs: readonly EndpointCrashesOutput[];
}

/** Initial state: nothing observed. */
export const NO_ENDPOINT_CRASHES: EndpointCrashesState = { pending: new Map(), crashed: new Map() };

/** How long a lost request may be attributed to a crash that is reported later: the longest lease, ms. */
export const PENDING_LOSS_MS = 6_000;

/** How long a crash is remembered, since stalled streams report their losses late; ms. */
const CRASH_RETENTION_MS = 60_000;

function withPending(
  state: EndpointCrashesState,
  incarnationKey: IncarnationKey,
  pending: PendingLosses | null,
): EndpointCrashesState {
  const next = new Map(state.pending);
  if (pending === null) {
    next.delete(incarnationKey);
  } else {
    next.set(incarnationKey, pending);
  }
  return { ...state, pending: next };
}

function onLost(
  state: EndpointCrashesState,
  { incarnationKey, lost }: Extract<EndpointCrashesInput, { type: 'lost' }>,
  now: number,
): EndpointCrashesStep {
  if (state.crashed.has(incarnationKey)) {
    return {
      state,
      outputs: [{ type: 'ended', incarnationKey, evidence: 'reported', suspects: [lost] }],
    };
  }
  const known = state.pending.get(incarnationKey);
  const losses = [...(known?.losses ?? []), { lost, at: now }];
  const startsProbe = (known?.probedAt ?? null) === null;
  const probedAt = startsProbe ? now : (known?.probedAt ?? null);
  return {
    state: withPending(state, incarnationKey, { losses, probedAt }),
    outputs: startsProbe ? [{ type: 'probe', incarnationKey }] : [],
  };
}

function recordCrash(
  state: EndpointCrashesState,
  incarnationKey: IncarnationKey,
  evidence: CrashEvidence,
  now: number,
): EndpointCrashesStep {
  const suspects = (state.pending.get(incarnationKey)?.losses ?? []).map(({ lost }) => lost);
  const crashed = new Map(state.crashed).set(incarnationKey, now);
  return {
    state: { ...withPending(state, incarnationKey, null), crashed },
    outputs: suspects.length === 0 ? [] : [{ type: 'ended', incarnationKey, evidence, suspects }],
  };
}

/**
 * Drops losses from before a probe that the endpoint accepted: since it still listens, it has not crashed.
 *
 * Requests are also lost when one rank of a group crashes and all others drop their work, or when a
 * connection is reset. Without this check they would count as the cause of a crash and be refused. For
 * requests lost while the probe ran, the endpoint is probed again.
 */
function onOpen(
  state: EndpointCrashesState,
  incarnationKey: IncarnationKey,
  now: number,
): EndpointCrashesStep {
  const known = state.pending.get(incarnationKey);
  const probedAt = known?.probedAt ?? now;
  const later = (known?.losses ?? []).filter(({ at }) => at > probedAt);
  if (later.length === 0) {
    return { state: withPending(state, incarnationKey, null), outputs: [] };
  }
  return {
    state: withPending(state, incarnationKey, { losses: later, probedAt: now }),
    outputs: [{ type: 'probe', incarnationKey }],
  };
}

function onProbed(
  state: EndpointCrashesState,
  { incarnationKey, result }: Extract<EndpointCrashesInput, { type: 'probed' }>,
  now: number,
): EndpointCrashesStep {
  const known = state.pending.get(incarnationKey);
  if (known === undefined) {
    return { state, outputs: [] };
  }
  if (result === 'open') {
    return onOpen(state, incarnationKey, now);
  }
  return result === 'refused'
    ? recordCrash(state, incarnationKey, 'refused', now)
    : { state: withPending(state, incarnationKey, { ...known, probedAt: null }), outputs: [] };
}

function onTick(state: EndpointCrashesState, now: number): EndpointCrashesStep {
  const pending = [...state.pending]
    .map(([incarnationKey, known]): [IncarnationKey, PendingLosses] => [
      incarnationKey,
      { ...known, losses: known.losses.filter(({ at }) => now - at <= PENDING_LOSS_MS) },
    ])
    .filter(([, { losses }]) => losses.length > 0);
  const crashed = [...state.crashed].filter(([, at]) => now - at <= CRASH_RETENTION_MS);
  return { state: { pending: new Map(pending), crashed: new Map(crashed) }, outputs: [] };
}

type Handlers = {
  readonly [T in EndpointCrashesInput['type']]: (
    state: EndpointCrashesState,
    input: Extract<EndpointCrashesInput, { type: T }>,
    now: number,
  ) => EndpointCrashesStep;
};

const HANDLERS: Handlers = {
  lost: onLost,
  probed: onProbed,
  ended: (state, { incarnationKey }, now) => recordCrash(state, incarnationKey, 'reported', now),
  tick: (state, _input, now) => onTick(state, now),
};

/** Applies one input to the crash detection. */
export function stepEndpointCrashes(
  state: EndpointCrashesState,
  input: EndpointCrashesInput,
  now: number,
): EndpointCrashesStep {
  const handler = HANDLERS[input.type] as (
    state: EndpointCrashesState,
    input: EndpointCrashesInput,
    now: number,
  ) => EndpointCrashesStep;
  return handler(state, input, now);
}
