import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { LimitRecord, AdvertisedLimit } from '../../../protocol/index.js';
import {
  clockOf,
  dropExpiredLimits,
  hashLimits,
  LIMIT_TTL_MS,
  mergeLimits,
  MAX_LIMITS,
  NO_LIMITS,
  applyAdvertisedLimit,
  toLimitUpdates,
  type LimitsState,
} from '../../EndpointLimits.js';

const SEED = 45;

const INCARNATION_KEY = 'i-1@1';

function limitOf(state: LimitsState): number | null {
  return state.get(INCARNATION_KEY)?.perSecond ?? null;
}

/** Applies an answer to a request that a process with this state sent just now. */
function advertise(state: LimitsState, limit: AdvertisedLimit, now: number): LimitsState {
  const sent = { clock: clockOf(state, INCARNATION_KEY), at: now };
  return applyAdvertisedLimit(state, INCARNATION_KEY, sent, limit, now).state;
}

function merge(state: LimitsState, record: Partial<LimitRecord>, now: number): LimitsState {
  const records = [{ life: INCARNATION_KEY, clock: 1, perSecond: 1, ageMs: 0, ...record }];
  return mergeLimits(state, { records, hash: 0 }, now).state;
}

function fullUpdateOf(state: LimitsState, now: number) {
  const records = toLimitUpdates(state, [...state.values()], now).flatMap(
    (update) => update.records,
  );
  return { records, hash: hashLimits(state) };
}

describe('EndpointLimits', () => {
  it('applies, changes and lifts a limit as later answers say', () => {
    let state = advertise(NO_LIMITS, 2, 0);
    assert.equal(limitOf(state), 2);
    state = advertise(state, 5, 10);
    assert.equal(limitOf(state), 5);
    state = advertise(state, 'unreadable', 20);
    assert.equal(limitOf(state), 5);
    state = advertise(state, 'none', 30);
    assert.equal(limitOf(state), null);
  });

  // Answers can arrive out of order on two connections; the older one must not lift a limit that was just advertised.
  it('does not lift a limit by an answer to a request sent before it was advertised', () => {
    const sent = { clock: 0, at: 0 };
    const state = advertise(NO_LIMITS, 1, 10);
    const late = applyAdvertisedLimit(state, INCARNATION_KEY, sent, 'none', 20);
    assert.equal(limitOf(late.state), 1);
    const again = advertise(state, 1, 40);
    const older = applyAdvertisedLimit(again, INCARNATION_KEY, { clock: 1, at: 30 }, 'none', 50);
    assert.equal(limitOf(older.state), 1);
  });

  // Guards against an older answer that raises a limit which has been lowered since.
  it('only makes a limit stricter by an answer that is not proven to be later', () => {
    const state = advertise(advertise(NO_LIMITS, 8, 0), 2, 20);
    const sent = { clock: 1, at: 10 };
    assert.equal(limitOf(applyAdvertisedLimit(state, INCARNATION_KEY, sent, 8, 30).state), 2);
    assert.equal(limitOf(applyAdvertisedLimit(state, INCARNATION_KEY, sent, 1, 30).state), 1);
  });

  // Guards against an update that a frozen process sends late and that restores an outdated limit.
  it('ignores late updates', () => {
    const lifted = advertise(advertise(NO_LIMITS, 1, 0), 'none', 10);
    assert.equal(limitOf(merge(lifted, { clock: 1, perSecond: 1 }, 20)), null);
    const renewed = advertise(lifted, 3, 5_000);
    assert.equal(limitOf(merge(renewed, { clock: 2, perSecond: null }, 5_010)), 3);
  });

  // One process has proof that a limit is lifted, and an answer to another has just advertised it again.
  it('keeps a limit that an answer to this process has just advertised', () => {
    const state = advertise(NO_LIMITS, 1, 0);
    assert.equal(limitOf(merge(state, { clock: 2, perSecond: null }, 1_000)), 1);
    assert.equal(limitOf(merge(state, { clock: 2, perSecond: null }, 3_000)), null);
  });

  it('confirms a limit at an interval, so that it does not expire while it holds', () => {
    let state = advertise(NO_LIMITS, 1, 0);
    for (let now = 1_000; now <= LIMIT_TTL_MS * 2; now += 1_000) {
      state = dropExpiredLimits(advertise(state, 1, now), now);
    }
    assert.equal(limitOf(state), 1);
    assert.ok(clockOf(state, INCARNATION_KEY) < LIMIT_TTL_MS / 1_000 / 10);
    assert.equal(limitOf(dropExpiredLimits(state, LIMIT_TTL_MS * 4)), null);
  });

  it('keeps at most the maximum number of limits', () => {
    const records = Array.from({ length: MAX_LIMITS + 10 }, (_item, i) => ({
      life: `i-${i}@1`,
      clock: 1,
      perSecond: 1,
      ageMs: 0,
    }));
    assert.equal(mergeLimits(NO_LIMITS, { records, hash: 0 }, 0).state.size, MAX_LIMITS);
  });

  // Guards against different limits in processes that received the same updates in another order or twice.
  it('converges once all processes have received all updates', () => {
    const step = fc.record({
      process: fc.nat({ max: 2 }),
      limit: fc.constantFrom<AdvertisedLimit>(1, 2, 'none'),
      /** Process whose whole set it merges before it applies the limit; null for none. */
      receivesFrom: fc.option(fc.nat({ max: 2 })),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const states = [NO_LIMITS, NO_LIMITS, NO_LIMITS];
        const receive = (i: number, from: number, now: number): void => {
          const update = fullUpdateOf(states[from] ?? NO_LIMITS, now);
          states[i] = mergeLimits(states[i] ?? NO_LIMITS, update, now).state;
        };
        steps.forEach(({ process, limit, receivesFrom }, i) => {
          if (receivesFrom !== null) {
            receive(process, receivesFrom, i);
          }
          states[process] = advertise(states[process] ?? NO_LIMITS, limit, i);
        });
        for (let round = 0; round < 3; round += 1) {
          [0, 1, 2].forEach((i) => [0, 1, 2].forEach((from) => receive(i, from, 10_000)));
        }
        assert.equal(new Set(states.map(hashLimits)).size, 1);
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});
