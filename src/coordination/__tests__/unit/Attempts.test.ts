import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EndFrame, MemberRecord } from '../../../protocol/index.js';
import {
  startAttempts,
  stepAttempts,
  type AttemptInput,
  type AttemptOutput,
  type AttemptState,
} from '../../index.js';

const gate = (id: string, incarnation = 1): MemberRecord => ({
  id,
  role: 'endpoint',
  zone: 'z',
  address: '127.0.0.1:1',
  incarnation,
  version: 1,
  status: 'serving',
});

const identity = (attempt = 1, incarnation = 1) => ({ request: 'r', attempt, incarnation });

const head = (streamed: boolean, attempt = 1): AttemptInput => ({
  type: 'head',
  frame: { ...identity(attempt), streamed },
});

const data = (seq: number, events = 1, attempt = 1): AttemptInput => ({
  type: 'data',
  frame: { ...identity(attempt), seq, events },
});

const end = (seq: number, whole = true, attempt = 1): AttemptInput => ({
  type: 'end',
  frame: {
    ...identity(attempt),
    kind: 'end',
    endedLife: null,
    seq,
    whole,
    reason: '',
    load: { running: 0, queued: 0, slots: 1 },
  } satisfies EndFrame,
});

interface Run {
  readonly state: AttemptState;
  readonly outputs: readonly AttemptOutput[];
}

/** Applies inputs after a first attempt was sent to gate `a`; returns the outputs of the last input. */
function run(repeatable: boolean, inputs: readonly AttemptInput[], takeRetry = true): Run {
  const ctx = { now: 0, takeRetry: () => takeRetry };
  const all: readonly AttemptInput[] = [{ type: 'routed', endpoint: gate('a') }, ...inputs];
  return all.reduce<Run>(
    ({ state }, input) => stepAttempts(state, input, ctx),
    startAttempts('r', repeatable, 10_000),
  );
}

const kinds = (outputs: readonly AttemptOutput[]): readonly string[] =>
  outputs.map((output) =>
    output.type === 'fail' ? `fail ${output.error.code} ${output.error.outcome}` : output.type,
  );

describe('stepAttempts', () => {
  it('delivers a complete stream and finishes', () => {
    const inputs = [head(true), data(1, 3), data(4, 2), end(5)];
    assert.deepEqual(kinds(run(true, inputs).outputs), ['finish']);
  });

  // Guards against running a call twice: a reorder was written to a kept-alive connection that closed, so it
  // may have run. It is sent elsewhere only after the gate has confirmed that it never will be run there.
  it('retries a non-repeatable call only after its revocation', () => {
    const lost: AttemptInput = { type: 'lost', attempt: 1 };
    assert.deepEqual(kinds(run(false, [lost]).outputs), ['revoke']);
    const revoked: AttemptInput = { type: 'revokeReply', attempt: 1, state: 'revoked' };
    assert.deepEqual(kinds(run(false, [lost, revoked]).outputs), ['reset', 'route']);
  });

  // As above, but the gate has started the call or can't be reached. The caller gets an unknown outcome at
  // once, and the call is not run again.
  it('fails with an unknown outcome at once when a revocation is not confirmed', () => {
    const lost: AttemptInput = { type: 'lost', attempt: 1 };
    const started: AttemptInput = { type: 'revokeReply', attempt: 1, state: 'started' };
    const failed: AttemptInput = { type: 'revokeFailed', attempt: 1 };
    [started, failed].forEach((input) => {
      const { outputs } = run(false, [lost, input]);
      assert.deepEqual(kinds(outputs), ['fail outcome_unknown unknown']);
    });
  });

  // A frame of the endpoint's previous incarnation, of an earlier attempt or of another request can arrive
  // on a reused connection. It must never reach the caller.
  it('drops frames that are late or of another request', () => {
    const foreign: readonly AttemptInput[] = [
      { type: 'data', frame: { ...identity(1, 2), seq: 1, events: 1 } },
      { type: 'data', frame: { ...identity(), request: 'other', seq: 1, events: 1 } },
      data(1, 1, 2),
    ];
    foreign.forEach((input) => {
      assert.deepEqual(run(true, [head(true), input]).outputs, []);
    });
  });

  // The engine crashes after the last token and before the final event. All tokens were delivered, but
  // nothing shows that none is missing, so the stream must end as truncated.
  it('never finishes a stream without its final event', () => {
    const { outputs } = run(true, [head(true), data(1), { type: 'cut', attempt: 1 }]);
    assert.deepEqual(kinds(outputs), ['fail answer_cut failed']);
    assert.deepEqual(kinds(run(true, [head(true), data(1), end(1, false)]).outputs), [
      'fail answer_cut failed',
    ]);
  });

  // The gate is killed after it accepted the call and before the engine's answer has begun, or finds that its
  // engine has crashed. No answer will come, and the caller must not wait for it until the deadline.
  it('continues at once when an answer ends before it has begun', () => {
    const cut: AttemptInput = { type: 'cut', attempt: 1 };
    assert.deepEqual(kinds(run(true, [cut]).outputs), ['revoke', 'reset', 'route']);
    assert.deepEqual(kinds(run(false, [cut]).outputs), ['revoke']);
    assert.deepEqual(kinds(run(true, [end(0, false)]).outputs), ['reset', 'route']);
    assert.deepEqual(kinds(run(true, [end(0, true)]).outputs), ['reset', 'route']);
    assert.deepEqual(kinds(run(false, [end(0, false)]).outputs), ['fail outcome_unknown unknown']);
  });

  // A frame is missing or arrives twice. Delivering the next ones would omit or repeat a token.
  it('treats a gap or an overlap as a truncated answer', () => {
    assert.deepEqual(kinds(run(true, [head(false), data(2)]).outputs), ['reset', 'route']);
    assert.deepEqual(kinds(run(true, [head(false), data(1), data(1)]).outputs), ['reset', 'route']);
    assert.deepEqual(kinds(run(true, [head(false), data(1), end(2)]).outputs), ['reset', 'route']);
  });

  it('fails at once without retry budget, without time, or after three attempts', () => {
    const refused = (attempt: number): AttemptInput => ({
      type: 'refused',
      attempt,
      code: 'leaving',
    });
    assert.deepEqual(kinds(run(true, [refused(1)], false).outputs), ['fail leaving not_run']);
    const routed: AttemptInput = { type: 'routed', endpoint: gate('b') };
    const thrice = [refused(1), routed, refused(2), routed, refused(3)];
    assert.deepEqual(kinds(run(true, thrice).outputs), ['fail leaving not_run']);
    const late = stepAttempts(run(true, []).state, refused(1), {
      now: 9_990,
      takeRetry: () => true,
    });
    assert.deepEqual(kinds(late.outputs), ['fail leaving not_run']);
  });

  it('fails at the deadline, with an unknown outcome if the call was sent', () => {
    const { outputs } = run(false, [{ type: 'deadline' }]);
    assert.deepEqual(kinds(outputs), ['cancel', 'revoke', 'fail deadline_exceeded unknown']);
  });
});
