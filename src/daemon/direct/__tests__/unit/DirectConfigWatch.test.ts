import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LinkTimeoutError } from '../../../../transport/index.js';
import { DirectConfigWatch, type ConfigHub } from '../../DirectConfigWatch.js';

const answerSeven = async (): Promise<unknown> => 7;

/** A hub whose replies the test sets; records the calls to its link. */
class FakeHub implements ConfigHub {
  readonly isAttached = true;

  isReceiving = false;

  readonly done: string[] = [];

  /** Reply to a poll. */
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

/** Polls several times, at ticks of 250 ms, and returns the calls made at each tick. */
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
  it('polls every 0.7 s while the newest configuration is held', async () => {
    assert.deepEqual(await run(new FakeHub(), 7, 4), [['settle'], [], [], ['settle']]);
  });

  // The delta of an accepted change is lost on its way, but the hub considers it sent. Each of its replies names the
  // change, while callers are served by the older configuration until the next change.
  it('requests a change again that is named and does not arrive', async () => {
    assert.deepEqual(await run(new FakeHub(), 6, 5), [[], ['askAgain'], [], ['searchOther'], []]);
  });

  // A change of some 20 kB takes more than a second at a hub's send rate. If it were requested again, or from another
  // hub, it would never be complete.
  it('waits for a large change while its parts arrive', async () => {
    const hub = new FakeHub();
    hub.isReceiving = true;
    assert.deepEqual((await run(hub, 6, 8)).flat(), []);
  });

  // The hub's leader is unreachable: its replies are late or fail, but the hub is alive. Each change of hub would
  // only cost a transfer of the whole directory.
  it('stays at a live hub whose leader is unreachable until two polls have failed', async () => {
    const hub = new FakeHub();
    hub.answer = async () => {
      throw new Error('no leader');
    };
    assert.deepEqual(await run(hub, 7, 4), [[], ['searchOther'], [], ['searchOther']]);
  });

  it('searches for another hub at once beside an unresponsive one', async () => {
    const hub = new FakeHub();
    hub.alive = false;
    hub.answer = async () => {
      throw new LinkTimeoutError('config.newest', 900);
    };
    assert.deepEqual(await run(hub, 7, 1), [['searchOther', 'searchOther']]);
  });
});
