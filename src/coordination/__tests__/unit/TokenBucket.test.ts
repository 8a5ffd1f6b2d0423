import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  BUDGET_BYTES_PER_SECOND,
  initTokenBucket,
  INITIAL_BUCKET_BYTES,
  takeBytes,
} from '../../index.js';

describe('takeBytes', () => {
  // Guards against: entry hosts joining at once after a power loss serve nobody while their configuration trickles in.
  it('sends a joiner its configuration at once', () => {
    assert.equal(takeBytes(initTokenBucket(0), INITIAL_BUCKET_BYTES, 0).waitMs, 0);
  });

  it('keeps to the budget from then on', () => {
    const { state } = takeBytes(initTokenBucket(0), INITIAL_BUCKET_BYTES, 0);
    const { waitMs } = takeBytes(state, BUDGET_BYTES_PER_SECOND, 0);
    assert.equal(waitMs, 1_000);
  });

  it('saves up no more than one second of the budget', () => {
    const { state } = takeBytes(initTokenBucket(0), INITIAL_BUCKET_BYTES, 0);
    const later = takeBytes(state, 2 * BUDGET_BYTES_PER_SECOND, 60_000);
    assert.equal(later.waitMs, 1_000);
  });
});
