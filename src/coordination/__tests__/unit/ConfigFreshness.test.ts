import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  receiveConfig,
  isFresh,
  receiveNewestIndex,
  UNPROVEN,
  type ClockReading,
} from '../../index.js';

const LEASE_MS = 4_600;

/** Both clocks of a host that was never suspended nor set. */
function at(ms: number): ClockReading {
  return { monotonic: ms, wall: 1_000_000 + ms };
}

const HELD = receiveConfig(UNPROVEN, 5);

describe('Freshness', () => {
  it('is not given before a leader has answered', () => {
    assert.equal(isFresh(UNPROVEN, at(0), LEASE_MS), false);
    assert.equal(isFresh(HELD, at(0), LEASE_MS), false);
    assert.equal(isFresh(receiveNewestIndex(UNPROVEN, 0, at(0)), at(1), LEASE_MS), false);
  });

  // The answer to a question was under way for four seconds while a key was withdrawn. Counted from
  // its arrival the lease would let the key work on for as long again.
  it('counts from when the question was sent', () => {
    const state = receiveNewestIndex(HELD, 5, at(1_000));
    assert.equal(isFresh(state, at(1_000 + LEASE_MS - 1), LEASE_MS), true);
    assert.equal(isFresh(state, at(1_000 + LEASE_MS), LEASE_MS), false);
  });

  // The leader names a configuration that is still on its way here. Until it has come, what is held
  // may lack the withdrawal of a key, so the answer proves nothing yet.
  it('waits for the configuration that was named', () => {
    const afterReply = receiveNewestIndex(HELD, 6, at(1_000));
    assert.equal(isFresh(afterReply, at(1_100), LEASE_MS), false);
    assert.equal(isFresh(receiveConfig(afterReply, 6), at(1_100), LEASE_MS), true);
  });

  // The host is suspended for ten seconds: its steady clock stands still, the time of day goes on. By
  // the steady clock the lease still runs, and a key withdrawn meanwhile would work.
  it('ends when the host was suspended', () => {
    const state = receiveNewestIndex(HELD, 5, at(1_000));
    assert.equal(isFresh(state, { monotonic: 1_100, wall: 1_011_100 }, LEASE_MS), false);
  });

  // The time of day is set back while the host is suspended: each hides a part of the other. Whatever
  // the two clocks disagree on, the lease is asked for again.
  it('ends when the time of day was set', () => {
    const state = receiveNewestIndex(HELD, 5, at(1_000));
    assert.equal(isFresh(state, { monotonic: 1_100, wall: 998_700 }, LEASE_MS), false);
    assert.equal(isFresh(state, { monotonic: 1_100, wall: 1_001_300 }, LEASE_MS), true);
  });

  it('is not taken back by an answer that comes late', () => {
    const newer = receiveNewestIndex(HELD, 5, at(3_000));
    const state = receiveNewestIndex(newer, 5, at(1_000));
    assert.equal(isFresh(state, at(3_000 + LEASE_MS - 1), LEASE_MS), true);
  });
});
