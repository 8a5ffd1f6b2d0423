import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { OVERLOAD_COSTS } from '../../../../coordination/__tests__/utils/OverloadModel.js';
import type { Runtime } from '../../../DaemonRuntime.js';
import { DirectDemand } from '../../DirectDemand.js';

const USAGE = { limit: 100, running: 100, passMs: 60, intervalMs: 250 };

const MESSAGE = {
  group: 'g',
  host: 'h1',
  rows: [
    { priority: 0, customer: 'a', waiting: 4, perSecond: 8 },
    { priority: 2, customer: 'b', waiting: 40, perSecond: 0 },
  ],
};

describe('DirectDemand', () => {
  const open = (): { demand: DirectDemand; registry: Registry; lines: string[]; at: number[] } => {
    const lines: string[] = [];
    const at = [0];
    const registry = new Registry();
    const log = pino({ level: 'info' }, { write: (line: string) => lines.push(line) });
    const runtime = { log, registry, now: () => at[0] } as unknown as Runtime;
    const demand = new DirectDemand({ group: 'g', runtime, costs: () => OVERLOAD_COSTS });
    return { demand, registry, lines, at };
  };

  it('grants starts for the demand that it is sent, with metrics, and at most one line a second', async () => {
    const { demand, registry, lines, at } = open();
    assert.equal(demand.grants(USAGE), null);
    at[0] = 250;
    demand.onDemands([MESSAGE]);
    assert.equal(demand.grants(USAGE)?.rows[0]?.granted, 6);
    at[0] = 500;
    assert.notEqual(demand.grants(USAGE), null);
    assert.equal(lines.length, 1);
    assert.match(await registry.metrics(), /laburnumgauge_granted_requests\{priority="0"\} 6/);
  });

  // Another process has become coordinator. Guards against a gauge that shows the last overload for good.
  it('shows no grants once it no longer decides', async () => {
    const { demand, registry, at } = open();
    demand.onDemands([MESSAGE]);
    demand.grants(USAGE);
    at[0] = 1_501;
    assert.doesNotMatch(await registry.metrics(), /laburnumgauge_granted_requests\{/);
  });

  // A successor starts with empty state: it must not grant by demand that it doesn't know.
  it('grants nothing before it has received any demand, nor a second after the last', () => {
    const { demand, at } = open();
    demand.onDemands([MESSAGE]);
    at[0] = 1_001;
    assert.equal(demand.grants(USAGE), null);
  });

  // A group that opens publishes a load at once. Guards against the starts of one interval being granted twice.
  it('grants no further starts with a load that follows the last one at once', () => {
    const { demand, at } = open();
    demand.onDemands([MESSAGE]);
    demand.grants(USAGE);
    at[0] = 60;
    const rows = demand.grants(USAGE)?.rows ?? [];
    assert.deepEqual(
      rows.map(({ granted }) => granted),
      [0, 0],
    );
  });

  it('uses no part of a message with invalid fields or for another group', () => {
    const { demand, lines } = open();
    demand.onDemands([
      { ...MESSAGE, group: 'other' },
      { ...MESSAGE, rows: [{ priority: 0 }] },
    ]);
    demand.onDemands('none');
    assert.equal(demand.grants(USAGE), null);
    assert.equal(lines.length, 2);
  });
});
