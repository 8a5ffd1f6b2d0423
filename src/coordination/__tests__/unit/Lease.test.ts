import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  initLease,
  initLeaseRenewals,
  LEASE_CLOCK_MARGIN_MS,
  LEASE_MS,
  mayCoordinate,
  mayGrant,
  recordRenewal,
  stepLease,
  type LeaseInput,
  type LeaseView,
} from '../../index.js';

const granted = (token: number): LeaseInput => ({
  type: 'granted',
  grant: { group: 'g', holder: 'a', token, durationMs: LEASE_MS },
  renewals: 0,
});

/** Runs inputs at their times. */
function run(inputs: readonly (readonly [number, LeaseInput])[]): LeaseView {
  return inputs.reduce(
    (state, [now, input]) => stepLease(state, input, now).state,
    initLease('a', 'g', 0),
  );
}

describe('stepLease', () => {
  // The answer that grants the lease is under way for five seconds. Counted from its arrival the
  // lease would outlast what the log's side counts, and a rival could be granted it meanwhile.
  it('counts a lease from when it was asked for', () => {
    const state = run([
      [0, { type: 'tick' }],
      [5_000, granted(1)],
    ]);
    assert.equal(mayCoordinate(state, LEASE_MS - 1), true);
    assert.equal(mayCoordinate(state, LEASE_MS), false);
  });

  // The holder is frozen for ten seconds. When it wakes it must not act on its lease before it has
  // asked again, whatever it was about to do.
  it('has no lease after a freeze', () => {
    const held = run([
      [0, { type: 'tick' }],
      [10, granted(1)],
    ]);
    assert.equal(mayCoordinate(held, 10_000), false);
    const { outputs } = stepLease(held, { type: 'tick' }, 10_000);
    assert.deepEqual(
      outputs.map(({ type }) => type),
      ['lost', 'ask'],
    );
  });

  it('gives up at once when another holds the lease', () => {
    const held = run([
      [0, { type: 'tick' }],
      [10, granted(1)],
    ]);
    const lease = { holder: 'b', token: 2, renewals: 0 };
    const { state, outputs } = stepLease(held, { type: 'held', lease }, 20);
    assert.deepEqual([state.held, outputs], [null, [{ type: 'lost' }]]);
  });
});

describe('mayGrant', () => {
  const held = { holder: 'a', token: 4, renewals: 0 };
  const maxLeaseMs = LEASE_MS + LEASE_CLOCK_MARGIN_MS;

  // The leader dies; its successor never heard of the holder's renewals. It must wait as long as
  // the newest of them could run before a rival gets the lease.
  it('waits out a lease whose renewals a predecessor knew', () => {
    const keeper = initLeaseRenewals(1_000);
    assert.equal(mayGrant(keeper, 'g', held, 1_000 + maxLeaseMs), false);
    assert.equal(mayGrant(keeper, 'g', held, 1_001 + maxLeaseMs), true);
  });

  it('waits from the last renewal, and forgets those of an older token', () => {
    const keeper = recordRenewal(initLeaseRenewals(0), 'g', 4, 50_000);
    assert.equal(mayGrant(keeper, 'g', held, 50_000 + maxLeaseMs), false);
    assert.equal(mayGrant(keeper, 'g', { ...held, token: 5 }, 50_000), true);
    assert.equal(mayGrant(keeper, 'g', undefined, 0), true);
  });
});
