import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { IDLE_REPORT } from '../../../__tests__/utils/RankFixtures.js';
import type { RankReport } from '../../../protocol/index.js';
import {
  initMapSwitch,
  stepMapSwitch,
  type MapSwitchInput,
  type MapSwitchOutput,
  type MapSwitchState,
} from '../../index.js';

const RANKS = 3;

const REPORT: RankReport = { ...IDLE_REPORT, step: 17, active: 4 };

/** A coordinator on rank 0 that keeps the outputs of its latest input. */
class Coordinator {
  state: MapSwitchState = initMapSwitch(RANKS, 0);

  outputs: readonly MapSwitchOutput[] = [];

  #now = 0;

  input(input: MapSwitchInput): void {
    this.#now += 200;
    const { state, outputs } = stepMapSwitch(this.state, input, this.#now);
    this.state = state;
    this.outputs = outputs;
  }

  /** Feeds in a report of each rank: the usual report with the given changes. */
  reportAll(...changes: readonly Partial<RankReport>[]): readonly MapSwitchOutput[] {
    const outputs = Array.from({ length: RANKS }, (_item, rank) => {
      this.input({ type: 'report', rank, report: { ...REPORT, rank, ...changes[rank] } });
      return this.outputs;
    });
    return outputs.flat();
  }

  /** Gains the first lease and receives reports of all ranks. */
  gainLease(...changes: readonly Partial<RankReport>[]): readonly MapSwitchOutput[] {
    this.input({ type: 'gained', token: 1 });
    this.input({ type: 'mapInUse', map: [[[0], [1], [2]]] });
    return this.reportAll(...changes);
  }
}

function ordersOf(outputs: readonly MapSwitchOutput[]): readonly string[] {
  return outputs.flatMap((output) =>
    output.type === 'order' ? [`${output.rank} ${output.order.kind}`] : [],
  );
}

const ARMED = { prepared: 7, armed: { version: 7, step: 20 } };

describe('a coordinator that takes over', () => {
  // The predecessor crashed when all ranks were armed alike and the group was held. Streams are blocked until the
  // group is released, which is all that the change still needs.
  it('finishes a change that all ranks are armed for', () => {
    const coordinator = new Coordinator();
    const outputs = coordinator.gainLease({ ...ARMED, heldStep: 20 }, ARMED, ARMED);
    assert.equal(coordinator.state.phase, 'releasing');
    assert.deepEqual(ordersOf(outputs), ['0 release']);
  });

  // The predecessor crashed when one rank was armed and the hold had not been carried out. The pass of the switch
  // is three passes away: if the rank were only ordered to disarm and that order got lost, the group would begin
  // the pass with two maps. It must be held first.
  it('holds the group before it disarms a rank', () => {
    const coordinator = new Coordinator();
    const outputs = coordinator.gainLease({}, ARMED, {});
    assert.equal(coordinator.state.phase, 'voiding');
    assert.deepEqual(ordersOf(outputs), ['0 hold']);
    const orders = ordersOf(coordinator.reportAll({ heldStep: 20 }, ARMED, {}));
    assert.ok(orders.includes('1 disarm'), orders.join());
    assert.ok(!orders.includes('0 release'), orders.join());
  });
});

describe('a coordinator that makes another attempt', () => {
  // An attempt at pass 20 was voided, and its release may still be carried out late. If the next attempt used that
  // pass again, the late order would release the group while only some ranks are armed.
  it('uses each pass only once', () => {
    const coordinator = new Coordinator();
    coordinator.gainLease({ heldStep: 20 }, ARMED, {});
    const { version } = coordinator.state;
    const voided = { prepared: version };
    coordinator.reportAll({ ...voided, heldStep: 20 }, voided, voided);
    assert.equal(coordinator.state.phase, 'idle');
    coordinator.reportAll(voided, voided, voided);
    coordinator.input({ type: 'propose', map: [[[0], [1], [2]]] });
    const prepared = { prepared: coordinator.state.version };
    coordinator.reportAll(prepared, prepared, prepared);
    assert.equal(coordinator.state.phase, 'holding');
    assert.ok(coordinator.state.step > 20, `pass ${coordinator.state.step}`);
  });
});
