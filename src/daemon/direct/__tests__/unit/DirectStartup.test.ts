import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DirectStartup } from '../../DirectStartup.js';

const NEVER = new AbortController().signal;

/** A process that started at 0, a request that waits there for `isMet`, and whether it still does. */
function begin(
  isMet: () => boolean,
  signal = NEVER,
): { startup: DirectStartup; done: Promise<void> } {
  const startup = new DirectStartup({ now: () => 0 });
  return { startup, done: startup.waitUntil(isMet, 0, 8_000, signal) };
}

describe('DirectStartup', () => {
  // Guards against: entry hosts joining at once after a power loss refuse all who come before the first proof.
  it('lets a request go on as soon as what it needs is there', async () => {
    let isProven = false;
    const { startup, done } = begin(() => isProven);
    startup.recheck();
    assert.equal(startup.waiting, 1);
    isProven = true;
    startup.recheck();
    await done;
    assert.equal(startup.waiting, 0);
  });

  it('keeps nobody once the process ends', async () => {
    const { startup, done } = begin(() => false);
    startup.end();
    await done;
    await startup.waitUntil(() => false, 0, 8_000, NEVER);
    assert.equal(startup.waiting, 0);
  });

  // Guards against: a flood at a process that can't serve yet takes all of its memory.
  it('lets no more wait than it has room for', async () => {
    const { startup } = begin(() => false);
    const others = Array.from({ length: 2_000 }, async () =>
      startup.waitUntil(() => false, 0, 8_000, NEVER),
    );
    assert.ok(startup.waiting < 1_000);
    startup.end();
    await Promise.all(others);
  });

  it('forgets a request whose caller is gone', async () => {
    const gone = new AbortController();
    const { startup, done } = begin(() => false, gone.signal);
    gone.abort();
    await done;
    assert.equal(startup.waiting, 0);
  });
});
