/** Routing: which endpoint an attempt goes to. A pure decision over what this process knows. */
import { Map as ImmutableMap } from 'immutable';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { MemberRecord } from '../protocol/index.js';
import {
  AFFINITY_SLACK,
  EJECT_FAILURES,
  EJECT_MAX_MS,
  EJECT_MS,
  EJECT_SHARE,
  REMOTE_ZONE_COST,
  REPORT_HALF_LIFE_MS,
  SLOW_START_MS,
} from './RoutingConstants.js';
import { rendezvousOrder } from './RoutingHash.js';
import type {
  RoutingCandidate,
  RoutingDecision,
  RoutingEndpoint,
  RoutingInput,
  RoutingRequest,
  RoutingState,
} from './RoutingTypes.js';

/** State of a process that knows no endpoint yet. */
export function initRouting(zone: string): RoutingState {
  return { zone, endpoints: ImmutableMap(), byService: new Map() };
}

/** Key of the service that an endpoint serves. */
export function serviceKey(fleet: string, service: string): string {
  return `${fleet}/${service}`;
}

function freshEndpoint(record: MemberRecord, now: number): RoutingEndpoint {
  return {
    record,
    slots: Math.max(1, record.offer?.slots ?? 1),
    inFlight: 0,
    load: null,
    inFlightAtReport: 0,
    reportedAt: now,
    since: now,
    failures: 0,
    ejectedUntil: 0,
  };
}

/** Keeps what is known of an endpoint as long as it is the same incarnation. */
function onMembers(
  state: RoutingState,
  { records }: Extract<RoutingInput, { type: 'members' }>,
  now: number,
): RoutingState {
  const endpoints = new Map<string, RoutingEndpoint>();
  const byService = new Map<string, string[]>();
  records.forEach((record) => {
    if (record.role !== 'endpoint' || record.offer === undefined || record.status !== 'serving') {
      return;
    }
    const known = state.endpoints.get(record.id);
    const same = known?.record.incarnation === record.incarnation;
    endpoints.set(record.id, same ? { ...known, record } : freshEndpoint(record, now));
    const key = serviceKey(record.offer.fleet, record.offer.service);
    byService.set(key, [...(byService.get(key) ?? []), record.id]);
  });
  return { ...state, endpoints: ImmutableMap(endpoints), byService };
}

function change(
  state: RoutingState,
  id: string,
  update: (endpoint: RoutingEndpoint) => RoutingEndpoint,
): RoutingState {
  const known = state.endpoints.get(id);
  return known === undefined
    ? state
    : { ...state, endpoints: state.endpoints.set(id, update(known)) };
}

function afterFailure(endpoint: RoutingEndpoint, now: number): RoutingEndpoint {
  const failures = endpoint.failures + 1;
  const excess = failures - EJECT_FAILURES;
  const ejectedUntil =
    excess < 0 ? endpoint.ejectedUntil : now + Math.min(EJECT_MAX_MS, EJECT_MS * 2 ** excess);
  return { ...endpoint, failures, ejectedUntil };
}

function onDone(
  state: RoutingState,
  { id, result }: Extract<RoutingInput, { type: 'done' }>,
  now: number,
): RoutingState {
  return change(state, id, (endpoint) => {
    const ended = { ...endpoint, inFlight: Math.max(0, endpoint.inFlight - 1) };
    if (result === 'failed') {
      return afterFailure(ended, now);
    }
    return result === 'whole' ? { ...ended, failures: 0, ejectedUntil: 0 } : ended;
  });
}

type Handlers = {
  readonly [T in RoutingInput['type']]: (
    state: RoutingState,
    input: Extract<RoutingInput, { type: T }>,
    now: number,
  ) => RoutingState;
};

const HANDLERS: Handlers = {
  members: onMembers,
  sent: (state, { id }) =>
    change(state, id, (endpoint) => ({ ...endpoint, inFlight: endpoint.inFlight + 1 })),
  done: onDone,
  report: (state, { id, load }, now) =>
    change(state, id, (endpoint) => ({
      ...endpoint,
      load,
      slots: Math.max(1, load.slots),
      inFlightAtReport: endpoint.inFlight,
      reportedAt: now,
    })),
};

/** The one place where routing's state changes. */
export function updateRouting(state: RoutingState, input: RoutingInput, now: number): RoutingState {
  const handler = HANDLERS[input.type] as (
    state: RoutingState,
    input: RoutingInput,
    now: number,
  ) => RoutingState;
  return handler(state, input, now);
}

/**
 * Work at an endpoint, in calls.
 *
 * Failure: reports lag, so all entry processes see the same endpoint idle. Symptom: they herd onto
 * it. Enough: own calls sent since the report count in full at once, others' work as reported
 * fades with the report's age, and equal scores are told apart at random.
 */
export function estimateWork(endpoint: RoutingEndpoint, now: number): number {
  if (endpoint.load === null) {
    return endpoint.inFlight;
  }
  const { running, queued } = endpoint.load;
  const others = Math.max(0, running + queued - endpoint.inFlightAtReport);
  const fade = 0.5 ** ((now - endpoint.reportedAt) / REPORT_HALF_LIFE_MS);
  return endpoint.inFlight + others * fade;
}

function scoreEndpoint(state: RoutingState, endpoint: RoutingEndpoint, now: number): number {
  const warmth = Math.min(1, 0.25 + (now - endpoint.since) / SLOW_START_MS);
  const remote = endpoint.record.zone === state.zone ? 0 : REMOTE_ZONE_COST;
  return (estimateWork(endpoint, now) + 1) / (endpoint.slots * warmth) + remote;
}

/** Endpoints in use; those set aside come back where they would be more than the share allowed. */
function usable(
  state: RoutingState,
  req: RoutingRequest,
  now: number,
): { readonly endpoints: readonly RoutingEndpoint[]; readonly lastResort: boolean } {
  const all = (state.byService.get(req.service) ?? [])
    .map((id) => state.endpoints.get(id))
    .filter((endpoint): endpoint is RoutingEndpoint => endpoint !== undefined);
  const fresh = all.filter(({ record }) => !req.exclude.includes(record.id));
  const healthy = fresh.filter(({ ejectedUntil }) => ejectedUntil <= now);
  const mayEject = all.filter(({ ejectedUntil }) => ejectedUntil > now).length;
  const floor = mayEject > all.length * EJECT_SHARE || healthy.length === 0;
  return floor
    ? { endpoints: fresh, lastResort: healthy.length === 0 && fresh.length > 0 }
    : { endpoints: healthy, lastResort: false };
}

interface Scored extends RoutingCandidate {
  readonly endpoint: RoutingEndpoint;
  readonly tie: number;
}

/** Chooses an endpoint for one attempt. */
export function routeRequest(
  state: RoutingState,
  req: RoutingRequest,
  now: number,
  rng: RandomGenerator,
): RoutingDecision {
  const { endpoints, lastResort } = usable(state, req, now);
  const scored = endpoints
    .map((endpoint): Scored => ({
      id: endpoint.record.id,
      score: scoreEndpoint(state, endpoint, now),
      endpoint,
      tie: uniformFloat64(rng),
    }))
    .sort((a, b) => a.score - b.score || a.tie - b.tie);
  const [best] = scored;
  if (best === undefined) {
    return { endpoint: null, reason: 'no_endpoint', candidates: [] };
  }
  const candidates = scored.map(({ id, score }) => ({ id, score }));
  const { prefix } = req;
  if (prefix !== null) {
    const near = scored.filter(({ score }) => score <= best.score + AFFINITY_SLACK);
    const [home] = rendezvousOrder(
      prefix,
      near.map(({ id }) => id),
    );
    const holder = near.find(({ id }) => id === home);
    if (holder !== undefined) {
      return { endpoint: holder.endpoint.record, reason: 'affinity', candidates };
    }
  }
  return {
    endpoint: best.endpoint.record,
    reason: lastResort ? 'last_resort' : 'least_load',
    candidates,
  };
}
