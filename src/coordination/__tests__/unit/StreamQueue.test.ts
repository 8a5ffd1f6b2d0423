import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  enqueue,
  admitWaiting,
  type QueueForecast,
  type StreamQueue,
  type WaitingRequest,
} from '../../index.js';

const BUSY: QueueForecast = {
  free: 0,
  ratePerMs: 0.005,
  isRecovering: false,
  isLongDown: false,
  firstMs: 150,
  writeMs: (tokens) => (tokens / 5) * 60,
  grants: null,
};

function request(id: number, change: Partial<WaitingRequest> = {}): WaitingRequest {
  return {
    id,
    priority: 1,
    customer: '',
    arrivedAt: 0,
    objectiveAt: 400,
    deadline: 8_000,
    firstEventDeadline: 2_000,
    tokens: 140,
    likelyTokens: 140,
    isCallerRetry: false,
    ...change,
  };
}

function enqueueAll(requests: readonly WaitingRequest[], forecast = BUSY): StreamQueue {
  return requests.reduce<StreamQueue>(
    (queue, item) => enqueue(queue, item, forecast, 0, 0.5).queue,
    [],
  );
}

describe('StreamQueue', () => {
  it('admits at once while there are free slots', () => {
    const step = enqueue([], request(1), { ...BUSY, free: 2 }, 0, 0.5);
    assert.deepEqual(step.admitted, [1]);
  });

  // A group was slow for a second and a queue has formed. The first requests can no longer be on time, but those
  // that just arrived can. First come, first served would make all of them late.
  it('admits requests that can still be on time first, then the others', () => {
    const queue = enqueueAll([
      request(1, { objectiveAt: 100 }),
      request(2, { objectiveAt: 900 }),
      request(3, { objectiveAt: 700 }),
    ]);
    const step = admitWaiting(queue, { ...BUSY, free: 2 }, 200, 0.5);
    assert.deepEqual(step.admitted, [3, 2]);
    assert.deepEqual(admitWaiting(step.queue, { ...BUSY, free: 1 }, 210, 0.5).admitted, [1]);
  });

  it('admits the more urgent request first', () => {
    const queue = enqueueAll([request(1, { priority: 2 }), request(2, { priority: 0 })]);
    assert.deepEqual(admitWaiting(queue, { ...BUSY, free: 1 }, 10, 0.5).admitted, [2]);
  });

  // A group was down for seconds, and its callers retry among new ones as it opens. Sent after the new ones they
  // would miss their deadline, and their callers don't retry again.
  it('admits retries before all others', () => {
    const queue = enqueueAll([
      request(1, { objectiveAt: 900 }),
      request(2, { isCallerRetry: true, objectiveAt: 100, deadline: 5_000 }),
    ]);
    assert.deepEqual(admitWaiting(queue, { ...BUSY, free: 1 }, 200, 0.5).admitted, [2]);
  });

  // Callers wait for a group that is down. Guards against refusing them just before it opens, because there is not
  // enough time for the longest answer that they allow.
  it('keeps retries queued while the group is down, and admits them when it opens', () => {
    const closed: QueueForecast = { ...BUSY, ratePerMs: 0, isRecovering: true };
    const back = { isCallerRetry: true, firstEventDeadline: 2_000, deadline: 4_000 };
    const queue = enqueueAll([request(1, { ...back, tokens: 350, likelyTokens: 60 })], closed);
    const waiting = admitWaiting(queue, closed, 1_500, 0.5);
    assert.deepEqual(waiting.refused, []);
    const opened = admitWaiting(
      waiting.queue,
      { ...closed, ratePerMs: 0.005, free: 1 },
      1_600,
      0.5,
    );
    assert.deepEqual(opened.admitted, [1]);
  });

  // A group is down for good. Guards against callers that wait twice in vain.
  it('refuses at once while the service has been down for longer than callers wait', () => {
    const longDown: QueueForecast = { ...BUSY, ratePerMs: 0, isRecovering: true, isLongDown: true };
    const step = enqueue([], request(1), longDown, 0, 0.5);
    assert.deepEqual([step.queue, step.refused.length], [[], 1]);
    assert.equal(admitWaiting([request(2)], longDown, 100, 0.5).refused.length, 1);
  });

  it('requires time for the longest answer while the service is up', () => {
    const queue = enqueueAll([request(1, { deadline: 4_000, tokens: 350, likelyTokens: 60 })]);
    assert.deepEqual(queue, []);
  });

  // A burst brings more requests than can be served by their deadlines. A request that would wait in vain is refused
  // at once, while its caller can still retry, with a delay after which the queue will have drained.
  it('refuses at once a request that it can not start in time', () => {
    const queue = enqueueAll(Array.from({ length: 12 }, (_item, i) => request(i)));
    const step = enqueue(queue, request(99), BUSY, 0, 0.5);
    assert.equal(step.refused.length, 1);
    const [refusal] = step.refused;
    assert.ok((refusal?.retryAfterMs ?? 0) > 500);
    assert.ok((refusal?.retryAfterMs ?? Infinity) <= 8_000 / 3);
  });

  it('refuses at once a request that can not finish by its deadline', () => {
    const step = enqueue([], request(1, { deadline: 1_500 }), { ...BUSY, free: 5 }, 0, 0.5);
    assert.equal(step.refused.length, 1);
  });

  // A group is down for an unknown time. New callers and those that retry wait as long as their patience allows and
  // then get a retry delay of a third of their remaining time, so that they can wait again. The group may open
  // during either wait; a caller that is refused at once has only the second.
  it('lets callers wait for a group that is down, for a bounded time', () => {
    const down = { ...BUSY, ratePerMs: 0 };
    [false, true].forEach((isCallerRetry) => {
      const { queue, refused } = enqueue([], request(2, { isCallerRetry }), down, 0, 0.5);
      assert.deepEqual([queue.length, refused.length], [1, 0]);
      assert.equal(admitWaiting(queue, down, 1_500, 0.5).refused.length, 0);
      const [refusal] = admitWaiting(queue, down, 1_860, 0.5).refused;
      assert.ok((refusal?.retryAfterMs ?? 0) > 0.29 * (8_000 - 1_860));
      assert.ok((refusal?.retryAfterMs ?? Infinity) <= (8_000 - 1_860) / 3);
    });
  });

  it('refuses at once a request without time to wait for a group that is down', () => {
    const down = { ...BUSY, ratePerMs: 0 };
    assert.equal(
      enqueue([], request(1, { firstEventDeadline: 100 }), down, 0, 0.5).refused.length,
      1,
    );
    const short = request(2, { deadline: 1_900 });
    assert.equal(enqueue([], short, down, 0, 0.5).refused.length, 1);
  });

  // A group was down, and hundreds of waiting requests are refused at once. Guards against ordering the queue anew for
  // each of them, which kept the process busy for half a second while its streams stopped.
  it('orders the queue once for all refusals of a step', () => {
    let reads = 0;
    const counting: QueueForecast = {
      ...BUSY,
      grants: new Map(),
      get firstMs() {
        reads += 1;
        return BUSY.firstMs;
      },
    };
    const queue = Array.from({ length: 100 }, (_item, i) => request(i, { deadline: 500 }));
    assert.equal(admitWaiting(queue, counting, 0, 0.5).refused.length, 100);
    assert.ok(reads <= 3 * queue.length, `${reads} reads`);
  });

  it('adds jitter to retry delays', () => {
    const down = { ...BUSY, ratePerMs: 0 };
    const late = request(1, { firstEventDeadline: 100 });
    const after = [0, 0.5, 1].map(
      (random) => enqueue([], late, down, 0, random).refused[0]?.retryAfterMs ?? 0,
    );
    assert.equal(new Set(after).size, 3);
  });
});
