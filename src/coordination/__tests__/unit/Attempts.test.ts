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

/** Runs inputs after a first attempt was sent to gate `a`; outputs are those of the last input. */
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
  it('delivers a whole stream and finishes', () => {
    const inputs = [head(true), data(1, 3), data(4, 2), end(5)];
    assert.deepEqual(kinds(run(true, inputs).outputs), ['finish']);
  });

  // A reorder is written to a kept-alive connection that dies. It may have been run. It goes
  // elsewhere only after the gate has said that it never will be.
  it('retries a call not to be repeated only after its revocation', () => {
    const lost: AttemptInput = { type: 'lost', attempt: 1 };
    assert.deepEqual(kinds(run(false, [lost]).outputs), ['revoke']);
    const revoked: AttemptInput = { type: 'revokeReply', attempt: 1, state: 'revoked' };
    assert.deepEqual(kinds(run(false, [lost, revoked]).outputs), ['reset', 'route']);
  });

  // As above, but the gate has started it, or can't be asked. The caller is told at once that
  // nobody knows, and nothing is run again.
  it('says unknown at once when a revocation is not acknowledged', () => {
    const lost: AttemptInput = { type: 'lost', attempt: 1 };
    const started: AttemptInput = { type: 'revokeReply', attempt: 1, state: 'started' };
    const failed: AttemptInput = { type: 'revokeFailed', attempt: 1 };
    [started, failed].forEach((input) => {
      const { outputs } = run(false, [lost, input]);
      assert.deepEqual(kinds(outputs), ['fail outcome_unknown unknown']);
    });
  });

  // An answer to the endpoint's previous life, to an earlier attempt, or to another request arrives
  // on a connection that is used again. The caller must never see a byte of it.
  it('drops late and foreign frames', () => {
    const foreign: readonly AttemptInput[] = [
      { type: 'data', frame: { ...identity(1, 2), seq: 1, events: 1 } },
      { type: 'data', frame: { ...identity(), request: 'other', seq: 1, events: 1 } },
      data(1, 1, 2),
    ];
    foreign.forEach((input) => {
      assert.deepEqual(run(true, [head(true), input]).outputs, []);
    });
  });

  // The engine dies after the last token and before the final event. Everything was delivered, yet
  // nothing says that it was everything: the stream must end as cut, not as whole.
  it('never finishes a stream without its final event', () => {
    const { outputs } = run(true, [head(true), data(1), { type: 'cut', attempt: 1 }]);
    assert.deepEqual(kinds(outputs), ['fail answer_cut failed']);
    assert.deepEqual(kinds(run(true, [head(true), data(1), end(1, false)]).outputs), [
      'fail answer_cut failed',
    ]);
  });

  // The gate is killed after it took the call and before the engine's answer has begun, or finds its
  // engine gone. Nothing more will come; the caller must not wait for the deadline to learn it.
  it('goes on at once when an answer ends before it has begun', () => {
    const cut: AttemptInput = { type: 'cut', attempt: 1 };
    assert.deepEqual(kinds(run(true, [cut]).outputs), ['revoke', 'reset', 'route']);
    assert.deepEqual(kinds(run(false, [cut]).outputs), ['revoke']);
    assert.deepEqual(kinds(run(true, [end(0, false)]).outputs), ['reset', 'route']);
    assert.deepEqual(kinds(run(true, [end(0, true)]).outputs), ['reset', 'route']);
    assert.deepEqual(kinds(run(false, [end(0, false)]).outputs), ['fail outcome_unknown unknown']);
  });

  // A frame is missing or comes twice. Joining the rest would leave a gap or a doubled token.
  it('treats a gap or an overlap as a cut', () => {
    assert.deepEqual(kinds(run(true, [head(false), data(2)]).outputs), ['reset', 'route']);
    assert.deepEqual(kinds(run(true, [head(false), data(1), data(1)]).outputs), ['reset', 'route']);
    assert.deepEqual(kinds(run(true, [head(false), data(1), end(2)]).outputs), ['reset', 'route']);
  });

  it('gives up at once without budget, without time, or after three attempts', () => {
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

  it('answers at the deadline, and says unknown if the call was sent', () => {
    const { outputs } = run(false, [{ type: 'deadline' }]);
    assert.deepEqual(kinds(outputs), ['cancel', 'revoke', 'fail deadline_exceeded unknown']);
  });
});
