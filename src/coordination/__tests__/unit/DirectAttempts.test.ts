import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { judgeFailure, type DirectFailure, type DirectProgress } from '../../index.js';

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

function judge(failure: DirectFailure, change: Partial<DirectProgress>, budget = true) {
  return judgeFailure(failure, { ...FIRST, ...change }, 1, () => budget);
}

describe('judgeFailure', () => {
  // A call that may run once was sent on a connection that then died. The endpoint may have run it:
  // sent elsewhere it would run twice, and refused the caller would send it again itself.
  it('fails a call that may run once and may have run', () => {
    assert.equal(judge('lost', { mayHaveRun: true }), 'fail');
    assert.equal(judge('broken', { mayHaveRun: true }), 'fail');
  });

  it('sends on what was not run, within the attempts allowed', () => {
    assert.equal(judge('notRun', {}), 'retry');
    assert.equal(judge('notRun', { sendCount: 2 }), 'refuse');
    assert.equal(judge('notRun', { maxSends: 1 }), 'refuse');
  });

  it('sends repeatable calls again, also after a failure of the endpoint', () => {
    assert.equal(judge('failed', { repeatable: true }), 'retry');
    assert.equal(judge('lost', { repeatable: true, mayHaveRun: true }), 'retry');
    assert.equal(judge('failed', { repeatable: true, sendCount: 2 }), 'pass');
    assert.equal(judge('failed', {}), 'pass');
  });

  // A refusal says that the call has not run. An attempt before the last one may have, so that not
  // even a later clean refusal of another endpoint makes it true.
  it('never says that a call has not run once an attempt may have', () => {
    ALL.filter((failure) => failure !== 'failed').forEach((failure) => {
      const verdict = judge(failure, { mayHaveRun: true, sendCount: 2, remainingMs: 10 });
      assert.equal(verdict, 'fail', failure);
    });
  });

  it('resumes a stream that has begun, or cuts it', () => {
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

  it('asks the budget only where a retry would follow, and never for what was not sent', () => {
    let asked = 0;
    const count = (): boolean => {
      asked += 1;
      return true;
    };
    judgeFailure('lost', { ...FIRST, mayHaveRun: true }, 0, count);
    judgeFailure('unsent', FIRST, 1, count);
    assert.equal(asked, 0);
    judgeFailure('notRun', FIRST, 0, count);
    assert.equal(asked, 1);
  });

  // A rank of a group is lost; an engine refuses what it hasn't run. Another rank of the same group would
  // refuse it as well: it waits for the group, and costs no retry until it is sent again.
  it('lets wait what was not run while all groups are closed', () => {
    const unasked = (): boolean => assert.fail('the budget was asked');
    const closed = { ...FIRST, isClosed: true };
    assert.equal(judgeFailure('notRun', closed, 0, unasked), 'wait');
    assert.equal(judge('notRun', { isServiceDown: true, sendCount: 2 }), 'refuse');
    assert.equal(judge('lost', { isServiceDown: true, mayHaveRun: true }), 'fail');
    assert.equal(judge('notRun', { isServiceDown: true, mayHaveRun: true, sendCount: 2 }), 'fail');
    assert.equal(judge('broken', { isServiceDown: true, responseStarted: true }), 'cut');
    const repeatable = { isClosed: true, mayHaveRun: true, repeatable: true };
    assert.equal(judge('lost', repeatable), 'wait');
    assert.equal(judge('lost', { ...repeatable, sendCount: 2 }), 'fail');
    assert.equal(judge('failed', repeatable), 'retry');
  });

  it('does not try without time left', () => {
    assert.equal(judge('notRun', { remainingMs: 20 }), 'refuse');
  });
});
