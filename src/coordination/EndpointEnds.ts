/**
 * Which requests were in progress at an endpoint when it ended. An entry process sees connections end; what that
 * means is told by a probe right after, or by later news of the endpoint. Pure: it is given what was seen, and says
 * when to probe.
 */

import type { MemberRecord } from '../protocol/index.js';

/** One life of an endpoint: a later one under the same id, or at the same address, is another. */
export type EndpointLife = string;

/** Key of one life of an endpoint: a later one under the same id has nothing in common with it. */
export function lifeOf({ id, incarnation }: MemberRecord): EndpointLife {
  return `${id}@${incarnation}`;
}

/** Id of the endpoint whose life it is. */
export function idOf(life: EndpointLife): string {
  return life.slice(0, life.lastIndexOf('@'));
}

/**
 * Whether news prove that an endpoint has ended without having said that it leaves: its lease ran out, a later
 * life has its id, or another endpoint has its address. One that says farewell has a newer version of its record.
 */
export function provesEnd(known: MemberRecord, news: MemberRecord): boolean {
  if (news.id !== known.id) {
    return news.address === known.address && news.role === known.role && news.status === 'serving';
  }
  return news.incarnation === known.incarnation
    ? news.status === 'gone' && news.version === known.version
    : news.incarnation > known.incarnation;
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
export interface EndpointEndsState {
  readonly pending: ReadonlyMap<EndpointLife, PendingLosses>;
  /** Lives that are known to have ended, with when that was learned, ms. */
  readonly ended: ReadonlyMap<EndpointLife, number>;
}

/** How the end of an endpoint was learned. */
export type EndEvidence = 'refused' | 'reported';

/** What goes in. */
export type EndpointEndsInput =
  | { readonly type: 'lost'; readonly life: EndpointLife; readonly lost: LostRequest }
  /** A probe has come back; it is undecided where it was neither refused nor kept. */
  | {
      readonly type: 'probed';
      readonly life: EndpointLife;
      readonly result: 'refused' | 'open' | 'unknown';
    }
  /** News that a life has ended without having said that it leaves. */
  | { readonly type: 'ended'; readonly life: EndpointLife }
  | { readonly type: 'tick' };

/** What comes out. */
export type EndpointEndsOutput =
  | { readonly type: 'probe'; readonly life: EndpointLife }
  /** A life has ended, and these were in progress there. */
  | {
      readonly type: 'ended';
      readonly life: EndpointLife;
      readonly evidence: EndEvidence;
      readonly suspects: readonly LostRequest[];
    };

/** New state and outputs of a step. */
export interface EndpointEndsStep {
  readonly state: EndpointEndsState;
  readonly outputs: readonly EndpointEndsOutput[];
}

/** Nothing seen yet. */
export const NO_ENDPOINT_ENDS: EndpointEndsState = { pending: new Map(), ended: new Map() };

/** News of an end come at most this long after the connections to it have ended: the longest lease, ms. */
export const PENDING_MS = 6_000;

/** A life is known to have ended for this long: losses there are reported late by stalled streams. ms. */
const ENDED_MS = 60_000;

function withPending(
  state: EndpointEndsState,
  life: EndpointLife,
  pending: PendingLosses | null,
): EndpointEndsState {
  const next = new Map(state.pending);
  if (pending === null) {
    next.delete(life);
  } else {
    next.set(life, pending);
  }
  return { ...state, pending: next };
}

function onLost(
  state: EndpointEndsState,
  { life, lost }: Extract<EndpointEndsInput, { type: 'lost' }>,
  now: number,
): EndpointEndsStep {
  if (state.ended.has(life)) {
    return { state, outputs: [{ type: 'ended', life, evidence: 'reported', suspects: [lost] }] };
  }
  const known = state.pending.get(life);
  const losses = [...(known?.losses ?? []), { lost, at: now }];
  const probes = (known?.probedAt ?? null) === null;
  const probedAt = probes ? now : (known?.probedAt ?? null);
  return {
    state: withPending(state, life, { losses, probedAt }),
    outputs: probes ? [{ type: 'probe', life }] : [],
  };
}

function end(
  state: EndpointEndsState,
  life: EndpointLife,
  evidence: EndEvidence,
  now: number,
): EndpointEndsStep {
  const suspects = (state.pending.get(life)?.losses ?? []).map(({ lost }) => lost);
  const ended = new Map(state.ended).set(life, now);
  return {
    state: { ...withPending(state, life, null), ended },
    outputs: suspects.length === 0 ? [] : [{ type: 'ended', life, evidence, suspects }],
  };
}

/**
 * An endpoint that still listens has not ended: what was lost there before is no evidence.
 *
 * Failure: one rank of a group ends, and all others drop their work, or a connection is reset. Symptom: the
 * requests there would count as if they had ended an endpoint, and be refused for it. Enough: an endpoint that
 * takes a connection after the loss has outlived it. What was lost while the probe ran is probed for again.
 */
function onOpen(state: EndpointEndsState, life: EndpointLife, now: number): EndpointEndsStep {
  const known = state.pending.get(life);
  const probedAt = known?.probedAt ?? now;
  const later = (known?.losses ?? []).filter(({ at }) => at > probedAt);
  if (later.length === 0) {
    return { state: withPending(state, life, null), outputs: [] };
  }
  return {
    state: withPending(state, life, { losses: later, probedAt: now }),
    outputs: [{ type: 'probe', life }],
  };
}

function onProbed(
  state: EndpointEndsState,
  { life, result }: Extract<EndpointEndsInput, { type: 'probed' }>,
  now: number,
): EndpointEndsStep {
  const known = state.pending.get(life);
  if (known === undefined) {
    return { state, outputs: [] };
  }
  if (result === 'open') {
    return onOpen(state, life, now);
  }
  return result === 'refused'
    ? end(state, life, 'refused', now)
    : { state: withPending(state, life, { ...known, probedAt: null }), outputs: [] };
}

function onTick(state: EndpointEndsState, now: number): EndpointEndsStep {
  const pending = [...state.pending]
    .map(([life, known]): [EndpointLife, PendingLosses] => [
      life,
      { ...known, losses: known.losses.filter(({ at }) => now - at <= PENDING_MS) },
    ])
    .filter(([, { losses }]) => losses.length > 0);
  const ended = [...state.ended].filter(([, at]) => now - at <= ENDED_MS);
  return { state: { pending: new Map(pending), ended: new Map(ended) }, outputs: [] };
}

type Handlers = {
  readonly [T in EndpointEndsInput['type']]: (
    state: EndpointEndsState,
    input: Extract<EndpointEndsInput, { type: T }>,
    now: number,
  ) => EndpointEndsStep;
};

const HANDLERS: Handlers = {
  lost: onLost,
  probed: onProbed,
  ended: (state, { life }, now) => end(state, life, 'reported', now),
  tick: (state, _input, now) => onTick(state, now),
};

/** One step of the watch. */
export function stepEndpointEnds(
  state: EndpointEndsState,
  input: EndpointEndsInput,
  now: number,
): EndpointEndsStep {
  const handler = HANDLERS[input.type] as (
    state: EndpointEndsState,
    input: EndpointEndsInput,
    now: number,
  ) => EndpointEndsStep;
  return handler(state, input, now);
}
