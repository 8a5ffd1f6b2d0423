/** Routing: which endpoint an attempt goes to. A pure decision over what this process knows. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { MemberRecord } from '../protocol/index.js';
import {
  AFFINITY_SLACK,
  EJECT_FAILURES,
  EJECT_MAX_MS,
  EJECT_MS,
  EJECT_SHARE,
  LOGGED_CANDIDATES,
  REMOTE_ZONE_COST,
  REPORT_HALF_LIFE_MS,
  SLOW_START_MS,
} from './RoutingConstants.js';
import { hashText, mixHashes } from './RoutingHash.js';
import type {
  RoutingCandidate,
  RoutingDecision,
  RoutingEndpoint,
  RoutingInput,
  RoutingRequest,
  RoutingState,
} from './RoutingTypes.js';

/** Largest hash. */
const MAX_HASH = 2 ** 31 - 1;

/** State of a process that knows no endpoint yet. */
export function initRouting(zone: string): RoutingState {
  return { zone, services: new Map(), positions: new Map() };
}

/** Key of the service that an endpoint serves. */
export function serviceKey(fleet: string, service: string): string {
  return `${fleet}/${service}`;
}

function freshEndpoint(record: MemberRecord, now: number): RoutingEndpoint {
  return {
    record,
    hash: hashText(record.id),
    slots: Math.max(1, record.offer?.slots ?? 1),
    inFlight: 0,
    load: null,
    inFlightAtReport: 0,
    reportedAt: now,
    firstSeenAt: now,
    failures: 0,
    ejectedUntil: 0,
  };
}

function findEndpoint(state: RoutingState, id: string): RoutingEndpoint | undefined {
  const position = state.positions.get(id);
  return position === undefined
    ? undefined
    : state.services.get(position.service)?.[position.index];
}

/** Keeps what is known of an endpoint as long as it is the same incarnation. */
function onMembers(
  state: RoutingState,
  { records }: Extract<RoutingInput, { type: 'members' }>,
  now: number,
): RoutingState {
  const services = new Map<string, RoutingEndpoint[]>();
  const positions = new Map<string, { service: string; index: number }>();
  records.forEach((record) => {
    if (record.role !== 'endpoint' || record.offer === undefined || record.status !== 'serving') {
      return;
    }
    const known = findEndpoint(state, record.id);
    const isSameIncarnation = known?.record.incarnation === record.incarnation;
    const service = serviceKey(record.offer.fleet, record.offer.service);
    const endpoints = services.get(service) ?? [];
    services.set(service, endpoints);
    positions.set(record.id, { service, index: endpoints.length });
    endpoints.push(isSameIncarnation ? { ...known, record } : freshEndpoint(record, now));
  });
  return { ...state, services, positions };
}

function updateEndpoint(
  state: RoutingState,
  id: string,
  update: (endpoint: RoutingEndpoint) => RoutingEndpoint,
): RoutingState {
  const position = state.positions.get(id);
  const endpoints = position && state.services.get(position.service);
  if (position === undefined || endpoints === undefined) {
    return state;
  }
  const next = endpoints.map((endpoint, i) => (i === position.index ? update(endpoint) : endpoint));
  return { ...state, services: new Map(state.services).set(position.service, next) };
}

function countFailure(endpoint: RoutingEndpoint, now: number): RoutingEndpoint {
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
  return updateEndpoint(state, id, (endpoint) => {
    const ended = { ...endpoint, inFlight: Math.max(0, endpoint.inFlight - 1) };
    if (result === 'failed') {
      return countFailure(ended, now);
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
    updateEndpoint(state, id, (endpoint) => ({ ...endpoint, inFlight: endpoint.inFlight + 1 })),
  done: onDone,
  report: (state, { id, load }, now) =>
    updateEndpoint(state, id, (endpoint) => ({
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
  const warmup = Math.min(1, 0.25 + (now - endpoint.firstSeenAt) / SLOW_START_MS);
  const remote = endpoint.record.zone === state.zone ? 0 : REMOTE_ZONE_COST;
  return (estimateWork(endpoint, now) + 1) / (endpoint.slots * warmup) + remote;
}

interface Usable {
  readonly endpoints: readonly RoutingEndpoint[];
  readonly lastResort: boolean;
}

/** Endpoints in use; those set aside come back where they would be more than the share allowed. */
function findUsable(state: RoutingState, req: RoutingRequest, now: number): Usable {
  const all = state.services.get(req.service) ?? [];
  const fresh =
    req.exclude.length === 0 ? all : all.filter(({ record }) => !req.exclude.includes(record.id));
  const healthy = fresh.filter(({ ejectedUntil }) => ejectedUntil <= now);
  const ejected = all.length - all.filter(({ ejectedUntil }) => ejectedUntil <= now).length;
  return ejected > all.length * EJECT_SHARE || healthy.length === 0
    ? { endpoints: fresh, lastResort: healthy.length === 0 && fresh.length > 0 }
    : { endpoints: healthy, lastResort: false };
}

/** The few best, best first, by one pass: sorting hundreds for four costs more than the rest. */
function pickBest(
  endpoints: readonly RoutingEndpoint[],
  scores: readonly number[],
): readonly RoutingCandidate[] {
  const best: { id: string; score: number }[] = [];
  endpoints.forEach(({ record }, i) => {
    const score = scores[i] ?? Infinity;
    const last = best[LOGGED_CANDIDATES - 1];
    if (last === undefined || score < last.score) {
      const at = best.findIndex((item) => score < item.score);
      best.splice(at < 0 ? best.length : at, 0, { id: record.id, score });
      best.length = Math.min(best.length, LOGGED_CANDIDATES);
    }
  });
  return best;
}

/** Of the endpoints within a slack of the best, the one that comes first by `weigh`. */
function pickWithinSlack(
  endpoints: readonly RoutingEndpoint[],
  scores: readonly number[],
  limit: number,
  weightOf: (endpoint: RoutingEndpoint) => number,
): RoutingEndpoint | null {
  let chosen: RoutingEndpoint | null = null;
  let weight = -1;
  endpoints.forEach((endpoint, i) => {
    if ((scores[i] ?? Infinity) <= limit) {
      const candidateWeight = weightOf(endpoint);
      if (candidateWeight > weight) {
        chosen = endpoint;
        weight = candidateWeight;
      }
    }
  });
  return chosen;
}

/** Chooses an endpoint for one attempt. */
export function routeRequest(
  state: RoutingState,
  req: RoutingRequest,
  now: number,
  rng: RandomGenerator,
): RoutingDecision {
  const { endpoints, lastResort } = findUsable(state, req, now);
  const scores = endpoints.map((endpoint) => scoreEndpoint(state, endpoint, now));
  const candidates = pickBest(endpoints, scores);
  const [best] = candidates;
  if (best === undefined) {
    return { endpoint: null, reason: 'no_endpoint', of: 0, candidates };
  }
  const { prefix } = req;
  const slack = prefix === null ? 0 : AFFINITY_SLACK;
  // Without a prefix the weights are random, which tells equal scores apart.
  const key = prefix ?? uniformInt(rng, 0, MAX_HASH);
  const chosen = pickWithinSlack(endpoints, scores, best.score + slack, ({ hash }) =>
    mixHashes(key, hash),
  );
  const reason = prefix === null ? 'least_load' : 'affinity';
  return {
    endpoint: chosen?.record ?? null,
    reason: lastResort ? 'last_resort' : reason,
    of: endpoints.length,
    candidates,
  };
}
