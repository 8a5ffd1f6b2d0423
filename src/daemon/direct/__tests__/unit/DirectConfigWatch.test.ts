import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LinkTimeoutError } from '../../../../transport/index.js';
import { DirectConfigWatch, type ConfigHub } from '../../DirectConfigWatch.js';

const answerSeven = async (): Promise<unknown> => 7;

/** A hub whose answers the test gives, and what was asked of the link to it. */
class FakeHub implements ConfigHub {
  readonly isAttached = true;

  isReceiving = false;

  readonly done: string[] = [];

  /** What a question gets. */

  answer = answerSeven;

  alive = true;

  readonly request = async (): Promise<unknown> => this.answer();

  async ping(timeoutMs: number): Promise<void> {
    if (!this.alive) {
      throw new LinkTimeoutError('link.beat', timeoutMs);
    }
  }

  searchOther(): void {
    this.done.push('searchOther');
  }

  endSearch(): void {
    this.done.push('settle');
  }

  requestConfigResend(): void {
    this.done.push('askAgain');
  }
}

/** Asks several times, a tick of a quarter of a second apart, and tells what was done each time. */
async function run(hub: FakeHub, held: number, ticks: number): Promise<readonly string[][]> {
  let now = 0;
  const watch = new DirectConfigWatch({
    hub,
    runtime: {
      now: () => now,
      clocks: () => ({ monotonic: now, wall: now }),
      log: { warn: () => undefined },
    },
    onNewest: (index) => held >= index,
  });
  const steps: string[][] = [];
  for (let i = 0; i < ticks; i += 1) {
    watch.poll();
    // eslint-disable-next-line no-await-in-loop
    await new Promise(setImmediate);
    steps.push(hub.done.splice(0));
    now += 250;
  }
  return steps;
}

describe('DirectConfigWatch', () => {
  it('asks every 0.7 s while the newest is held', async () => {
    assert.deepEqual(await run(new FakeHub(), 7, 4), [['settle'], [], [], ['settle']]);
  });

  // A change was accepted, and its delta is lost on the way. The hub counts it as sent; each of its answers
  // names the change, and callers are served by the older configuration until the next change.
  it('has a change sent again that is named and does not come', async () => {
    assert.deepEqual(await run(new FakeHub(), 6, 5), [[], ['askAgain'], [], ['searchOther'], []]);
  });

  // A change of some twenty kilobytes takes more than a second at the pace of a hub. Asked for again, or begun
  // anew at another hub, it would never be whole.
  it('waits for a large change while its parts come', async () => {
    const hub = new FakeHub();
    hub.isReceiving = true;
    assert.deepEqual((await run(hub, 6, 8)).flat(), []);
  });

  // The hub's leader is gone: its answers take long or fail, but it lives. Running from hub to hub would only
  // cost a whole directory each time.
  it('stays at a hub that lives while the leader is gone, until two answers failed', async () => {
    const hub = new FakeHub();
    hub.answer = async () => {
      throw new Error('no leader');
    };
    assert.deepEqual(await run(hub, 7, 4), [[], ['searchOther'], [], ['searchOther']]);
  });

  it('looks for another hub beside a silent one, at once', async () => {
    const hub = new FakeHub();
    hub.alive = false;
    hub.answer = async () => {
      throw new LinkTimeoutError('config.newest', 900);
    };
    assert.deepEqual(await run(hub, 7, 1), [['searchOther', 'searchOther']]);
  });
});
