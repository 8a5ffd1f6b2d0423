import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ConfigDelta, MemberRecord } from '../../../protocol/index.js';
import {
  CONFIRM_TIMEOUT_MS,
  initRollout,
  stepRollout,
  type RolloutInput,
  type RolloutOutput,
  type RolloutState,
} from '../../index.js';

const member = (id: string, role: 'entry' | 'endpoint' = 'entry'): MemberRecord => ({
  id,
  role,
  zone: 'z',
  address: '127.0.0.1:1',
  incarnation: 1,
  version: 1,
  status: 'serving',
  offer: { fleet: 'f', service: 'mine', slots: 1 },
});

const delta = (from: number, to: number): ConfigDelta => ({
  from,
  to,
  set: { [`f/service/s${to}`]: to },
  del: [],
});

const config = (index: number, deltas: readonly ConfigDelta[] = []): RolloutInput => ({
  type: 'config',
  config: { index, entries: { 'f/service/mine': index, 'f/customer/c': index } },
  deltas,
});

const subscribe = (record: MemberRecord, held = 0): RolloutInput => ({
  type: 'subscribe',
  record,
  held,
});

interface Run {
  readonly state: RolloutState;
  readonly outputs: readonly RolloutOutput[];
}

/** Applies inputs one after the other; outputs are those of the last one. */
function run(inputs: readonly RolloutInput[], now = 0): Run {
  return inputs.reduce<Run>(({ state }, input) => stepRollout(state, input, now), {
    state: initRollout(0),
    outputs: [],
  });
}

const sent = (outputs: readonly RolloutOutput[]): readonly string[] =>
  outputs.map((output) =>
    output.type === 'send'
      ? `${output.to} ${output.delta.from}>${output.delta.to}`
      : `${output.type} ${output.type === 'fetch' ? output.from : output.phase}`,
  );

describe('stepRollout', () => {
  // A control process restarts after hundreds of changes. The configuration on its disk may be long out of
  // date, and must not be sent to a process that attaches before a quorum has confirmed it.
  it('serves no process before its log is confirmed', () => {
    const waiting = [config(7), subscribe(member('e1'))];
    assert.deepEqual(sent(run(waiting).outputs), []);
    assert.deepEqual(sent(run([...waiting, config(9), { type: 'confirmed' }]).outputs), [
      'phase checked',
      'e1 0>9',
    ]);
  });

  // As above, but the availability zone is partitioned and no quorum replies. The control process waits
  // for the attached processes to report what they hold, and then serves what it has, so that the
  // availability zone keeps working.
  it('serves what it holds after the timeout in a partitioned availability zone', () => {
    const { state } = run([config(7), subscribe(member('e1'))]);
    assert.deepEqual(
      sent(stepRollout(state, { type: 'tick' }, CONFIRM_TIMEOUT_MS - 1).outputs),
      [],
    );
    assert.deepEqual(sent(stepRollout(state, { type: 'tick' }, CONFIRM_TIMEOUT_MS).outputs), [
      'phase cutOff',
      'e1 0>7',
    ]);
  });

  // An entry process was attached to a control process in another availability zone when the partition
  // began, and holds index 9; this control process holds 7. A process that restarts now must wait for the
  // newer one: the control process must serve no one while it is still fetching. spec/SpecRollout.ts
  // checks this exhaustively.
  it('fetches a newer configuration before it serves any other process', () => {
    const ahead = [
      config(7),
      { type: 'confirmed' } as const,
      subscribe(member('e1'), 9),
      subscribe(member('e2')),
    ];
    assert.deepEqual(sent(run(ahead).outputs), ['fetch e1']);
    const learned: RolloutInput = { type: 'learned', config: { index: 9, entries: {} } };
    assert.deepEqual(sent(run([...ahead, learned]).outputs), ['e2 0>9']);
    const lost: RolloutInput = { type: 'unsubscribe', id: 'e1' };
    assert.deepEqual(sent(run([...ahead, lost]).outputs), ['e2 0>7']);
  });

  it('never serves an older configuration than it has served', () => {
    const { state, outputs } = run([config(9), { type: 'confirmed' }, config(7)]);
    assert.deepEqual([state.config.index, outputs], [9, []]);
  });

  it('sends deltas if they have no gap, else a snapshot', () => {
    const row = [delta(3, 5), delta(5, 8)];
    const at = (held: number) =>
      sent(run([config(8, row), { type: 'confirmed' }, subscribe(member('e1'), held)]).outputs);
    assert.deepEqual(at(3), ['e1 3>5', 'e1 5>8']);
    assert.deepEqual(at(5), ['e1 5>8']);
    assert.deepEqual(at(4), ['e1 0>8']);
    assert.deepEqual(at(8), []);
  });

  it('sends an endpoint process only its own service', () => {
    const { outputs } = run([
      config(8),
      { type: 'confirmed' },
      subscribe(member('p1', 'endpoint')),
    ]);
    assert.deepEqual(outputs, [
      {
        type: 'send',
        to: 'p1',
        delta: { from: 0, to: 8, set: { 'f/service/mine': 8 }, del: [] },
      },
    ]);
  });
});
