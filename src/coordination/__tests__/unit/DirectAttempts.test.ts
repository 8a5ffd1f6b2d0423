import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  judgeFailure,
  judgeWithoutRetry,
  type DirectFailure,
  type DirectProgress,
  type DirectVerdict,
} from '../../index.js';

const FIRST: DirectProgress = {
  repeatable: false,
  sendCount: 1,
  maxSends: 2,
  mayHaveRun: false,
  responseStarted: false,
  canResume: false,
  isServiceDown: false,
  remainingMs: 5_000,
};

const ALL: readonly DirectFailure[] = ['unsent', 'notRun', 'lost', 'failed', 'broken'];

function judge(
  failure: DirectFailure,
  change: Partial<DirectProgress>,
  isAllowed = true,
): DirectVerdict {
  const progress = { ...FIRST, ...change };
  const verdict = judgeFailure(failure, progress, 1);
  return verdict === 'retry' && !isAllowed ? judgeWithoutRetry(failure, progress) : verdict;
}

describe('judgeFailure', () => {
  // A non-repeatable call was sent on a connection that then closed. The endpoint may have run it: if it were
  // retried it could run twice, and if it were refused the caller would retry it.
  it('fails a non-repeatable call that may have run', () => {
    assert.equal(judge('lost', { mayHaveRun: true }), 'fail');
    assert.equal(judge('broken', { mayHaveRun: true }), 'fail');
  });

  it('retries what was not run, within the allowed attempts', () => {
    assert.equal(judge('notRun', {}), 'retry');
    assert.equal(judge('notRun', { sendCount: 2 }), 'refuse');
    assert.equal(judge('notRun', { maxSends: 1 }), 'refuse');
  });

  it('retries repeatable calls, also after an error of the endpoint', () => {
    assert.equal(judge('failed', { repeatable: true }), 'retry');
    assert.equal(judge('lost', { repeatable: true, mayHaveRun: true }), 'retry');
    assert.equal(judge('failed', { repeatable: true, sendCount: 2 }), 'pass');
    assert.equal(judge('failed', {}), 'pass');
  });

  // A refusal says that the call has not run. If an earlier attempt may have run, that would be wrong even
  // after another endpoint has refused the last attempt.
  it('never reports a call as not run once an attempt may have run', () => {
    ALL.filter((failure) => failure !== 'failed').forEach((failure) => {
      const verdict = judge(failure, { mayHaveRun: true, sendCount: 2, remainingMs: 10 });
      assert.equal(verdict, 'fail', failure);
    });
  });

  it('resumes a stream that has started, or aborts it', () => {
    assert.equal(
      judge('broken', { responseStarted: true, canResume: true, repeatable: true }),
      'retry',
    );
    assert.equal(
      judge('broken', { responseStarted: true, canResume: false, repeatable: true }),
      'cut',
    );
    assert.equal(
      judge('broken', { responseStarted: true, canResume: true, repeatable: true }, false),
      'cut',
    );
  });

  it('ends what may not be retried as it was left by its attempts', () => {
    assert.equal(judge('notRun', {}, false), 'refuse');
    assert.equal(judge('notRun', { mayHaveRun: true, repeatable: true }, false), 'fail');
    assert.equal(judge('failed', { repeatable: true }, false), 'pass');
    assert.equal(judge('unsent', {}, false), 'refuse');
  });

  // A rank of a group is lost, and an engine refuses what it has not run. Other ranks of the group would refuse
  // it too, so it waits for the group and spends no retry until it is sent again.
  it('makes a request that was not run wait while all groups are closed', () => {
    assert.equal(judge('notRun', { isServiceDown: true }), 'wait');
    assert.equal(judge('notRun', { isServiceDown: true, sendCount: 2 }), 'refuse');
    assert.equal(judge('lost', { isServiceDown: true, mayHaveRun: true }), 'fail');
    assert.equal(judge('notRun', { isServiceDown: true, mayHaveRun: true, sendCount: 2 }), 'fail');
    assert.equal(judge('broken', { isServiceDown: true, responseStarted: true }), 'cut');
    const repeatable = { isServiceDown: true, mayHaveRun: true, repeatable: true };
    assert.equal(judge('lost', repeatable), 'wait');
    assert.equal(judge('lost', { ...repeatable, sendCount: 2 }), 'fail');
    assert.equal(judge('failed', repeatable), 'retry');
  });

  it('does not retry without time left', () => {
    assert.equal(judge('notRun', { remainingMs: 20 }), 'refuse');
  });
});
