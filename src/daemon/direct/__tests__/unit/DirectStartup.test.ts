import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DirectStartup } from '../../DirectStartup.js';

const NEVER = new AbortController().signal;

/** A process that started at 0, with a request that waits for `isMet`; `done` resolves when its wait ends. */
function begin(
  isMet: () => boolean,
  signal = NEVER,
): { startup: DirectStartup; done: Promise<void> } {
  const startup = new DirectStartup({ now: () => 0 });
  return { startup, done: startup.waitUntil(isMet, 0, 8_000, signal) };
}

describe('DirectStartup', () => {
  // Entry hosts that start at once after a power loss must not refuse all requests before the first proof of the
  // configuration.
  it('lets a request continue as soon as its condition is met', async () => {
    let isProven = false;
    const { startup, done } = begin(() => isProven);
    startup.recheck();
    assert.equal(startup.waiting, 1);
    isProven = true;
    startup.recheck();
    await done;
    assert.equal(startup.waiting, 0);
  });

  it('ends all waits when the process exits', async () => {
    const { startup, done } = begin(() => false);
    startup.end();
    await done;
    await startup.waitUntil(() => false, 0, 8_000, NEVER);
    assert.equal(startup.waiting, 0);
  });

  // A flood of requests at a process that can't serve yet must not take all of its memory.
  it('limits the number of waiting requests', async () => {
    const { startup } = begin(() => false);
    const others = Array.from({ length: 2_000 }, async () =>
      startup.waitUntil(() => false, 0, 8_000, NEVER),
    );
    assert.ok(startup.waiting < 1_000);
    startup.end();
    await Promise.all(others);
  });

  it('drops a request whose caller has disconnected', async () => {
    const gone = new AbortController();
    const { startup, done } = begin(() => false, gone.signal);
    gone.abort();
    await done;
    assert.equal(startup.waiting, 0);
  });
});
