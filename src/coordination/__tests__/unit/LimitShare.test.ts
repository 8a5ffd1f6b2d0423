import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  updateInterval,
  FORMER_HOST_TTL_MS,
  sendIntervalOf,
  sendWaitMs,
  sendersTo,
  reserveSendSlot,
  updateHosts,
} from '../../LimitShare.js';
import { allowedArrivals, simulateLimits, type LimitsScenario } from '../utils/LimitsModel.js';

const SEED = 45;

const SCENARIO: LimitsScenario = {
  strategy: 'senders',
  hosts: 60,
  perSecond: 1,
  demand: 60,
  firstHostShare: 0,
  lengthMs: 200_000,
  partition: [0, 0],
  joinsAt: 0,
};

function hostsOf(count: number): readonly string[] {
  return Array.from({ length: count }, (_item, i) => `entry-${i}`);
}

describe('LimitShare', () => {
  // Guards against hosts that each keep the limit, but together exceed it.
  it('keeps any limit over all hosts, with delays, a partition and a host that joins', () => {
    const scenarios = fc.record({
      strategy: fc.constant<'senders'>('senders'),
      hosts: fc.integer({ min: 1, max: 60 }),
      perSecond: fc.constantFrom(0, 0.2, 0.5, 1, 3, 10, 100),
      demand: fc.integer({ min: 1, max: 200 }),
      firstHostShare: fc.constantFrom(0, 0.3, 1),
      lengthMs: fc.constant(20_000),
      partition: fc
        .tuple(fc.integer({ min: 0, max: 15_000 }), fc.integer({ min: 0, max: 8_000 }))
        .map(([from, forMs]): [number, number] => [from, from + forMs]),
      joinsAt: fc.integer({ min: 0, max: 15_000 }),
    });
    fc.assert(
      fc.property(scenarios, fc.integer({ min: 1, max: 1_000_000 }), (scenario, seed) => {
        const { maxArrivals } = simulateLimits(scenario, seed);
        assert.ok(maxArrivals <= allowedArrivals(scenario.perSecond), `${maxArrivals} in a window`);
      }),
      { seed: SEED, numRuns: 150 },
    );
  });

  // Shows that the check above can fail: the simulation tells strategies apart.
  it('exceeds the limit if each host uses the whole limit, or if all of many hosts are senders', () => {
    const maxArrivalsOf = (strategy: LimitsScenario['strategy']): number =>
      simulateLimits({ ...SCENARIO, strategy }, SEED).maxArrivals;
    const allowed = allowedArrivals(SCENARIO.perSecond);
    assert.ok(maxArrivalsOf('alone') > allowed);
    assert.ok(maxArrivalsOf('even') > allowed);
    assert.ok(maxArrivalsOf('senders') <= allowed);
  });

  // Guards against holding back so many requests that an endpoint gets far fewer than its limit allows.
  it('uses most of the limit of an endpoint if there is demand', () => {
    const { perSecond } = simulateLimits(SCENARIO, SEED);
    assert.ok(perSecond > SCENARIO.perSecond / 2, `${perSecond} a second`);
  });

  it('chooses few senders at a low limit, and all hosts at a high one', () => {
    const hosts = hostsOf(30);
    const counts = [0, 0.2, 1, 10, 1_000].map((limit) => sendersTo('i-1@1', limit, hosts).length);
    assert.deepEqual(counts, [3, 3, 5, 23, 30]);
    assert.notDeepEqual(sendersTo('i-1@1', 1, hosts), sendersTo('i-2@1', 1, hosts));
  });

  it('gives senders rates that add up to the limit, and other hosts a rate of 0', () => {
    const hosts = hostsOf(30);
    const rates = hosts.map((self) => 1_000 / sendIntervalOf(self, 'i-1@1', 2, hosts));
    assert.ok(Math.abs(rates.reduce((a, b) => a + b, 0) - 2) < 1e-9);
    assert.equal(rates.filter((rate) => rate === 0).length, 23);
  });

  // An unreachable host may go on sending, so the others must not take over its share at once.
  it('counts a host for a while after it was last a member', () => {
    const before = updateHosts(new Map(), ['a', 'b'], 0);
    // Members are reported only when they change, so the last report may be old.
    const leftAt = FORMER_HOST_TTL_MS * 3;
    const after = updateHosts(before, ['a'], leftAt);
    assert.deepEqual([...after.keys()], ['a', 'b']);
    const later = (ms: number): readonly string[] => [
      ...updateHosts(after, ['a'], leftAt + ms).keys(),
    ];
    assert.deepEqual(later(FORMER_HOST_TTL_MS), ['a', 'b']);
    assert.deepEqual(later(FORMER_HOST_TTL_MS + 1), ['a']);
  });

  it('allows one request per interval, and reserves send slots one after the other', () => {
    const rate = updateInterval(undefined, 1_000, 0);
    assert.equal(sendWaitMs(rate, 0), 1_000);
    assert.equal(sendWaitMs(rate, 1_500), 0);
    const first = reserveSendSlot(rate, 1_500);
    assert.equal(sendWaitMs(first, 1_500), 1_000);
    const second = reserveSendSlot(first, 1_500);
    assert.equal(sendWaitMs(second, 1_500), 2_000);
    assert.equal(sendWaitMs(updateInterval(second, 4_000, 1_500), 1_500), 5_000);
    const ended = updateInterval(second, Infinity, 2_000);
    assert.equal(sendWaitMs(ended, 1e9), Infinity);
    assert.equal(sendWaitMs(updateInterval(ended, 1_000, 3_000), 3_000), 1_000);
  });
});
