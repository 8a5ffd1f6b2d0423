/** Routing: chooses the endpoint for an attempt; pure, from what this process knows. */
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

const MAX_RANDOM_KEY = 2 ** 31 - 1;

/** Initial state: no endpoint is known. */
export function initRouting(zone: string): RoutingState {
  return { zone, services: new Map(), positions: new Map() };
}

/** Key of a service, `fleet/service`. */
export function serviceKey(fleet: string, service: string): string {
  return `${fleet}/${service}`;
}

function initEndpoint(record: MemberRecord, now: number): RoutingEndpoint {
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

/** Replaces the endpoints; keeps what is known of one if its incarnation is the same. */
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
    endpoints.push(isSameIncarnation ? { ...known, record } : initEndpoint(record, now));
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

/** Applies one input; all changes of the routing state go through here. */
export function updateRouting(state: RoutingState, input: RoutingInput, now: number): RoutingState {
  const handler = HANDLERS[input.type] as (
    state: RoutingState,
    input: RoutingInput,
    now: number,
  ) => RoutingState;
  return handler(state, input, now);
}

/**
 * Estimated work at an endpoint, in calls.
 *
 * Reports lag, so all entry processes can see the same endpoint as idle and send their calls to it. So
 * own calls count in full at once, the reported work of others decays with the age of the report, and
 * ties are broken at random.
 */
export function estimateWork(endpoint: RoutingEndpoint, now: number): number {
  if (endpoint.load === null) {
    return endpoint.inFlight;
  }
  const { running, queued } = endpoint.load;
  const others = Math.max(0, running + queued - endpoint.inFlightAtReport);
  const decay = 0.5 ** ((now - endpoint.reportedAt) / REPORT_HALF_LIFE_MS);
  return endpoint.inFlight + others * decay;
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

/** Endpoints to choose from: ejected ones too, if more than the allowed share is ejected or no other is left. */
function findUsable(state: RoutingState, req: RoutingRequest, now: number): Usable {
  const all = state.services.get(req.service) ?? [];
  const allowed =
    req.exclude.length === 0 ? all : all.filter(({ record }) => !req.exclude.includes(record.id));
  const healthy = allowed.filter(({ ejectedUntil }) => ejectedUntil <= now);
  const ejected = all.length - all.filter(({ ejectedUntil }) => ejectedUntil <= now).length;
  return ejected > all.length * EJECT_SHARE || healthy.length === 0
    ? { endpoints: allowed, lastResort: healthy.length === 0 && allowed.length > 0 }
    : { endpoints: healthy, lastResort: false };
}

/** The best few, best first, in one pass: sorting hundreds for the best four costs more than the rest of routing. */
function pickBest(
  endpoints: readonly RoutingEndpoint[],
  scores: readonly number[],
): readonly RoutingCandidate[] {
  const best: { id: string; score: number }[] = [];
  endpoints.forEach(({ record }, i) => {
    const score = scores[i] ?? Infinity;
    const last = best[LOGGED_CANDIDATES - 1];
    if (last === undefined || score < last.score) {
      const insertAt = best.findIndex((item) => score < item.score);
      best.splice(insertAt < 0 ? best.length : insertAt, 0, { id: record.id, score });
      best.length = Math.min(best.length, LOGGED_CANDIDATES);
    }
  });
  return best;
}

/** The endpoint with the highest weight among those with a score of at most `limit`. */
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
  // Without a prefix the key is random, which breaks ties at random.
  const key = prefix ?? uniformInt(rng, 0, MAX_RANDOM_KEY);
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
