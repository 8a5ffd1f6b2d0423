import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { DemandRow, SlotGrants } from '../../../protocol/index.js';
import {
  applyGrants,
  demandRows,
  grantedStarts,
  grantPhase,
  NO_GRANTS,
  recordReport,
  replacementSlots,
  sortByUrgency,
  takeGrant,
  type GrantedSlots,
} from '../../urgency/index.js';

const INTERVAL_MS = 250;

const URGENT = { priority: 0, customer: 'a' };
const LESS = { priority: 2, customer: 'a' };
const BIG = { priority: 2, customer: 'big' };

/** A tenth of the demand of all hosts for priority 0, half of that for priority 2. */
const REPORTED: readonly DemandRow[] = [
  { ...URGENT, waiting: 1, perSecond: 0 },
  { ...LESS, waiting: 5, perSecond: 0 },
  { ...BIG, waiting: 5, perSecond: 0 },
];

const GRANTS: SlotGrants = {
  intervalMs: INTERVAL_MS,
  rows: [
    { priority: 0, demand: 10, granted: 10 },
    { priority: 2, demand: 20, granted: 6 },
  ],
  capped: [{ ...BIG, demand: 10, granted: 2 }],
};

/** A host that has reported its demand at 0, with a load at 250 ms. */
function counted(random = 0): GrantedSlots {
  return applyGrants(recordReport(NO_GRANTS, REPORTED, 0), GRANTS, 8, 250, random);
}

/** Number of requests that start one after another. */
function startAll(state: GrantedSlots, request: typeof URGENT): number {
  const taken = takeGrant(new Map([['g', state]]), request);
  const next = taken?.groups.get('g');
  return next === undefined ? 0 : 1 + startAll(next, request);
}

describe('GrantedSlots', () => {
  it('takes a part of the grants in proportion to its own demand, a capped customer its own', () => {
    // Of 4 for the others (half of the demand), and of 2 for the capped customer (half too).
    assert.equal(startAll(counted(), LESS), 2);
    assert.equal(startAll(counted(), BIG), 1);
  });

  // With hundreds of hosts the share of each is below one. Guards against hosts that never start a request, and
  // against all of them starting one in the same interval.
  it('carries fractions over, at most one request more than the share of an interval', () => {
    let state = counted();
    const rows = GRANTS.rows.map((row) => ({ ...row, granted: row.granted / 10 }));
    const small = { ...GRANTS, rows, capped: [] };
    const begun = (random: number): GrantedSlots =>
      applyGrants(recordReport(NO_GRANTS, REPORTED, 0), small, 8, 250, random);
    const starts = Array.from({ length: 50 }, (_item, i) => startAll(begun(i / 50), LESS));
    const share = 0.6 / 2;
    assert.ok(Math.abs(starts.reduce((a, b) => a + b, 0) / 50 - share) < 0.03);
    for (let i = 0; i < 20; i += 1) {
      state = applyGrants(state, GRANTS, 8, 500 + i * INTERVAL_MS, 0);
    }
    assert.equal(startAll(state, LESS), 3);
  });

  // A burst of urgent requests at one host, while there are starts for all of them. Guards against a wait of half a
  // second for the next share.
  it('starts requests of a priority that gets all it demands in advance, and no others', () => {
    assert.equal(startAll(counted(), URGENT), 3);
    const scarce = GRANTS.rows.map((row) => ({ ...row, granted: row.demand / 2 }));
    const state = applyGrants(counted(), { ...GRANTS, rows: scarce, capped: [] }, 8, 500, 0);
    assert.ok(startAll(state, URGENT) <= 2);
  });

  // A host has just joined: its demand isn't part of the grants yet.
  it('replaces its own requests until its demand is counted', () => {
    const joined = applyGrants(NO_GRANTS, GRANTS, 8, 250, 0);
    assert.equal(grantPhase(joined, 250), 'replacing');
    assert.deepEqual([replacementSlots(joined, 8, 4), replacementSlots(joined, 6, 4)], [0, 2]);
    const reported = recordReport(joined, REPORTED, 250);
    assert.equal(grantPhase(applyGrants(reported, GRANTS, 8, 500, 0), 500), 'granted');
  });

  // The decider is killed or cut off. Guards against a host that stops, and one that takes more than its share.
  it('replaces its own requests up to its even share two intervals after the last load', () => {
    const state = counted();
    assert.equal(grantPhase(state, 250 + 2 * INTERVAL_MS), 'granted');
    assert.equal(grantPhase(state, 251 + 2 * INTERVAL_MS), 'replacing');
    assert.deepEqual([replacementSlots(state, 3, 5), replacementSlots(state, 3, 20)], [2, 5]);
  });

  it('drops its grants with a load without grants', () => {
    const state = applyGrants(counted(), null, 8, 500, 0);
    assert.equal(grantPhase(state, 500), 'shared');
    assert.equal(grantedStarts(state, LESS), 0);
  });

  it('limits the rows to eight a priority and sums the other customers', () => {
    const waiting = Array.from({ length: 12 }, (_item, i) =>
      Array.from({ length: i + 1 }, () => ({ priority: 1, customer: `c${i}` })),
    ).flat();
    const rows = demandRows(waiting, [], 2, 0);
    assert.deepEqual(
      rows.map(({ customer, waiting: count }) => [customer, count]),
      [...[11, 10, 9, 8, 7, 6, 5].map((i) => [`c${i}`, (i + 1) / 2]), ['', 15 / 2]],
    );
  });
});

describe('UrgencyOrder', () => {
  const request = (
    id: number,
    change: Partial<{
      priority: number;
      customer: string;
      objectiveAt: number;
      late: boolean;
    }> = {},
    isCallerRetry = false,
  ) => ({
    id,
    priority: 1,
    customer: 'a',
    objectiveAt: 400,
    late: false,
    isCallerRetry,
    ...change,
  });

  const order = (requests: readonly ReturnType<typeof request>[]): readonly number[] =>
    sortByUrgency(requests, ({ late }) => !late).map(({ id }) => id);

  // Overload: the least urgent class is refused most often. Guards against its retries going before urgent requests.
  it('sorts a retry before first tries of its priority, and after more urgent ones', () => {
    const requests = [
      request(1, { priority: 0, late: true }),
      request(2, { objectiveAt: 300 }),
      request(3, { priority: 2, late: true }, true),
      request(4, { late: true }, true),
      request(5, { priority: 0, objectiveAt: 900 }),
    ];
    assert.deepEqual(order(requests), [5, 4, 2, 3, 1]);
  });

  it('lets customers take turns among equal requests', () => {
    const requests = [
      request(1, { objectiveAt: 251 }),
      request(2, { objectiveAt: 252 }),
      request(3, { objectiveAt: 253 }),
      request(4, { objectiveAt: 254, customer: 'b' }),
    ];
    assert.deepEqual(order(requests), [1, 4, 2, 3]);
  });
});
