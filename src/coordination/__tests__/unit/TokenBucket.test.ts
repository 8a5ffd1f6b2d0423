import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  BUDGET_BYTES_PER_SECOND,
  initTokenBucket,
  INITIAL_BUCKET_BYTES,
  takeBytes,
} from '../../index.js';

describe('takeBytes', () => {
  // Guards against: entry hosts that join at the same time after a power loss can't serve requests while their
  // configuration arrives slowly.
  it('sends a joining process its configuration at once', () => {
    assert.equal(takeBytes(initTokenBucket(0), INITIAL_BUCKET_BYTES, 0).waitMs, 0);
  });

  it('keeps to the budget afterwards', () => {
    const { state } = takeBytes(initTokenBucket(0), INITIAL_BUCKET_BYTES, 0);
    const { waitMs } = takeBytes(state, BUDGET_BYTES_PER_SECOND, 0);
    assert.equal(waitMs, 1_000);
  });

  it('accumulates at most one second of the budget', () => {
    const { state } = takeBytes(initTokenBucket(0), INITIAL_BUCKET_BYTES, 0);
    const later = takeBytes(state, 2 * BUDGET_BYTES_PER_SECOND, 60_000);
    assert.equal(later.waitMs, 1_000);
  });
});
