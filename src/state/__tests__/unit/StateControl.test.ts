import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  applyCommand,
  applyConfigDelta,
  deltasSince,
  mergeDeltas,
  EMPTY_CONFIG,
  EMPTY_CONTROL,
  type ControlState,
  type SubmitCommand,
} from '../../index.js';

const submit = (version: number, digest: string, base: number): SubmitCommand => ({
  kind: 'submit',
  fleet: 'f',
  version,
  digest,
  base,
  set: { [`f/customer/c${version % 3}`]: { digest } },
  del: [],
});

function accept(count: number): ControlState {
  return Array.from({ length: count }, (_item, i) => i + 1).reduce(
    (state, version) =>
      applyCommand(state, submit(version, `d${version}`, version - 1), version).state,
    EMPTY_CONTROL,
  );
}

describe('applyCommand', () => {
  // Two pipelines submit version 2 with different content at the same time. The first one in the log
  // is accepted; the other must get a conflict with the accepted digest, not an acceptance of its own.
  it('accepts the first of two equal versions and reports it to the other', () => {
    const first = applyCommand(accept(1), submit(2, 'mine', 1), 2);
    const second = applyCommand(first.state, submit(2, 'yours', 1), 3);
    assert.deepEqual(second.result, {
      result: 'conflict',
      fleet: 'f',
      version: 2,
      acceptedDigest: 'mine',
      acceptedVersion: 2,
    });
    assert.deepEqual(second.state.config, first.state.config);
  });

  // The answer to a submission is lost, hundreds of others are accepted, and the pipeline resends.
  // It must be answered as accepted with its first index, not as too old.
  it('gives a resend its first answer after many other versions', () => {
    const state = accept(400);
    const again = applyCommand(state, submit(7, 'd7', 6), 401);
    assert.deepEqual(again.result, {
      result: 'accepted',
      fleet: 'f',
      version: 7,
      digest: 'd7',
      index: 7,
    });
    assert.equal(again.state.config.index, 400);
  });

  // Around a change of leader, a delta computed against version 1 may be applied after version 2.
  // Applying it could undo what version 2 changed.
  it('refuses a delta whose base has changed', () => {
    const { result } = applyCommand(accept(2), submit(3, 'd3', 1), 3);
    assert.deepEqual(result, { result: 'stale' });
  });

  // Two endpoint processes see that a lease isn't renewed and request it at the same time. Both name the lease
  // that they saw; for the second one it has changed since, so there is one holder, with a higher token.
  it('grants a lease to one of two concurrent requests', () => {
    const leaseCommand = (holder: string) =>
      ({
        kind: 'lease',
        group: 'g',
        holder,
        durationMs: 1,
        after: { token: 0 },
      }) as const;
    const first = applyCommand(EMPTY_CONTROL, leaseCommand('a'), 1);
    const second = applyCommand(first.state, leaseCommand('b'), 2);
    assert.equal(first.result.result, 'granted');
    assert.deepEqual(second.result, {
      result: 'held',
      lease: { holder: 'a', token: 1, renewals: 0 },
    });
  });
});

describe('applyConfigDelta', () => {
  it('yields the same configuration from deltas as from a snapshot', () => {
    const state = accept(20);
    const byDeltas = deltasSince(state, 5).reduce(
      (config, delta) => applyConfigDelta(config, delta).state,
      accept(5).config,
    );
    const bySnapshot = applyConfigDelta(EMPTY_CONFIG, deltasSince(state, 0)[0] as never).state;
    assert.deepEqual(byDeltas, state.config);
    assert.deepEqual(bySnapshot, state.config);
  });

  // A relay that was frozen for hundreds of changes resumes and sends its buffered messages. The
  // receiver must keep the newer configuration, whether the old one comes as delta or snapshot.
  it('never goes back to an older index', () => {
    const { config } = accept(300);
    const outdated = accept(40);
    [...deltasSince(outdated, 0), ...outdated.deltas].forEach((delta) => {
      assert.deepEqual(applyConfigDelta(config, delta), { state: config, result: 'old' });
    });
  });

  it('reports a gap instead of applying the delta after it', () => {
    const current = accept(3).config;
    const [, , , , fifth] = accept(6).deltas;
    assert.ok(fifth);
    assert.deepEqual(applyConfigDelta(current, fifth), { state: current, result: 'gap' });
  });

  it('merges two consecutive deltas into one with the same effect', () => {
    const entry = (n: number): never => ({ n }) as never;
    const start = { index: 1, entries: { a: entry(1), b: entry(1), c: entry(1) } };
    const first = { from: 1, to: 2, set: { a: entry(2), d: entry(2) }, del: ['b'] };
    const second = { from: 2, to: 3, set: { b: entry(3) }, del: ['d', 'c'] };
    const inTurn = applyConfigDelta(applyConfigDelta(start, first).state, second).state;
    const merged = mergeDeltas(first, second);
    assert.deepEqual(applyConfigDelta(start, merged as never).state, inTurn);
    assert.equal(mergeDeltas(first, { ...second, from: 4 }), null);
    const snapshot = { from: 0, to: 2, set: { a: entry(2), d: entry(2) }, del: [] };
    const whole = mergeDeltas(snapshot, second);
    assert.deepEqual(applyConfigDelta(EMPTY_CONFIG, whole as never).state, {
      index: 3,
      entries: { a: entry(2), b: entry(3) },
    });
  });
});
