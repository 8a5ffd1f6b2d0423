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

/** Applies inputs at their times; returns the last state. */
function run(inputs: readonly (readonly [number, LeaseInput])[]): LeaseView {
  return inputs.reduce(
    (state, [now, input]) => stepLease(state, input, now).state,
    initLease('a', 'g', 0),
  );
}

describe('stepLease', () => {
  // The reply that grants the lease takes five seconds. If the lease counted from its arrival, it would
  // last longer than the leader of the log assumes, and a rival could be granted it meanwhile.
  it('counts a lease from when it was requested', () => {
    const state = run([
      [0, { type: 'tick' }],
      [5_000, granted(1)],
    ]);
    assert.equal(mayCoordinate(state, LEASE_MS - 1), true);
    assert.equal(mayCoordinate(state, LEASE_MS), false);
  });

  // The holder is frozen for ten seconds. Afterwards it must not use its lease before it has requested it
  // again.
  it('has no lease after it was frozen', () => {
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

  it('gives up its lease at once when another process holds it', () => {
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

  // The leader crashes, and its successor has not received the holder's renewals. It must wait for as long
  // as the latest of them could be valid before a rival gets the lease.
  it('waits until a lease has expired whose renewals only the previous leader knew', () => {
    const leaderState = initLeaseRenewals(1_000);
    assert.equal(mayGrant(leaderState, 'g', held, 1_000 + maxLeaseMs), false);
    assert.equal(mayGrant(leaderState, 'g', held, 1_001 + maxLeaseMs), true);
  });

  it('waits from the last renewal, and ignores those of an older token', () => {
    const leaderState = recordRenewal(initLeaseRenewals(0), 'g', 4, 50_000);
    assert.equal(mayGrant(leaderState, 'g', held, 50_000 + maxLeaseMs), false);
    assert.equal(mayGrant(leaderState, 'g', { ...held, token: 5 }, 50_000), true);
    assert.equal(mayGrant(leaderState, 'g', undefined, 0), true);
  });
});
