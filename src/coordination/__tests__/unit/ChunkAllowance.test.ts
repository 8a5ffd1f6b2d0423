import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { BODY_CHUNKS, initChunkAllowance, SHARED_CHUNKS, takeChunks } from '../../index.js';

const SEED = 79;

/** Reads from several bodies as fast as allowed; returns the chunks of each that were read within the time. */
function readAll(bodies: number, perRead: number, ms: number): readonly number[] {
  const read = Array.from({ length: bodies }, () => 0);
  const until = Array.from({ length: bodies }, () => 0);
  const own = until.map(() => initChunkAllowance(BODY_CHUNKS, 0));
  let shared = initChunkAllowance(SHARED_CHUNKS, 0);
  for (let now = 0; now < ms; now += 1) {
    for (let i = 0; i < bodies; i += 1) {
      while ((until[i] ?? 0) <= now) {
        const taken = takeChunks(own[i] ?? shared, shared, perRead, now);
        own[i] = taken.body;
        shared = taken.shared;
        until[i] = now + taken.waitMs;
        read[i] = (read[i] ?? 0) + perRead;
      }
    }
  }
  return read;
}

describe('takeChunks', () => {
  // Guards against a process that spends all of its time on bodies in small chunks.
  it('bounds the chunks of all bodies together, however many there are', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 50 }),
        fc.integer({ min: 1, max: 2_000 }),
        (bodies, perRead) => {
          const ms = 2_000;
          const total = readAll(bodies, perRead, ms).reduce((sum, chunks) => sum + chunks, 0);
          const ownMost = BODY_CHUNKS.burst + BODY_CHUNKS.perMs * ms;
          const sharedMost = SHARED_CHUNKS.burst + SHARED_CHUNKS.perMs * ms;
          // Each body may read once more before it waits.
          assert.ok(total <= bodies * (ownMost + perRead) + sharedMost, `${total} chunks`);
        },
      ),
      { seed: SEED, numRuns: 100 },
    );
  });

  it('lets bodies that wait share the rate evenly', () => {
    const read = readAll(10, 100, 5_000);
    assert.ok(Math.min(...read) > Math.max(...read) / 2, read.join(' '));
  });

  // Guards against streams with a chunk for each token that are slowed down.
  it('delays no body at a thousand chunks a second', () => {
    let body = initChunkAllowance(BODY_CHUNKS, 0);
    const exhausted = { chunks: -SHARED_CHUNKS.burst, updatedAt: 60_000 };
    for (let now = 0; now < 60_000; now += 10) {
      const taken = takeChunks(body, exhausted, 10, now);
      assert.equal(taken.waitMs, 0);
      body = taken.body;
    }
  });
});
