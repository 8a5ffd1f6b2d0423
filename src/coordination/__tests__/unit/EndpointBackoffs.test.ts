import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  dropExpiredBackoffs,
  MAX_BACKOFFS,
  recordBackoff,
  type EndpointBackoffs,
} from '../../EndpointBackoffs.js';
import { sendWaitMs, reserveSendSlot } from '../../LimitShare.js';

const INCARNATION_KEY = 'i-1@1';

function waitAt(backoffs: EndpointBackoffs, now: number): number {
  const backoff = backoffs.get(INCARNATION_KEY);
  return backoff === undefined ? 0 : sendWaitMs(backoff, now);
}

describe('EndpointBackoffs', () => {
  it('lasts as long as requested, and is extended but never shortened', () => {
    const first = recordBackoff(new Map(), INCARNATION_KEY, 3_000, 0);
    assert.equal(waitAt(first, 0), 3_000);
    assert.equal(waitAt(recordBackoff(first, INCARNATION_KEY, 1_000, 500), 500), 2_500);
    assert.equal(waitAt(recordBackoff(first, INCARNATION_KEY, 3_000, 500), 500), 3_000);
  });

  // Guards against sending all requests that waited for the end of a backoff at the same time.
  it('spaces requests after the end of a backoff', () => {
    const backoffs = recordBackoff(new Map(), INCARNATION_KEY, 1_000, 0);
    const backoff = backoffs.get(INCARNATION_KEY);
    assert.ok(backoff !== undefined);
    const waits = [1, 2, 3].reduce<{ at: number[]; backoff: typeof backoff }>(
      ({ at, backoff: before }) => ({
        at: [...at, sendWaitMs(before, 0)],
        backoff: reserveSendSlot(before, 0),
      }),
      { at: [], backoff },
    );
    assert.deepEqual(waits.at, [1_000, 1_025, 1_050]);
    assert.equal(waits.backoff.until, 1_000);
  });

  it('keeps at most the maximum number of backoffs, those that end last', () => {
    const incarnationKeys = Array.from({ length: MAX_BACKOFFS + 1 }, (_item, i) => `i-${i}@1`);
    const backoffs = incarnationKeys.reduce<EndpointBackoffs>(
      (state, incarnationKey, i) => recordBackoff(state, incarnationKey, 1_000 + i, 0),
      new Map(),
    );
    assert.equal(backoffs.size, MAX_BACKOFFS);
    assert.ok(!backoffs.has('i-0@1'));
  });

  it('drops a backoff once it and the send slots after it are over', () => {
    const backoffs = recordBackoff(new Map(), INCARNATION_KEY, 1_000, 0);
    assert.equal(dropExpiredBackoffs(backoffs, 999), backoffs);
    assert.equal(dropExpiredBackoffs(backoffs, 1_000).size, 0);
  });
});
