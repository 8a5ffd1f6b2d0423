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
  // The caller was told that the call was not run, but the attempt was still in a socket buffer and
  // arrives now. Starting it would run a call that the caller may have retried.
  it('never starts a revoked attempt that arrives late', () => {
    const { outputs } = run([
      { type: 'ready' },
      { type: 'revoke', key: 'r#1', target: 1 },
      attempt('r#1'),
    ]);
    assert.deepEqual(outputs, [{ type: 'refuse', key: 'r#1', code: 'revoked' }]);
  });

  // The process restarted between the attempt and its revocation. It does not know what its predecessor
  // ran, so it must not confirm the revocation.
  it('confirms no revocation for another incarnation', () => {
    const { outputs } = run([{ type: 'ready' }, { type: 'revoke', key: 'r#1', target: 0 }]);
    assert.deepEqual(outputs, [{ type: 'revoked', key: 'r#1', state: 'started' }]);
    assert.deepEqual(run([{ type: 'ready' }, attempt('r#1', 0)]).outputs, [
      { type: 'refuse', key: 'r#1', code: 'wrong_incarnation' },
    ]);
  });

  it('starts an attempt only once, whether it is running or has ended', () => {
    const begun: readonly GateInput[] = [{ type: 'ready' }, attempt('r#1')];
    const refused = [{ type: 'refuse', key: 'r#1', code: 'revoked' }];
    assert.deepEqual(run([...begun, attempt('r#1')]).outputs, refused);
    assert.deepEqual(
      run([...begun, { type: 'ended', key: 'r#1' }, attempt('r#1')]).outputs,
      refused,
    );
  });

  // An entry host missed the update that this endpoint is leaving and sends it an attempt. The attempt is
  // refused with the code `leaving`; the gate is drained only when the last running attempt has ended.
  it('refuses new attempts when leaving and waits for the running ones', () => {
    const leaving: readonly GateInput[] = [{ type: 'ready' }, attempt('r#1'), { type: 'leave' }];
    assert.deepEqual(run(leaving).outputs, []);
    assert.deepEqual(run([...leaving, attempt('r#2')]).outputs, [
      { type: 'refuse', key: 'r#2', code: 'leaving' },
    ]);
    assert.deepEqual(run([...leaving, { type: 'ended', key: 'r#1' }]).outputs, [
      { type: 'drained' },
    ]);
  });

  it('refuses attempts before its configuration was checked', () => {
    assert.deepEqual(run([attempt('r#1')]).outputs, [
      { type: 'refuse', key: 'r#1', code: 'not_ready' },
    ]);
  });

  it('drops ended attempts after the time for which a message can be delayed', () => {
    const { state } = run([{ type: 'ready' }, attempt('r#1'), { type: 'ended', key: 'r#1' }]);
    assert.equal(stepGate(state, { type: 'tick' }, CLOSED_ATTEMPT_TTL_MS).state.closed.size, 1);
    assert.equal(stepGate(state, { type: 'tick' }, CLOSED_ATTEMPT_TTL_MS + 1).state.closed.size, 0);
  });
});
