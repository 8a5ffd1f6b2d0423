import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import type {
  EngineCosts,
  GroupLoad,
  MemberRecord,
  SlotGrants,
} from '../../../../protocol/index.js';
import type { Runtime } from '../../../DaemonRuntime.js';
import { DirectAdmission, type SlotRequest } from '../../DirectAdmission.js';
import type { SendDemand } from '../../DirectGrants.js';

const COSTS: EngineCosts = {
  slots: 2,
  stepsPerPass: 5,
  stepMs: 6,
  writerMs: 0.5,
  contextMsPerK: 0,
  readTokensPerMs: 60,
  expertShare: 0.85,
  sets: 1,
  experts: 4,
  slotsPerRank: 2,
  mostNew: 1,
  copyMs: 140,
  usualPrompt: 600,
  usualAnswer: 100,
};

function engine(n: number): MemberRecord {
  return {
    id: `e${n}`,
    role: 'endpoint',
    zone: 'z1',
    address: `10.0.0.${n}:80`,
    incarnation: 1,
    version: 1,
    status: 'serving',
    offer: { fleet: 'direct', service: 's', slots: 2 },
  };
}

function sidecar(n: number): MemberRecord {
  return {
    ...engine(n),
    id: `side${n}`,
    address: `10.0.0.${n}:7340`,
    offer: { fleet: 'ranks', service: 's', slots: 1, group: 'g', ranks: [n - 1] },
  };
}

function load(active: number, open = true): GroupLoad {
  const each = [active, active];
  return { group: 'g', open, active: each, queued: [0, 0], slow: [], passMs: 40, skew: 1 };
}

const REQUEST: SlotRequest = {
  request: 'r',
  service: 's',
  priority: 1,
  customer: '',
  startedAt: 0,
  objectiveMs: 400,
  deadline: 8_000,
  patienceMs: 2_000,
  tokens: 100,
  likelyTokens: 100,
  eventsReceived: 0,
  isCallerRetry: false,
};

type Demand = Parameters<SendDemand>[0];

/** Opens an admission; `sent` receives its demand messages, null for a service with one priority. */
function openAdmission(
  log = pino({ level: 'silent' }),
  now = (): number => 0,
  sent: Demand[] | null = null,
  isConfigured = (): boolean => true,
): DirectAdmission {
  const runtime = { log, now, random: () => 0, registry: new Registry() };
  const admission = new DirectAdmission({
    zone: 'z1',
    runtime: runtime as unknown as Runtime,
    modelOf: () =>
      isConfigured() ? { costs: COSTS, pauseMs: 120, byUrgency: sent !== null } : null,
    sendDemand: (demand) => sent?.push(demand),
  });
  admission.setMembers([engine(1), engine(2), sidecar(1), sidecar(2)], 1);
  return admission;
}

const NEVER_ABORTED = new AbortController().signal;

/** Number of requests that are admitted before one has to wait. */
function countStarts(admission: DirectAdmission): number {
  const before = admission.waiting;
  admission.acquire(REQUEST, NEVER_ABORTED).catch(() => undefined);
  return admission.waiting > before ? 0 : 1 + countStarts(admission);
}

describe('DirectAdmission', () => {
  it('finds the rank of an endpoint by the sidecar on its host', () => {
    const admission = openAdmission();
    admission.onLoad(load(0));
    assert.ok(['e1', 'e2'].includes(admission.choose('s', []) ?? ''));
    assert.equal(admission.choose('s', ['e1']), 'e2');
    assert.equal(admission.choose('plain', []), undefined);
  });

  // Guards against requests that are never answered, as a configuration drops the service whose slots they wait for.
  it('refuses the requests that wait for a service once it is dropped', async () => {
    let isConfigured = true;
    const admission = openAdmission(undefined, undefined, null, () => isConfigured);
    admission.onLoad(load(0, false));
    const waiting = admission.acquire(REQUEST, NEVER_ABORTED);
    admission.tick();
    assert.equal(admission.waiting, 1);
    isConfigured = false;
    admission.tick();
    assert.equal(admission.waiting, 0);
    assert.equal((await waiting).granted, false);
  });

  // All ranks refuse because one is dead. If each request were tried at one rank after another, it would use up the
  // retry budget of its service, and be refused in the end.
  it('sends nothing to a group whose ranks blame another, until it is open again', async () => {
    const admission = openAdmission();
    admission.onLoad(load(0));
    admission.onGroupBroken('e1');
    assert.equal(admission.choose('s', []), null);
    assert.equal(admission.isClosed('s'), true);
    const waiting = admission.acquire(REQUEST, NEVER_ABORTED);
    assert.equal(admission.waiting, 1);
    admission.onLoad(load(0));
    assert.equal((await waiting).granted, true);
    assert.equal(admission.isClosed('s'), false);
    assert.notEqual(admission.choose('s', []), null);
  });

  // A caller has retried while its group was down, and waits. It must be admitted as soon as the group is open, not
  // at the next tick.
  it('admits waiting requests as soon as the group is open', async () => {
    const admission = openAdmission();
    admission.onLoad(load(0, false));
    const waiting = admission.acquire({ ...REQUEST, isCallerRetry: true }, NEVER_ABORTED);
    assert.equal(admission.waiting, 1);
    admission.onLoad(load(0));
    assert.deepEqual(await waiting, { granted: true });
  });

  // A group stays down, and a rank is tried from time to time. Callers must not be queued without a prospect.
  it('queues nothing for a group that has been down for longer than callers wait, until it answers', () => {
    let now = 0;
    const admission = openAdmission(undefined, () => now);
    const waits = (): boolean => {
      const before = admission.waiting;
      const req = { ...REQUEST, startedAt: now, deadline: now + 8_000 };
      admission.acquire(req, NEVER_ABORTED).catch(() => undefined);
      return admission.waiting > before;
    };
    admission.onGroupBroken('e1');
    assert.equal(waits(), true);
    now = 12_000;
    admission.tick();
    admission.onGroupBroken('e1');
    assert.equal(waits(), false);
    admission.onLoad(load(0));
    admission.onGroupBroken('e1');
    assert.equal(waits(), true);
    now = 24_000;
    admission.tick();
    admission.onEvent('e1', true);
    admission.onGroupBroken('e1');
    assert.equal(waits(), true);
  });

  const GRANTS: SlotGrants = {
    intervalMs: 250,
    rows: [
      { priority: 0, demand: 1, granted: 1 },
      { priority: 1, demand: 4, granted: 0 },
    ],
    capped: [],
  };

  // A service whose routes all have one priority. Guards against any change of its decisions and messages.
  it('reports no demand and ignores grants where all routes have one priority', async () => {
    const admission = openAdmission();
    admission.onLoad({ ...load(1), grants: GRANTS });
    assert.deepEqual(await admission.acquire(REQUEST, NEVER_ABORTED), { granted: true });
    admission.onLoad({ ...load(2), grants: GRANTS });
    const waiting = admission.acquire(REQUEST, NEVER_ABORTED);
    assert.equal(admission.waiting, 1);
    admission.onLoad({ ...load(0), grants: GRANTS });
    assert.deepEqual(await waiting, { granted: true });
  });

  // Two hosts compete for the slots. Guards against a less urgent request that takes a slot granted to another host.
  it('reports waiting requests at once, and starts them only with a grant', async () => {
    let now = 0;
    const sent: Demand[] = [];
    const admission = openAdmission(undefined, () => now, sent);
    admission.onLoad(load(2));
    const less = admission.acquire({ ...REQUEST, customer: 'a' }, NEVER_ABORTED);
    assert.deepEqual(sent, [
      { group: 'g', rows: [{ priority: 1, customer: 'a', waiting: 1, perSecond: 1 }] },
    ]);
    now = 250;
    admission.onLoad({ ...load(0), grants: GRANTS });
    assert.equal(admission.waiting, 1);
    const urgent = admission.acquire({ ...REQUEST, priority: 0 }, NEVER_ABORTED);
    assert.deepEqual(await urgent, { granted: true });
    assert.equal(admission.waiting, 1);
    admission.onLoad(load(0));
    assert.deepEqual(await less, { granted: true });
  });

  // The decider is lost. Guards against a host that never starts a request again, and one that takes others' slots.
  it('replaces its own requests while no load arrives', async () => {
    let now = 0;
    const admission = openAdmission(undefined, () => now, []);
    admission.onSent('s', 'e1');
    admission.onLoad(load(2));
    const waiting = admission.acquire(REQUEST, NEVER_ABORTED);
    now = 250;
    admission.onLoad({ ...load(2), grants: GRANTS });
    now = 800;
    admission.tick();
    assert.equal(admission.waiting, 1);
    admission.onDone('s', 'e1');
    assert.deepEqual(await waiting, { granted: true });
  });

  // All ranks of the group are in an evacuated zone. Guards against requests that are admitted for it and then sent to
  // another group beyond its slots.
  it('takes no grants of a group without a rank that may be sent requests, and reports no demand for it', () => {
    let now = 0;
    const sent: Demand[] = [];
    const admission = openAdmission(undefined, () => now, sent);
    admission.onLoad(load(2));
    admission.acquire(REQUEST, NEVER_ABORTED).catch(() => undefined);
    now = 250;
    admission.setUsable(() => false);
    admission.onLoad({ ...load(0), grants: GRANTS });
    admission.acquire({ ...REQUEST, priority: 0 }, NEVER_ABORTED).catch(() => undefined);
    assert.deepEqual([admission.waiting, sent.length], [2, 1]);
  });

  // The group of the grant has no endpoint left for the request. Guards against a request that counts as unsent for
  // good, so that a free slot stays unused.
  it('counts a request as sent that is sent to another place than that of its grant', async () => {
    let now = 0;
    const admission = openAdmission(undefined, () => now, []);
    admission.onLoad(load(2));
    const waiting = admission.acquire({ ...REQUEST, priority: 0 }, NEVER_ABORTED);
    now = 250;
    admission.onLoad({ ...load(0), grants: GRANTS });
    assert.deepEqual(await waiting, { granted: true });
    admission.onSent('s', 'elsewhere');
    admission.onLoad(load(0));
    assert.deepEqual(await admission.acquire(REQUEST, NEVER_ABORTED), { granted: true });
    admission.onSent('s', 'e1');
    admission.onDone('s', 'e1');
    const unaffected = openAdmission(undefined, () => now, []);
    unaffected.onLoad(load(0));
    assert.equal(countStarts(admission), countStarts(unaffected));
  });

  // A stream that broke off near its end must not be refused for lack of time to write the whole of it again.
  it('counts only the remaining tokens of a resumed stream', () => {
    const admission = openAdmission();
    admission.onLoad(load(COSTS.slots));
    const longRequest = { ...REQUEST, tokens: 1_000, likelyTokens: 1_000, deadline: 2_500 };
    admission
      .acquire({ ...longRequest, isCallerRetry: true }, NEVER_ABORTED)
      .catch(() => undefined);
    assert.equal(admission.waiting, 0);
    const eventsHad = 198;
    admission
      .acquire({ ...longRequest, isCallerRetry: true, eventsReceived: eventsHad }, NEVER_ABORTED)
      .catch(() => undefined);
    assert.equal(admission.waiting, 1);
  });

  // A request is refused because its group has just closed. If the group were only logged every two seconds, the log
  // would still show an open group with free slots.
  it('logs at once that a group closes or opens', () => {
    const lines: string[] = [];
    const log = pino({ level: 'info' }, { write: (line: string) => lines.push(line) });
    const admission = openAdmission(log);
    admission.onLoad(load(0));
    admission.onLoad(load(1));
    admission.onLoad(load(1, false));
    admission.onLoad(load(1, false));
    admission.onLoad(load(1));
    admission.onGroupBroken('e1');
    const open = lines.map((line) => (JSON.parse(line) as { readonly open: boolean }).open);
    assert.deepEqual(open, [true, false, true, false]);
  });

  // One rank of a group works ten times slower than the others. Requests sent there make each pass of the group as
  // slow.
  it('sends to a slow rank only where no other is left', () => {
    const admission = openAdmission();
    admission.onLoad({ ...load(0), slow: [0] });
    const chosen = Array.from({ length: 20 }, () => admission.choose('s', []));
    assert.ok(chosen.every((endpoint) => endpoint === 'e2'));
    assert.equal(admission.choose('s', ['e2']), 'e1');
  });

  it('removes a disconnected caller from the queue', async () => {
    const admission = openAdmission();
    admission.onLoad(load(0, false));
    const gone = new AbortController();
    const waiting = admission.acquire({ ...REQUEST, isCallerRetry: true }, gone.signal);
    gone.abort();
    assert.equal((await waiting).granted, false);
    assert.equal(admission.waiting, 0);
  });

  // A rank is unreachable, and the others don't report it for a second and a half. Requests that arrive meanwhile
  // must wait: if sent, they may run in part, and their callers couldn't be told that they have not run.
  it('sends nothing to a group whose streams have all stopped delivering events', async () => {
    let now = 0;
    const admission = openAdmission(pino({ level: 'silent' }), () => now);
    admission.onLoad(load(1));
    admission.onEvent('e1', true);
    now = 250;
    assert.notEqual(admission.choose('s', []), null);
    now = 700;
    admission.tick();
    assert.equal(admission.choose('s', []), null);
    const waiting = admission.acquire(
      { ...REQUEST, startedAt: now, deadline: 8_700 },
      NEVER_ABORTED,
    );
    assert.equal(admission.waiting, 1);
    admission.onEvent('e1', false);
    admission.tick();
    assert.equal((await waiting).granted, true);
    admission.onStreamFinished('e1');
    now = 1_400;
    assert.notEqual(admission.choose('s', []), null);
  });

  // The host of one rank stalls and its engine sends nothing, while the group continues. As it has the least work,
  // one request after another is sent there, and each waits until its caller disconnects two seconds later.
  it('avoids a rank that answers nothing while others do', () => {
    let now = 0;
    const admission = openAdmission(pino({ level: 'silent' }), () => now);
    const chosen = (): string | null | undefined => admission.choose('s', []);
    admission.onLoad(load(0));
    admission.onSent('s', 'e1');
    admission.onSent('s', 'e2');
    admission.onSent('s', 'e2');
    admission.onEvent('e2', true);
    admission.onEvent('e2', true);
    now = 300;
    admission.onEvent('e2', false);
    assert.equal(chosen(), 'e1');
    now = 600;
    assert.equal(chosen(), 'e1');
    admission.onEvent('e2', false);
    assert.equal(chosen(), 'e2');
    now = 2_000;
    admission.onUnanswered('s', 'e1', true);
    admission.onDone('s', 'e1');
    assert.equal(chosen(), 'e2');
    assert.equal(admission.choose('s', ['e2']), 'e1');
    now = 4_100;
    assert.equal(chosen(), 'e1');
    admission.onSent('s', 'e1');
    now = 4_700;
    admission.onEvent('e2', false);
    assert.equal(chosen(), 'e2');
    admission.onEvent('e1', true);
    assert.equal(chosen(), 'e1');
  });

  // A group stalls as a whole, and refuses its requests a second and a half later. No single rank is the cause: if
  // some were avoided once it is open again, the others would get all the work.
  it('avoids no rank of a group that stalled as a whole', () => {
    let now = 0;
    const admission = openAdmission(pino({ level: 'silent' }), () => now);
    admission.onLoad(load(0));
    admission.onSent('s', 'e1');
    admission.onSent('s', 'e2');
    admission.onEvent('e2', true);
    now = 1_500;
    admission.onUnanswered('s', 'e1', false);
    admission.onDone('s', 'e1');
    admission.onLoad(load(0));
    assert.equal(admission.choose('s', []), 'e1');
  });
});
