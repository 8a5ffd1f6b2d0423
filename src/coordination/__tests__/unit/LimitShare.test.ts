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

const SHAPE: LimitsScenario = {
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

describe('shares of a limit', () => {
  // Guards against: hosts that each keep a limit send together more than it allows, whatever their number.
  it('keep any limit over all hosts, through delays, a partition and a host that joins', () => {
    const shapes = fc.record({
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
      fc.property(shapes, fc.integer({ min: 1, max: 1_000_000 }), (shape, seed) => {
        const { maxArrivals } = simulateLimits(shape, seed);
        assert.ok(maxArrivals <= allowedArrivals(shape.perSecond), `${maxArrivals} in a window`);
      }),
      { seed: SEED, numRuns: 150 },
    );
  });

  // Guards against: a check that would pass whatever the hosts did.
  it('are told from hosts that each keep the limit, and from an even part for each of many', () => {
    const most = (strategy: LimitsScenario['strategy']): number =>
      simulateLimits({ ...SHAPE, strategy }, SEED).maxArrivals;
    const allowed = allowedArrivals(SHAPE.perSecond);
    assert.ok(most('alone') > allowed);
    assert.ok(most('even') > allowed);
    assert.ok(most('senders') <= allowed);
  });

  // Guards against: so much is held back that an endpoint gets next to nothing of what it would take.
  it('leave an endpoint most of its limit where there is demand for it', () => {
    const { perSecond } = simulateLimits(SHAPE, SEED);
    assert.ok(perSecond > SHAPE.perSecond / 2, `${perSecond} a second`);
  });

  it('have few senders at a low limit, and all hosts at a high one', () => {
    const hosts = hostsOf(30);
    const counts = [0, 0.2, 1, 10, 1_000].map((limit) => sendersTo('i-1@1', limit, hosts).length);
    assert.deepEqual(counts, [3, 3, 5, 23, 30]);
    assert.notDeepEqual(sendersTo('i-1@1', 1, hosts), sendersTo('i-2@1', 1, hosts));
  });

  it('of senders add up to the limit, and others have none', () => {
    const hosts = hostsOf(30);
    const rates = hosts.map((self) => 1_000 / sendIntervalOf(self, 'i-1@1', 2, hosts));
    assert.ok(Math.abs(rates.reduce((a, b) => a + b, 0) - 2) < 1e-9);
    assert.equal(rates.filter((rate) => rate === 0).length, 23);
  });

  // Guards against: members that are out of reach no longer count, go on to send, and the others take their shares.
  it('count a host for a while after it was last a member', () => {
    const before = updateHosts(new Map(), ['a', 'b'], 0);
    // Nothing changes for long: members are told of only when they change.
    const leftAt = FORMER_HOST_TTL_MS * 3;
    const after = updateHosts(before, ['a'], leftAt);
    assert.deepEqual([...after.keys()], ['a', 'b']);
    const later = (ms: number): readonly string[] => [
      ...updateHosts(after, ['a'], leftAt + ms).keys(),
    ];
    assert.deepEqual(later(FORMER_HOST_TTL_MS), ['a', 'b']);
    assert.deepEqual(later(FORMER_HOST_TTL_MS + 1), ['a']);
  });

  it('let one request through an interval, and turns wait for each other', () => {
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
