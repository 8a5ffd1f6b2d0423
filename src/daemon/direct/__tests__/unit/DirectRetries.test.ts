import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Registry } from 'prom-client';
import type { ClockReading } from '../../../../coordination/index.js';
import { DirectRetries } from '../../DirectRetries.js';

const WISH = { service: 's', request: 'r1', reason: 'failed' };

/** Retries of a process with a clock of its own, which has read `requests` requests over ten seconds. */
function retriesWith(
  requests: number,
  requestRetries: () => Promise<number>,
): { readonly retries: DirectRetries; readonly advance: (ms: number) => void } {
  let now = 0;
  const clocks = (): ClockReading => ({ monotonic: now, wall: now });
  const log = { info: () => undefined, error: () => undefined };
  const runtime = { now: () => now, clocks, log, registry: new Registry() };
  const retries = new DirectRetries({
    allowance: { ratio: 0.2, extra: 10, windowMs: 10_000 },
    runtime: runtime as never,
    requestRetries,
  });
  for (let i = 0; i < requests; i += 1) {
    retries.countRequest('s');
    now += 10_000 / requests;
  }
  return {
    retries,
    advance: (ms) => {
      now += ms;
    },
  };
}

describe('DirectRetries', () => {
  it('asks a control process only for what its own requests do not pay for', async () => {
    let asked = 0;
    const { retries } = retriesWith(20, async () => {
      asked += 1;
      return Promise.resolve(0);
    });
    const permits = [await retries.acquire(WISH), await retries.acquire(WISH)];
    assert.deepEqual(
      permits.map((permit) => permit?.isEarned),
      [true, undefined],
    );
    assert.equal(asked, 1);
  });

  it('extends an earned permit without paying for it twice', async () => {
    const { retries, advance } = retriesWith(40, async () => Promise.resolve(0));
    const permit = (await retries.acquire(WISH)) ?? assert.fail();
    advance(1_000);
    const extended = (await retries.extend(WISH, permit)) ?? assert.fail();
    assert.equal(extended.isEarned, true);
    assert.equal(extended.allowedAt.monotonic, permit.allowedAt.monotonic + 1_000);
  });

  // Guards against retries that are held up on the way for longer than anything pays for them.
  it('extends no permit that neither requests nor a control process pay for', async () => {
    const { retries, advance } = retriesWith(20, async () => Promise.resolve(0));
    const permit = (await retries.acquire(WISH)) ?? assert.fail();
    advance(20_000);
    assert.equal(await retries.extend(WISH, permit), null);
  });

  it('extends a granted permit by a further grant', async () => {
    let asked = 0;
    const { retries, advance } = retriesWith(0, async () => {
      asked += 1;
      return Promise.resolve(1);
    });
    const permit = (await retries.acquire(WISH)) ?? assert.fail();
    advance(1_000);
    const extended = await retries.extend(WISH, permit);
    assert.deepEqual([permit.isEarned, extended?.isEarned, asked], [false, false, 2]);
  });
});
