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

/** A coordinator on rank 0 that is given inputs, and keeps what it puts out. */
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

  /** Hears all ranks; what each reports is the usual with some changes. */
  reportAll(...changes: readonly Partial<RankReport>[]): readonly MapSwitchOutput[] {
    const outputs = Array.from({ length: RANKS }, (_item, rank) => {
      this.input({ type: 'report', rank, report: { ...REPORT, rank, ...changes[rank] } });
      return this.outputs;
    });
    return outputs.flat();
  }

  /** Gains its first lease and hears all ranks. */
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
  // Its predecessor died when all ranks were armed alike and the group was held. Streams stand still
  // until somebody lets the group go; the change is as good as done, so that is all that is lacking.
  it('finishes what all ranks are armed for alike', () => {
    const coordinator = new Coordinator();
    const outputs = coordinator.gainLease({ ...ARMED, heldStep: 20 }, ARMED, ARMED);
    assert.equal(coordinator.state.phase, 'releasing');
    assert.deepEqual(ordersOf(outputs), ['0 release']);
  });

  // Its predecessor died when one rank was armed and the hold had not been carried out. The pass of the
  // switch is three passes away: were the rank only told to disarm, and that order lost, the group would
  // begin the pass with two maps. It must be held first.
  it('holds the group before it undoes what one rank is armed for', () => {
    const coordinator = new Coordinator();
    const outputs = coordinator.gainLease({}, ARMED, {});
    assert.equal(coordinator.state.phase, 'voiding');
    assert.deepEqual(ordersOf(outputs), ['0 hold']);
    const orders = ordersOf(coordinator.reportAll({ heldStep: 20 }, ARMED, {}));
    assert.ok(orders.includes('1 disarm'), orders.join());
    assert.ok(!orders.includes('0 release'), orders.join());
  });
});

describe('a coordinator that tries again', () => {
  // A try at pass 20 came to nothing, and its release may still be carried out late. Were the next try to
  // use that pass again, the late order would let the group go while only some ranks are armed.
  it('uses each pass once', () => {
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
