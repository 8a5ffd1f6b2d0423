/**
 * Which requests were in progress at an endpoint when it ended. An entry process sees connections end; what that
 * means is told by a probe right after, or by later news of the endpoint. Pure: it is given what was seen, and says
 * when to probe.
 */

import type { MemberRecord } from '../protocol/index.js';

/** One life of an endpoint: a later one under the same id, or at the same address, is another. */
export type IncarnationKey = string;

/** Key of one life of an endpoint: a later one under the same id has nothing in common with it. */
export function incarnationKeyOf({ id, incarnation }: MemberRecord): IncarnationKey {
  return `${id}@${incarnation}`;
}

/** Id of the endpoint whose life it is. */
export function endpointIdOf(incarnationKey: IncarnationKey): string {
  return incarnationKey.slice(0, incarnationKey.lastIndexOf('@'));
}

/**
 * Whether news prove that an endpoint has ended without having said that it leaves: its lease ran out, a later
 * life has its id, or another endpoint has its address. One that says farewell has a newer version of its record.
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

/** A request whose connection ended without the endpoint's answer being whole. */
export interface LostRequest {
  readonly digest: string;
  readonly customer: string;
  /** The caller's id of it, for the log. */
  readonly request: string;
}

/** Requests lost at one life, while nobody knows whether it has ended. */
interface PendingLosses {
  readonly losses: readonly { readonly lost: LostRequest; readonly at: number }[];
  /** When the probe that runs was begun, ms; null for none. */
  readonly probedAt: number | null;
}

/** State of the watch. */
export interface EndpointCrashesState {
  readonly pending: ReadonlyMap<IncarnationKey, PendingLosses>;
  /** Lives that are known to have ended, with when that was learned, ms. */
  readonly crashed: ReadonlyMap<IncarnationKey, number>;
}

/** How the end of an endpoint was learned. */
export type CrashEvidence = 'refused' | 'reported';

/** What goes in. */
export type EndpointCrashesInput =
  | { readonly type: 'lost'; readonly incarnationKey: IncarnationKey; readonly lost: LostRequest }
  /** A probe has come back; it is undecided where it was neither refused nor kept. */
  | {
      readonly type: 'probed';
      readonly incarnationKey: IncarnationKey;
      readonly result: 'refused' | 'open' | 'unknown';
    }
  /** News that a life has ended without having said that it leaves. */
  | { readonly type: 'ended'; readonly incarnationKey: IncarnationKey }
  | { readonly type: 'tick' };

/** What comes out. */
export type EndpointCrashesOutput =
  | { readonly type: 'probe'; readonly incarnationKey: IncarnationKey }
  /** A life has ended, and these were in progress there. */
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

/** Nothing seen yet. */
export const NO_ENDPOINT_CRASHES: EndpointCrashesState = { pending: new Map(), crashed: new Map() };

/** News of an end come at most this long after the connections to it have ended: the longest lease, ms. */
export const PENDING_LOSS_MS = 6_000;

/** A life is known to have ended for this long: losses there are reported late by stalled streams. ms. */
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
 * An endpoint that still listens has not ended: what was lost there before is no evidence.
 *
 * Failure: one rank of a group ends, and all others drop their work, or a connection is reset. Symptom: the
 * requests there would count as if they had ended an endpoint, and be refused for it. Enough: an endpoint that
 * takes a connection after the loss has outlived it. What was lost while the probe ran is probed for again.
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

/** One step of the watch. */
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
