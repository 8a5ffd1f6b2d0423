import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { pino } from 'pino';
import type { GroupLoad } from '../../../protocol/index.js';
import { DaemonDemand } from '../../DaemonDemand.js';

const ROW = { priority: 0, customer: 'a', waiting: 2, perSecond: 4 };

/** Time after which collected messages have been passed on, ms. */
const COLLECTED_MS = 200;

const LOAD: GroupLoad = {
  group: 'g',
  open: true,
  active: [1],
  queued: [0],
  passMs: 40,
  skew: 1,
  grants: { intervalMs: 250, rows: [{ priority: 0, demand: 3, granted: 1 }], capped: [] },
};

describe('DaemonDemand', () => {
  let now = 0;
  let sent: [string, number][] = [];
  let lines: string[] = [];

  const open = (): DaemonDemand =>
    new DaemonDemand({
      log: pino({ level: 'warn' }, { write: (line: string) => lines.push(line) }),
      now: () => now,
      sendToProcess: (id, demands) => sent.push([id, demands.length]),
      sendToPeer: (name, demands) => sent.push([`peer ${name}`, demands.length]),
    });

  beforeEach(() => {
    now = 0;
    sent = [];
    lines = [];
  });

  it('passes the demand of all hosts together on to where the loads come from', async () => {
    const demand = open();
    demand.onLoad(LOAD, { isPeer: true, name: 'c2' });
    demand.onDemand({ group: 'g', host: 'h1', rows: [ROW] });
    demand.onDemand({ group: 'g', host: 'h1', rows: [ROW] });
    demand.onDemand({ group: 'g', host: 'h2', rows: [ROW] });
    assert.deepEqual(sent, []);
    await delay(COLLECTED_MS);
    assert.deepEqual(sent, [['peer c2', 2]]);
  });

  // Priorities are any numbers of the document. Guards against a decider that never learns of such a demand.
  it('passes on demand of a priority below 0', async () => {
    const demand = open();
    demand.onLoad(LOAD, { isPeer: false, name: 'side1' });
    demand.onDemand({ group: 'g', host: 'h1', rows: [{ ...ROW, priority: -1.5 }] });
    await delay(COLLECTED_MS);
    assert.deepEqual([sent, lines], [[['side1', 1]], []]);
  });

  // Two coordinators publish after a partition. Guards against messages that circulate between control processes.
  it('passes messages of other control processes on to processes attached here only', () => {
    const demand = open();
    demand.onLoad(LOAD, { isPeer: true, name: 'c2' });
    demand.onLoad(LOAD, { isPeer: false, name: 'side1' });
    demand.onPeerDemands([{ group: 'g', host: 'h1', rows: [ROW] }]);
    assert.deepEqual(sent, [['side1', 1]]);
  });

  it('sends nothing to a process that has published no load lately, and lists no levels of it', () => {
    const demand = open();
    demand.onLoad(LOAD, { isPeer: false, name: 'side1' });
    assert.deepEqual(demand.levels, [{ group: 'g', priority: 0, demand: 3, granted: 1, ageMs: 0 }]);
    now = 2_001;
    demand.onPeerDemands([{ group: 'g', host: 'h1', rows: [ROW] }]);
    assert.deepEqual([sent, demand.levels], [[], []]);
  });

  [
    null,
    { group: 'g', host: 'h1' },
    { group: 'g', host: 'h1', rows: [{ ...ROW, waiting: -1 }] },
    { group: 'g', host: 'h1', rows: [{ ...ROW, perSecond: 'many' }] },
    { group: 'g', host: 'h1', rows: [ROW, { ...ROW, priority: Number.NaN }] },
  ].forEach((params) => {
    it(`uses no part of an invalid message and logs it: ${JSON.stringify(params)}`, async () => {
      const demand = open();
      demand.onLoad(LOAD, { isPeer: false, name: 'side1' });
      demand.onDemand(params);
      await delay(COLLECTED_MS);
      assert.deepEqual([sent, lines.length], [[], 1]);
    });
  });
});
