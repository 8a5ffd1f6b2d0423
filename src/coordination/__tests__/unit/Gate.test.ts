import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  initGate,
  CLOSED_ATTEMPT_TTL_MS,
  stepGate,
  type GateInput,
  type GateState,
} from '../../index.js';

const attempt = (key: string, target = 1): GateInput => ({
  type: 'attempt',
  key,
  target,
  customer: 'c',
});

function run(inputs: readonly GateInput[], now = 0) {
  const first = { state: initGate(1), outputs: [] as readonly unknown[] };
  return inputs.reduce<{ state: GateState; outputs: readonly unknown[] }>(
    ({ state }, input) => stepGate(state, input, now),
    first,
  );
}

describe('stepGate', () => {
  // The caller was told that the call was not run. The bytes of the attempt were still in a socket
  // buffer; they arrive now. Starting it would run the call behind the caller's back.
  it('never starts a revoked attempt that arrives late', () => {
    const { outputs } = run([
      { type: 'ready' },
      { type: 'revoke', key: 'r#1', target: 1 },
      attempt('r#1'),
    ]);
    assert.deepEqual(outputs, [{ type: 'refuse', key: 'r#1', code: 'revoked' }]);
  });

  // The process restarted between the attempt and its revocation. It does not know what its
  // predecessor ran, so it may not say that nothing was.
  it('vouches for no other incarnation', () => {
    const { outputs } = run([{ type: 'ready' }, { type: 'revoke', key: 'r#1', target: 0 }]);
    assert.deepEqual(outputs, [{ type: 'revoked', key: 'r#1', state: 'started' }]);
    assert.deepEqual(run([{ type: 'ready' }, attempt('r#1', 0)]).outputs, [
      { type: 'refuse', key: 'r#1', code: 'wrong_incarnation' },
    ]);
  });

  it('starts an attempt once, running or ended', () => {
    const begun: readonly GateInput[] = [{ type: 'ready' }, attempt('r#1')];
    const refused = [{ type: 'refuse', key: 'r#1', code: 'revoked' }];
    assert.deepEqual(run([...begun, attempt('r#1')]).outputs, refused);
    assert.deepEqual(
      run([...begun, { type: 'ended', key: 'r#1' }, attempt('r#1')]).outputs,
      refused,
    );
  });

  // An entry host missed the news that this endpoint leaves, and sends it work. It is refused in so
  // many words; what runs goes on, and the gate is drained only when the last of it has ended.
  it('refuses new work when leaving and waits for what runs', () => {
    const leaving: readonly GateInput[] = [{ type: 'ready' }, attempt('r#1'), { type: 'leave' }];
    assert.deepEqual(run(leaving).outputs, []);
    assert.deepEqual(run([...leaving, attempt('r#2')]).outputs, [
      { type: 'refuse', key: 'r#2', code: 'leaving' },
    ]);
    assert.deepEqual(run([...leaving, { type: 'ended', key: 'r#1' }]).outputs, [
      { type: 'drained' },
    ]);
  });

  it('refuses work before its configuration was checked', () => {
    assert.deepEqual(run([attempt('r#1')]).outputs, [
      { type: 'refuse', key: 'r#1', code: 'not_ready' },
    ]);
  });

  it('forgets what ended longer ago than any message can be late', () => {
    const { state } = run([{ type: 'ready' }, attempt('r#1'), { type: 'ended', key: 'r#1' }]);
    assert.equal(stepGate(state, { type: 'tick' }, CLOSED_ATTEMPT_TTL_MS).state.closed.size, 1);
    assert.equal(stepGate(state, { type: 'tick' }, CLOSED_ATTEMPT_TTL_MS + 1).state.closed.size, 0);
  });
});
