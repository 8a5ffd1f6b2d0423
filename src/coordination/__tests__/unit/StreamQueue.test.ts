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
};

function request(id: number, change: Partial<WaitingRequest> = {}): WaitingRequest {
  return {
    id,
    priority: 1,
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

function waitAll(requests: readonly WaitingRequest[], outlook = BUSY): StreamQueue {
  return requests.reduce<StreamQueue>(
    (queue, item) => enqueue(queue, item, outlook, 0, 0.5).queue,
    [],
  );
}

describe('StreamQueue', () => {
  it('begins at once while there are places', () => {
    const step = enqueue([], request(1), { ...BUSY, free: 2 }, 0, 0.5);
    assert.deepEqual(step.admitted, [1]);
  });

  // Load pattern: a group was slow for a second, and a queue has formed. Requests in front can no
  // longer be on time; those that just came can. First come, first served would make all late.
  it('lets those that can still be on time go first, the rest after them', () => {
    const queue = waitAll([
      request(1, { objectiveAt: 100 }),
      request(2, { objectiveAt: 900 }),
      request(3, { objectiveAt: 700 }),
    ]);
    const step = admitWaiting(queue, { ...BUSY, free: 2 }, 200, 0.5);
    assert.deepEqual(step.admitted, [3, 2]);
    assert.deepEqual(admitWaiting(step.queue, { ...BUSY, free: 1 }, 210, 0.5).admitted, [1]);
  });

  it('puts the more urgent before the less', () => {
    const queue = waitAll([request(1, { priority: 2 }), request(2, { priority: 0 })]);
    assert.deepEqual(admitWaiting(queue, { ...BUSY, free: 1 }, 10, 0.5).admitted, [2]);
  });

  // A group was down for seconds, and its callers come back as it opens, among new ones. Sent behind
  // the new ones they would miss their deadline, and have no further try.
  it('lets those that came back go before all others', () => {
    const queue = waitAll([
      request(1, { objectiveAt: 900 }),
      request(2, { isCallerRetry: true, objectiveAt: 100, deadline: 5_000 }),
    ]);
    assert.deepEqual(admitWaiting(queue, { ...BUSY, free: 1 }, 200, 0.5).admitted, [2]);
  });

  // Load pattern: callers wait out a group that is down. Guards against: they are sent away for good, for want of
  // time for the longest answer that they allow, right before it opens.
  it('keeps who came back while the group is down, and begins them when it opens', () => {
    const closed: QueueForecast = { ...BUSY, ratePerMs: 0, isRecovering: true };
    const back = { returned: true, patientUntil: 2_000, deadline: 4_000 };
    const queue = waitAll([request(1, { ...back, tokens: 350, likelyTokens: 60 })], closed);
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

  // Load pattern: a group is gone for good. Guards against: each caller waits out its patience twice, in vain.
  it('refuses at once while the service has been down for longer than callers wait', () => {
    const gone: QueueForecast = { ...BUSY, ratePerMs: 0, isRecovering: true, isLongDown: true };
    const step = enqueue([], request(1), gone, 0, 0.5);
    assert.deepEqual([step.queue, step.refused.length], [[], 1]);
    assert.equal(admitWaiting([request(2)], gone, 100, 0.5).refused.length, 1);
  });

  it('judges by the longest answer while the service is up', () => {
    const queue = waitAll([request(1, { deadline: 4_000, tokens: 350, likelyTokens: 60 })]);
    assert.deepEqual(queue, []);
  });

  // Load pattern: a burst brings more than can be served by its deadline. What would wait in vain is
  // told at once, while its caller can still come back, and comes back once the queue has drained.
  it('refuses at once what it can not begin in time', () => {
    const queue = waitAll(Array.from({ length: 12 }, (_item, i) => request(i)));
    const step = enqueue(queue, request(99), BUSY, 0, 0.5);
    assert.equal(step.refused.length, 1);
    const [refusal] = step.refused;
    assert.ok((refusal?.retryAfterMs ?? 0) > 500);
    assert.ok((refusal?.retryAfterMs ?? Infinity) <= 8_000 / 3);
  });

  it('refuses at once what can not end by its deadline', () => {
    const step = enqueue([], request(1, { deadline: 1_500 }), { ...BUSY, free: 5 }, 0, 0.5);
    assert.equal(step.refused.length, 1);
  });

  // A group is down, and nobody can tell for how long. New callers and those that came back wait for it as
  // long as they have patience, then they are told when to return, while a third of their time is left to
  // wait again: each of both waits may meet the opening, where one sent away at once has only the second.
  it('lets callers wait for a group that is down, for a bounded time', () => {
    const down = { ...BUSY, ratePerMs: 0 };
    [false, true].forEach((returned) => {
      const { queue, refused } = enqueue([], request(2, { isCallerRetry: returned }), down, 0, 0.5);
      assert.deepEqual([queue.length, refused.length], [1, 0]);
      assert.equal(admitWaiting(queue, down, 1_500, 0.5).refused.length, 0);
      const [refusal] = admitWaiting(queue, down, 1_860, 0.5).refused;
      assert.ok((refusal?.retryAfterMs ?? 0) > 0.29 * (8_000 - 1_860));
      assert.ok((refusal?.retryAfterMs ?? Infinity) <= (8_000 - 1_860) / 3);
    });
  });

  it('refuses at once while a group is down what has no patience left for its opening', () => {
    const down = { ...BUSY, ratePerMs: 0 };
    assert.equal(
      enqueue([], request(1, { firstEventDeadline: 100 }), down, 0, 0.5).refused.length,
      1,
    );
    const short = request(2, { deadline: 1_900 });
    assert.equal(enqueue([], short, down, 0, 0.5).refused.length, 1);
  });

  it('spreads returns', () => {
    const down = { ...BUSY, ratePerMs: 0 };
    const late = request(1, { firstEventDeadline: 100 });
    const after = [0, 0.5, 1].map(
      (random) => enqueue([], late, down, 0, random).refused[0]?.retryAfterMs ?? 0,
    );
    assert.equal(new Set(after).size, 3);
  });
});
