import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  applyCommand,
  applyConfigDelta,
  deltasSince,
  EMPTY_CONFIG,
  EMPTY_CONTROL,
  evacuationsOf,
  type ControlCommand,
  type ControlState,
} from '../../index.js';

const evacuate = (zone: string, evacuated: boolean, base: number): ControlCommand => ({
  kind: 'evacuate',
  zone,
  evacuated,
  base,
});

const replace = (version: number, index: number, state: ControlState): ControlState => {
  const document = { kind: 'replace', fleet: 'f', version, digest: `d${version}` } as const;
  const entries = { 'document/order': [version] };
  return applyCommand(state, { ...document, entries }, index).state;
};

describe('the evacuation of a zone in the log', () => {
  // Guards against a document that ends an evacuation, whichever of the two comes first in the log.
  it('outlives documents, in snapshots and deltas alike', () => {
    const first = replace(1, 1, EMPTY_CONTROL);
    const begun = applyCommand(first, evacuate('z1', true, 1), 2).state;
    const replaced = replace(2, 3, begun);
    assert.deepEqual(evacuationsOf(replaced.config.entries), [{ zone: 'z1', since: 2 }]);
    assert.deepEqual(replaced.config.entries['document/order'], [2]);
    const [snapshot] = deltasSince(replaced, 0);
    assert.deepEqual(applyConfigDelta(EMPTY_CONFIG, snapshot as never).state, replaced.config);
    const byDeltas = deltasSince(replaced, 1).reduce(
      (config, delta) => applyConfigDelta(config, delta).state,
      first.config,
    );
    assert.deepEqual(byDeltas, replaced.config);
  });

  // Guards against an order that takes effect after a later one, when it or its proposal was delayed.
  it('is not begun by an order that was based on an earlier configuration', () => {
    const begun = applyCommand(EMPTY_CONTROL, evacuate('z1', true, 0), 1).state;
    const finished = applyCommand(begun, evacuate('z1', false, 1), 2).state;
    const late = applyCommand(finished, evacuate('z1', true, 0), 3);
    assert.deepEqual(late.result, { result: 'stale' });
    assert.deepEqual(evacuationsOf(late.state.config.entries), []);
  });

  // Guards against an order that is stale for ever while documents change faster than it is committed.
  it('is begun by an order that was based on a configuration before other documents and zones', () => {
    const other = applyCommand(replace(1, 1, EMPTY_CONTROL), evacuate('z2', true, 1), 2).state;
    const changed = replace(2, 3, other);
    const begun = applyCommand(changed, evacuate('z1', true, 1), 4);
    assert.deepEqual(begun.result, { result: 'evacuated', index: 4 });
    const since = evacuationsOf(begun.state.config.entries);
    assert.deepEqual(since, [
      { zone: 'z1', since: 4 },
      { zone: 'z2', since: 2 },
    ]);
  });

  // Guards against an order that is taken as undisturbed because the deltas since its base were dropped.
  it('is not begun by an order whose base is older than the deltas', () => {
    const late = { ...replace(2, 2, replace(1, 1, EMPTY_CONTROL)), deltas: [] };
    const order = applyCommand(late, evacuate('z1', true, 1), 3);
    assert.deepEqual(order.result, { result: 'stale' });
  });

  // Guards against a repeated order that changes the configuration, or that names an index before the first one.
  it('is changed by neither a repeated begin nor a finish that finds none', () => {
    const begun = applyCommand(EMPTY_CONTROL, evacuate('z1', true, 0), 1).state;
    const again = applyCommand(begun, evacuate('z1', true, 1), 2);
    assert.deepEqual(again.result, { result: 'evacuated', index: 1 });
    assert.deepEqual(again.state.config, begun.config);
    const none = applyCommand(begun, evacuate('z2', false, 1), 2);
    assert.deepEqual(none.result, { result: 'evacuated', index: 1 });
    assert.deepEqual(none.state.config, begun.config);
  });
});
