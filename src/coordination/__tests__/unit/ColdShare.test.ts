import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { planColdSenders, type ColdTolerance } from '../../ColdShare.js';
import {
  maxColdArrivals,
  simulateCold,
  type ColdModelEvent,
  type ColdScenario,
} from '../utils/ColdModel.js';

const SEED = 45;

const TOLERANCE: ColdTolerance = { perSecond: 15, maxPerWindow: 27.5 };

function assertKept(scenario: ColdScenario, seed: number): void {
  const most = maxColdArrivals(simulateCold(scenario, seed));
  const { maxPerWindow } = scenario.tolerance;
  assert.ok(most <= maxPerWindow, `${most} of ${maxPerWindow} in a second, seed ${seed}`);
}

/** Restarts and leaves at any time, a partition, and as many joins as the design leaves room for. */
function scenarios(hosts: number, coldMs: number): fc.Arbitrary<ColdScenario> {
  const at = fc.integer({ min: 0, max: coldMs });
  const host = fc.integer({ min: 0, max: hosts - 1 });
  const event = (kind: ColdModelEvent['kind']): fc.Arbitrary<ColdModelEvent> =>
    fc.record({ at, kind: fc.constant(kind), host });
  return fc
    .record({
      tolerance: fc.constantFrom(
        TOLERANCE,
        { perSecond: 2, maxPerWindow: 8 },
        { perSecond: 40, maxPerWindow: 65 },
        { perSecond: 3, maxPerWindow: 4 },
      ),
      joins: fc.array(event('join'), { maxLength: 2 }),
      others: fc.array(fc.oneof(event('leave'), event('restart')), { maxLength: 40 }),
      partition: fc.tuple(at, at, host),
      demand: fc.constantFrom(1, 0.2),
      lagMs: fc.constantFrom(0, 80),
    })
    .map(({ tolerance, joins, others, partition: [begin, end, below], demand, lagMs }) => ({
      hosts,
      tolerance,
      coldMs,
      demand,
      lagMs,
      events: [
        ...joins,
        ...others,
        { at: Math.min(begin, end), kind: 'cut', host: below },
        { at: Math.max(begin, end), kind: 'heal', host: below },
      ],
    }));
}

describe('ColdShare', () => {
  // Load pattern: each host always has requests for the cold endpoint. Guards against hosts that keep their own part,
  // but together exceed what the endpoint tolerates, with restarts, leaves, joins and a partition at any time.
  [35, 300].forEach((hosts) => {
    it(`keeps the bound in each second over ${hosts} hosts, on both sides of a partition`, () => {
      const property = fc.property(
        scenarios(hosts, 12_000),
        fc.integer({ min: 1, max: 1_000_000 }),
        assertKept,
      );
      fc.assert(property, { seed: SEED, numRuns: hosts < 100 ? 40 : 4 });
    });
  });

  // Fewer hosts than there may be senders: the number of senders changes with each host that joins.
  it('keeps the bound over few hosts', () => {
    [1, 2, 3, 6, 11, 12, 14, 16, 24].forEach((hosts) => {
      const property = fc.property(
        scenarios(hosts, 8_000),
        fc.integer({ min: 1, max: 1_000_000 }),
        assertKept,
      );
      fc.assert(property, { seed: SEED, numRuns: 12 });
    });
  });

  // Guards against hosts without contact that keep their places after the others have given these to new senders.
  it('keeps the bound if half of the hosts lose contact for longer than they are counted', () => {
    const events: readonly ColdModelEvent[] = [
      { at: 2_000, kind: 'cut', host: 17 },
      { at: 120_000, kind: 'heal', host: 17 },
    ];
    assertKept(
      { hosts: 35, tolerance: TOLERANCE, coldMs: 125_000, demand: 1, events, isSideLost: true },
      SEED,
    );
  });

  // Guards against senders that hold back more than the bound demands while an endpoint has more requests than it takes.
  it('uses the rate that the endpoint tolerates', () => {
    [8, 35, 300].forEach((hosts) => {
      const scenario = { hosts, tolerance: TOLERANCE, coldMs: 10_000, demand: 0.2, events: [] };
      const served = simulateCold(scenario, SEED).length;
      assert.ok(served >= 0.8 * 150, `${served} of 150 with ${hosts} hosts`);
    });
  });

  it('plans as many senders as the bound allows without losing rate', () => {
    const plans = [1, 3, 8, 13, 25, 35, 300].map((hosts) => planColdSenders(TOLERANCE, hosts));
    assert.deepEqual(
      plans.map(({ senders }) => senders),
      [1, 3, 8, 11, 25, 25, 25],
    );
    const rates = plans.map(({ senders, intervalMs }) => (senders * 1_000) / intervalMs);
    assert.deepEqual(
      rates.map((rate) => Math.round(rate)),
      [8, 14, 15, 15, 15, 15, 15],
    );
  });

  it('plans no sender where the bound allows no request in a second', () => {
    assert.equal(planColdSenders({ perSecond: 1, maxPerWindow: 0.9 }, 35).senders, 0);
    assert.equal(planColdSenders({ perSecond: 1, maxPerWindow: 1.9 }, 35).senders, 1);
  });
});
