import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { IDLE_REPORT } from '../../../__tests__/utils/RankFixtures.js';
import type { RankReport } from '../../../protocol/index.js';
import {
  initMapSwitch,
  LOSSY_LEAD_PASSES,
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
      const report = { ...REPORT, rank, ...changes[rank] };
      this.input({ type: 'report', rank, report, askedAt: this.#now });
      return this.outputs;
    });
    return outputs.flat();
  }

  /** Proposes a map, and receives reports of all ranks that have prepared it. */
  prepareMap(changes: Partial<RankReport> = {}): readonly MapSwitchOutput[] {
    this.input({ type: 'propose', map: [[[0], [1], [2]]] });
    return this.reportAllPrepared(changes);
  }

  /** Receives reports of all ranks that have prepared the version. */
  reportAllPrepared(changes: Partial<RankReport> = {}): readonly MapSwitchOutput[] {
    const report = { prepared: this.state.version, ...changes };
    return this.reportAll(report, report, report);
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
    assert.deepEqual(ordersOf(coordinator.prepareMap({ step: 19 })), []);
    assert.equal(coordinator.state.phase, 'preparing');
    coordinator.reportAllPrepared({ step: REPORT.step + LOSSY_LEAD_PASSES });
    assert.equal(coordinator.state.phase, 'holding');
    assert.ok(coordinator.state.step > 20, `pass ${coordinator.state.step}`);
  });

  // Guards against a release that is carried out late and ends the hold of the next change of an idle group.
  it('does not use a pass again when its lease was regained and the group made no passes', () => {
    const coordinator = new Coordinator();
    coordinator.gainLease();
    coordinator.prepareMap();
    const used = coordinator.state.step;
    assert.equal(coordinator.state.phase, 'holding');
    coordinator.input({ type: 'lost' });
    coordinator.gainLease({ heldStep: used });
    coordinator.reportAllPrepared();
    assert.equal(coordinator.state.phase, 'idle');
    coordinator.prepareMap();
    assert.equal(coordinator.state.phase, 'preparing');
    coordinator.reportAllPrepared({ step: REPORT.step + LOSSY_LEAD_PASSES });
    assert.equal(coordinator.state.phase, 'holding');
    assert.ok(coordinator.state.step > used, `pass ${coordinator.state.step}`);
  });

  // Guards against a pass that a process used before it restarted, of which no report tells any more.
  it('waits for passes that a predecessor may have used, also where nothing is held or armed', () => {
    const coordinator = new Coordinator();
    const changed = { mapVersion: 7 };
    coordinator.gainLease(changed, changed, changed);
    coordinator.prepareMap(changed);
    assert.equal(coordinator.state.phase, 'preparing');
    coordinator.reportAllPrepared({ ...changed, step: REPORT.step + LOSSY_LEAD_PASSES - 1 });
    assert.equal(coordinator.state.phase, 'preparing');
    coordinator.reportAllPrepared({ ...changed, step: REPORT.step + LOSSY_LEAD_PASSES });
    assert.equal(coordinator.state.phase, 'holding');
  });

  // Guards against a first map that is late because the coordinator waits for passes that nobody can have used.
  it('does not wait in a group whose ranks have never prepared a map', () => {
    const coordinator = new Coordinator();
    coordinator.gainLease();
    coordinator.prepareMap();
    assert.equal(coordinator.state.phase, 'holding');
  });
});

describe('a coordinator that arms the ranks', () => {
  function armingCoordinator(): Coordinator {
    const coordinator = new Coordinator();
    coordinator.gainLease();
    coordinator.prepareMap();
    const { version, step } = coordinator.state;
    coordinator.reportAll({ prepared: version, heldStep: step }, { prepared: version }, {});
    assert.equal(coordinator.state.phase, 'arming');
    return coordinator;
  }

  // Guards against a coordinator that goes on arming ranks of a group that is no longer held.
  it('starts over when its hold is gone', () => {
    const coordinator = armingCoordinator();
    const { version, step } = coordinator.state;
    const prepared = { prepared: version };
    const armed = { ...prepared, armed: { version, step } };
    const outputs = coordinator.reportAll(prepared, armed, prepared);
    assert.ok(outputs.some(({ type }) => type === 'abandoned'));
    assert.equal(coordinator.state.phase, 'observing');
    const orders = ordersOf(coordinator.reportAll(prepared, armed, prepared));
    assert.deepEqual([...new Set(orders)], ['0 hold']);
    assert.equal(coordinator.state.phase, 'voiding');
  });

  // Guards against a report that was on its way since before the hold, and is taken for the loss of the hold.
  it('ignores the missing hold in a report that was asked for before it', () => {
    const coordinator = armingCoordinator();
    const report = { ...REPORT, prepared: coordinator.state.version };
    coordinator.input({ type: 'report', rank: 0, report, askedAt: coordinator.state.heldAt - 1 });
    assert.equal(coordinator.state.phase, 'arming');
  });
});

describe('a coordinator that gains a lease', () => {
  // Guards against reports that lay in the sockets of a frozen host, which show neither holds nor armed ranks.
  it('ignores reports that were asked for before', () => {
    const coordinator = new Coordinator();
    coordinator.input({ type: 'gained', token: 1 });
    [0, 1, 2].forEach((rank) => {
      const report = { ...REPORT, rank };
      coordinator.input({
        type: 'report',
        rank,
        report,
        askedAt: coordinator.state.validSince - 1,
      });
    });
    assert.equal(coordinator.state.phase, 'observing');
    coordinator.reportAll();
    assert.equal(coordinator.state.phase, 'idle');
  });
});
