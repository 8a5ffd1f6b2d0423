import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { LimitRecord, NamedLimit } from '../../../protocol/index.js';
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

/** An answer whose request was sent just now, by a process that knew all that it knows. */
function name(state: LimitsState, limit: NamedLimit, now: number): LimitsState {
  const sent = { clock: clockOf(state, INCARNATION_KEY), at: now };
  return applyAdvertisedLimit(state, INCARNATION_KEY, sent, limit, now).state;
}

function merge(state: LimitsState, record: Partial<LimitRecord>, now: number): LimitsState {
  const records = [{ life: INCARNATION_KEY, clock: 1, perSecond: 1, ageMs: 0, ...record }];
  return mergeLimits(state, { records, hash: 0 }, now).state;
}

function wholeOf(state: LimitsState, now: number) {
  const records = toLimitUpdates(state, [...state.values()], now).flatMap((news) => news.records);
  return { records, hash: hashLimits(state) };
}

describe('limits of endpoints', () => {
  it('hold, change and end as later answers say', () => {
    let state = name(NO_LIMITS, 2, 0);
    assert.equal(limitOf(state), 2);
    state = name(state, 5, 10);
    assert.equal(limitOf(state), 5);
    state = name(state, 'unreadable', 20);
    assert.equal(limitOf(state), 5);
    state = name(state, 'none', 30);
    assert.equal(limitOf(state), null);
  });

  // Guards against: answers overtake each other on two connections, and the older one ends a limit just named.
  it('are not ended by an answer to a request that was sent before they were named', () => {
    const sent = { clock: 0, at: 0 };
    const state = name(NO_LIMITS, 1, 10);
    const late = applyAdvertisedLimit(state, INCARNATION_KEY, sent, 'none', 20);
    assert.equal(limitOf(late.state), 1);
    const again = name(state, 1, 40);
    const older = applyAdvertisedLimit(again, INCARNATION_KEY, { clock: 1, at: 30 }, 'none', 50);
    assert.equal(limitOf(older.state), 1);
  });

  // Guards against: an older answer raises a limit that has been lowered since.
  it('are only made stricter by what is not proven to be later', () => {
    const state = name(name(NO_LIMITS, 8, 0), 2, 20);
    const sent = { clock: 1, at: 10 };
    assert.equal(limitOf(applyAdvertisedLimit(state, INCARNATION_KEY, sent, 8, 30).state), 2);
    assert.equal(limitOf(applyAdvertisedLimit(state, INCARNATION_KEY, sent, 1, 30).state), 1);
  });

  // Guards against: news that was held up by a frozen process brings a state back that is over.
  it('do not go back by news that come late', () => {
    const lifted = name(name(NO_LIMITS, 1, 0), 'none', 10);
    assert.equal(limitOf(merge(lifted, { clock: 1, perSecond: 1 }, 20)), null);
    const renewed = name(lifted, 3, 5_000);
    assert.equal(limitOf(merge(renewed, { clock: 2, perSecond: null }, 5_010)), 3);
  });

  // Guards against: one process has proven that a limit is over, and another has just been named it again.
  it('stay where an answer has named them here a moment ago', () => {
    const state = name(NO_LIMITS, 1, 0);
    assert.equal(limitOf(merge(state, { clock: 2, perSecond: null }, 1_000)), 1);
    assert.equal(limitOf(merge(state, { clock: 2, perSecond: null }, 3_000)), null);
  });

  it('are confirmed at an interval, so that those in force are not forgotten', () => {
    let state = name(NO_LIMITS, 1, 0);
    for (let now = 1_000; now <= LIMIT_TTL_MS * 2; now += 1_000) {
      state = dropExpiredLimits(name(state, 1, now), now);
    }
    assert.equal(limitOf(state), 1);
    assert.ok(clockOf(state, INCARNATION_KEY) < LIMIT_TTL_MS / 1_000 / 10);
    assert.equal(limitOf(dropExpiredLimits(state, LIMIT_TTL_MS * 4)), null);
  });

  it('are kept of so many endpoints and no more', () => {
    const records = Array.from({ length: MAX_LIMITS + 10 }, (_item, i) => ({
      life: `i-${i}@1`,
      clock: 1,
      perSecond: 1,
      ageMs: 0,
    }));
    assert.equal(mergeLimits(NO_LIMITS, { records, hash: 0 }, 0).state.size, MAX_LIMITS);
  });

  // Guards against: processes that have heard the same, in another order or twice, hold different limits.
  it('are the same everywhere once all have heard all', () => {
    const step = fc.record({
      process: fc.nat({ max: 2 }),
      limit: fc.constantFrom<NamedLimit>(1, 2, 'none'),
      /** Whose set it hears before. */
      hears: fc.option(fc.nat({ max: 2 })),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const states = [NO_LIMITS, NO_LIMITS, NO_LIMITS];
        const hear = (i: number, from: number, now: number): void => {
          const news = wholeOf(states[from] ?? NO_LIMITS, now);
          states[i] = mergeLimits(states[i] ?? NO_LIMITS, news, now).state;
        };
        steps.forEach(({ process, limit, hears }, i) => {
          if (hears !== null) {
            hear(process, hears, i);
          }
          states[process] = name(states[process] ?? NO_LIMITS, limit, i);
        });
        for (let round = 0; round < 3; round += 1) {
          [0, 1, 2].forEach((i) => [0, 1, 2].forEach((from) => hear(i, from, 10_000)));
        }
        assert.equal(new Set(states.map(hashLimits)).size, 1);
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});
