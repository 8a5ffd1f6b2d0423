import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type {
  EngineCosts,
  HttpDialect,
  MemberRecord,
  RoutePlan,
} from '../../../../protocol/index.js';
import type { ConfigState } from '../../../../state/index.js';
import type { Runtime } from '../../../DaemonRuntime.js';
import { entriesOfDocument } from '../../DirectDocument.js';
import { DirectEntryState } from '../../DirectEntryState.js';
import type { SlotRequest } from '../../DirectAdmission.js';

const COSTS = {
  slots: 2,
  stepsPerPass: 5,
  stepMs: 6,
  writerMs: 0.5,
  contextMsPerK: 0,
  readTokensPerMs: 60,
  expertShare: 0.85,
  experts: 4,
  usualPrompt: 600,
  usualAnswer: 100,
} as EngineCosts;

const PLAN = {
  version: 1,
  routes: [],
  customers: [],
  services: [
    { name: 'group', maxConnections: 8, engine: COSTS },
    { name: 'plain', maxConnections: 8, engine: null },
  ],
} as unknown as RoutePlan;

const REQUEST: SlotRequest = {
  request: 'r',
  service: 'group',
  customer: '',
  priority: 1,
  startedAt: 0,
  objectiveMs: 400,
  deadline: 8_000,
  patienceMs: 2_000,
  tokens: 100,
  likelyTokens: 100,
  eventsReceived: 0,
  isCallerRetry: true,
};

function endpoint(id: string, n: number, zone: string, service: string): MemberRecord {
  return {
    id,
    role: 'endpoint',
    zone,
    address: `10.0.0.${n}:80`,
    incarnation: 1,
    version: 1,
    status: 'serving',
    offer: { fleet: 'direct', service, slots: 2 },
  };
}

function sidecar(n: number, zone: string): MemberRecord {
  return {
    ...endpoint(`side${n}`, n, zone, 'group'),
    address: `10.0.0.${n}:7340`,
    offer: { fleet: 'ranks', service: 'group', slots: 1, group: 'g', ranks: [n - 1] },
  };
}

const MEMBERS = [
  endpoint('g1', 1, 'z1', 'group'),
  endpoint('g2', 2, 'z2', 'group'),
  sidecar(1, 'z1'),
  sidecar(2, 'z2'),
  endpoint('p1', 3, 'z1', 'plain'),
  endpoint('p2', 4, 'z2', 'plain'),
];

function config(index: number, ...zones: readonly string[]): ConfigState {
  const evacuations = zones.map((zone) => [`@system/evacuation/${zone}`, { since: index }]);
  return {
    index,
    entries: { ...entriesOfDocument('a document'), ...Object.fromEntries(evacuations) },
  };
}

function openState(random: Runtime['random']): DirectEntryState {
  const runtime: Runtime = {
    log: pino({ level: 'silent' }),
    registry: new Registry(),
    rng: xoroshiro128plus(1),
    now: () => 0,
    clocks: () => ({ monotonic: 0, wall: 0 }),
    random,
    incarnation: 1,
  };
  const state = new DirectEntryState({
    id: 'entry-1',
    zone: 'z1',
    runtime,
    http: {} as HttpDialect,
    documents: { readPlan: () => PLAN },
    revokeMs: 5_000,
    applyMs: 2_000,
    evacuateMs: 5_000,
    retries: { ratio: 1, extra: 1, windowMs: 1_000 },
    sendQuarantineUpdate: () => undefined,
    sendLimitUpdate: () => undefined,
    sendDemand: () => undefined,
    requestRetries: async () => Promise.resolve(0),
  });
  state.onDirectory({ full: true, records: MEMBERS });
  state.onConfig(config(1));
  return state;
}

/** Ids of the endpoints that 40 requests to a service are sent to. */
function chosen(state: DirectEntryState, service: string): readonly string[] {
  const ids = Array.from(
    { length: 40 },
    (_item, i) => state.route(service, `r${i}`, [], 1)?.id ?? '',
  );
  return [...new Set(ids)];
}

const LOAD = { group: 'g', open: true, active: [0, 0], queued: [0, 0], passMs: 40, skew: 1 };

describe('DirectEntryState', () => {
  // Guards against requests that are sent to a zone since only one of the two ways to choose an endpoint excludes it.
  it('chooses no endpoint in an evacuated zone, and the others of the same group or service', () => {
    const rng = xoroshiro128plus(2);
    const state = openState(() => uniformFloat64(rng));
    state.admission.onLoad(LOAD);
    assert.ok(chosen(state, 'group').includes('g1'));
    assert.ok(chosen(state, 'plain').includes('p1'));
    state.onConfig(config(2, 'z1'));
    assert.deepEqual(chosen(state, 'group'), ['g2']);
    assert.deepEqual(chosen(state, 'plain'), ['p2']);
    assert.equal(state.canRoute('plain', ['p2']), false);
    assert.equal(state.canRoute('group', ['g2']), false);
    state.onConfig(config(3));
    assert.ok(chosen(state, 'group').includes('g1'));
    assert.ok(chosen(state, 'plain').includes('p1'));
  });

  // Guards against a request that waits for a connection or a send slot and is sent after its zone was evacuated.
  it('prevents a send to an endpoint that was chosen before', () => {
    const state = openState(() => 0);
    const [inZone, elsewhere] = [MEMBERS[4], MEMBERS[5]] as [MemberRecord, MemberRecord];
    assert.equal(state.sendSlots.start(inZone, false), true);
    state.onConfig(config(2, 'z1'));
    assert.equal(state.sendSlots.start(inZone, false), false);
    assert.equal(state.sendSlots.start(inZone, true), false);
    assert.equal(state.sendSlots.isServing({ endpoint: inZone, waitMs: 0 }), false);
    assert.equal(state.sendSlots.start(elsewhere, false), true);
  });

  // Guards against callers that wait until their deadline for a group to which nothing may be sent.
  it('refuses the requests that wait at a service that has become evacuated, with the time of one that is down', async () => {
    const state = openState(() => 0);
    state.admission.onLoad({ ...LOAD, open: false });
    const waiting = state.admission.acquire(REQUEST, new AbortController().signal);
    state.onConfig(config(2, 'z1'));
    assert.equal(state.admission.waiting, 1);
    const whileDownMs = state.retryAfter('group', 8_000);
    state.admission.onLoad({ ...LOAD, open: false });
    state.onConfig(config(3, 'z1', 'z2'));
    const decision = await waiting;
    assert.deepEqual(decision, { granted: false, retryAfterMs: whileDownMs });
    state.admission.onLoad(LOAD);
    assert.equal(state.retryAfter('group', 8_000), whileDownMs);
    assert.equal(state.isServiceDown('group'), false);
    assert.match(state.noEndpointError('group').message, /evacuated: z1, z2/);
  });
});
