import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  receiveConfig,
  isFresh,
  isOutdated,
  receiveNewestIndex,
  UNPROVEN,
  type ClockReading,
} from '../../index.js';

const LEASE_MS = 4_600;

const APPLY_MS = 2_000;

/** Both clocks of a host that was never suspended nor set. */
function at(ms: number): ClockReading {
  return { monotonic: ms, wall: 1_000_000 + ms };
}

const HELD = receiveConfig(UNPROVEN, 5);

describe('ConfigFreshness', () => {
  it('grants no lease before a leader has replied', () => {
    assert.equal(isFresh(UNPROVEN, at(0), LEASE_MS), false);
    assert.equal(isFresh(HELD, at(0), LEASE_MS), false);
    assert.equal(isFresh(receiveNewestIndex(UNPROVEN, 0, at(0)), at(1), LEASE_MS), false);
  });

  // The reply to a request took four seconds, and a key was revoked meanwhile. If the lease counted from
  // the arrival of the reply, the key would go on working for as long again.
  it('counts the lease from when the request was sent', () => {
    const state = receiveNewestIndex(HELD, 5, at(1_000));
    assert.equal(isFresh(state, at(1_000 + LEASE_MS - 1), LEASE_MS), true);
    assert.equal(isFresh(state, at(1_000 + LEASE_MS), LEASE_MS), false);
  });

  // The leader names a configuration that has not arrived yet. Until it does, the configuration held may
  // lack the revocation of a key, so the reply proves nothing yet.
  it('waits for the configuration that the reply names', () => {
    const afterReply = receiveNewestIndex(HELD, 6, at(1_000));
    assert.equal(isFresh(afterReply, at(1_100), LEASE_MS), false);
    assert.equal(isFresh(receiveConfig(afterReply, 6), at(1_100), LEASE_MS), true);
  });

  // The host is suspended for ten seconds: its monotonic clock stops while the time of day goes on. By the
  // monotonic clock the lease is still valid, and a key revoked meanwhile would work.
  it('ends the lease when the host was suspended', () => {
    const state = receiveNewestIndex(HELD, 5, at(1_000));
    assert.equal(isFresh(state, { monotonic: 1_100, wall: 1_011_100 }, LEASE_MS), false);
  });

  // The time of day is set back while the host is suspended, so that each change hides a part of the
  // other. Whenever the two clocks disagree, the lease has to be requested again.
  it('ends the lease when the time of day was set', () => {
    const state = receiveNewestIndex(HELD, 5, at(1_000));
    assert.equal(isFresh(state, { monotonic: 1_100, wall: 998_700 }, LEASE_MS), false);
    assert.equal(isFresh(state, { monotonic: 1_100, wall: 1_001_300 }, LEASE_MS), true);
  });

  it('keeps the longer lease when the reply to an earlier request is late', () => {
    const newer = receiveNewestIndex(HELD, 5, at(3_000));
    const state = receiveNewestIndex(newer, 5, at(1_000));
    assert.equal(isFresh(state, at(3_000 + LEASE_MS - 1), LEASE_MS), true);
  });

  // Guards against requests that are handled by a configuration although a newer one had to be in force before.
  it('is outdated once a newer configuration that is known of has to be in force', () => {
    const proven = receiveNewestIndex(HELD, 5, at(1_000));
    assert.equal(isOutdated(proven, at(9_000), APPLY_MS), false);
    const behind = receiveNewestIndex(proven, 6, at(1_700));
    assert.equal(isOutdated(behind, at(1_000 + APPLY_MS - 1), APPLY_MS), false);
    assert.equal(isOutdated(behind, at(1_000 + APPLY_MS), APPLY_MS), true);
    assert.equal(isOutdated(behind, { monotonic: 1_800, wall: 1_009_000 }, APPLY_MS), true);
    assert.equal(isOutdated(receiveConfig(behind, 6), at(1_000 + APPLY_MS), APPLY_MS), false);
  });

  // Guards against refusals in a series of changes, each of which arrives only after the next one was named.
  it('renews the lease while changes follow each other faster than they arrive', () => {
    const proven = receiveNewestIndex(HELD, 5, at(0));
    const state = [1, 2, 3, 4, 5, 6, 7, 8].reduce((before, n) => {
      const named = receiveNewestIndex(before, 5 + n, at(700 * n));
      return n === 1 ? named : receiveConfig(named, 4 + n);
    }, proven);
    assert.equal(isFresh(state, at(5_600), LEASE_MS), true);
    assert.equal(isOutdated(state, at(4_900 + APPLY_MS - 1), APPLY_MS), false);
    assert.equal(isOutdated(state, at(4_900 + APPLY_MS), APPLY_MS), true);
  });
});
