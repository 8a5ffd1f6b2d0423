import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { IDLE_REPORT } from '../../../__tests__/utils/RankFixtures.js';
import type { GroupLoad } from '../../../protocol/index.js';
import {
  applyGroupLoad,
  describeLoad,
  gainLease,
  initGroupSlots,
  initLoadKnowledge,
  isLoadComplete,
  isOpenGroup,
  maxWritersFor,
  noteReport,
  noteSkew,
  passCorrection,
  refreshGroupSlots,
  type GroupSlots,
  type LoadKnowledge,
} from '../../index.js';
import { COSTS } from '../utils/LoadModel.js';

const RANKS = Array.from({ length: 72 }, (_item, rank) => ({
  endpoint: `e${rank}`,
  rank,
  zone: 'z',
}));

const PARAMS = { costs: COSTS, pauseMs: 120, entryHosts: 35 };

const START = initGroupSlots('g', RANKS, PARAMS, 0);

const NONE: ReadonlyMap<string, number> = new Map();

/** A complete load of a group whose passes take 150 ms with five writers on each rank. */
const LOAD: GroupLoad = {
  group: 'g',
  open: true,
  active: RANKS.map(() => 5),
  queued: RANKS.map(() => 0),
  passMs: 150,
  skew: 3.3,
  token: 1,
  epoch: 1,
  reported: 72,
  firstSkew: 3.3,
};

function apply(state: GroupSlots, load: Partial<GroupLoad>, now: number): GroupSlots {
  return applyGroupLoad(state, { ...LOAD, ...load }, NONE, PARAMS, now, 0);
}

describe('SlotLimit', () => {
  // Guards against other decisions than before where nothing is wrong: complete loads of one coordinator.
  it('decides as by the formula without any knowledge if loads are complete and passes known', () => {
    const rng = xoroshiro128plus(11);
    const random = (): number => uniformFloat64(rng);
    let state = START;
    for (let i = 0; i < 400; i += 1) {
      const active = RANKS.map(() => Math.floor(8 * random()));
      const load = { ...LOAD, active, passMs: 40 + 150 * random(), sentAt: i * 250 };
      const own = new Map(RANKS.map(({ endpoint }) => [endpoint, random() < 0.1 ? 1 : 0]));
      const draw = random();
      state = applyGroupLoad(state, load, own, PARAMS, i * 250 + 60 * random(), draw);
      const running = active.reduce((sum, n) => sum + n, 0);
      const correction = passCorrection(COSTS, running / 72, load.passMs);
      const limit = 72 * Math.min(7, Math.max(2, maxWritersFor(COSTS, correction, 108)));
      const ownRunning = [...own.values()].reduce((sum, n) => sum + n, 0);
      const kept = running > limit ? (ownRunning * limit) / running : ownRunning;
      assert.equal(state.limit, limit);
      const share = (Math.max(0, limit - running) / 35) * 1.3;
      assert.equal(state.allowance, Math.floor(kept + share + draw));
    }
  });

  // Three successors each publish an empty load with a skew of 1 before they have reports.
  it('uses nothing of an incomplete load but whether the group is open', () => {
    const full = apply(START, {}, 0);
    const empty = { active: RANKS.map(() => 0), passMs: null, skew: 1, token: 2, reported: 3 };
    const after = apply(full, empty, 300);
    assert.deepEqual([after.verdict, after.limit, after.allowance], ['incomplete', full.limit, 0]);
    assert.equal(isOpenGroup(apply(after, { ...empty, open: false }, 310)), false);
    const halfKnown = { ...empty, passMs: 150, active: LOAD.active, reported: 48 };
    const early = apply(apply(after, halfKnown, 400), halfKnown, 1_300);
    assert.equal(early.verdict, 'incomplete');
    assert.equal(apply(early, halfKnown, 1_500).verdict, 'complete');
  });

  // A coordinator is cut off and continues to publish, and its loads arrive late or twice.
  it('ignores loads of a replaced coordinator and repeated ones', () => {
    const newer = apply(START, { token: 2, sentAt: 100 }, 0);
    const ignored = [{ token: 1, sentAt: 900 }, { token: 0 }, { token: 2, sentAt: 100 }];
    ignored.forEach((load) => {
      const after = apply(newer, { ...load, active: RANKS.map(() => 0), passMs: 50 }, 50);
      assert.deepEqual(after, { ...newer, verdict: 'outdated' });
    });
  });

  // One coordinator publishes for hours. Guards against loads that all count as delayed once the clocks of the two hosts
  // have drifted apart, and against a delay that is no longer noticed.
  it('notices the delay of a load, but not the drift of the clocks', () => {
    const driftPerMs = 0.0001;
    let state = START;
    for (let at = 0; at < 2 * 3_600_000; at += 1_000) {
      state = apply(state, { sentAt: at }, at * (1 + driftPerMs));
    }
    assert.equal(state.knowledge.delayMs, 0);
    const sentAt = 2 * 3_600_000;
    const late = apply(state, { sentAt }, sentAt * (1 + driftPerMs) + 1_000);
    assert.ok(late.knowledge.delayMs >= 900);
  });

  // An observed pass time was thrown away with its coordinator, and replaced by a skew of 1 or the initial state.
  it('keeps the observed limit where the pass time is unknown, and discounts it with age', () => {
    const even = apply(START, { passMs: 72 }, 0);
    const lowest = apply(START, { passMs: null, skew: 3.3 }, 0).limit;
    assert.equal(even.limit, 72 * 7);
    const after = apply(even, { token: 2, passMs: null, skew: 1 }, 300);
    assert.equal(after.limit, even.limit);
    const limits = [400, 1_700, 3_000, 9_000].map(
      (now) => refreshGroupSlots(even, NONE, PARAMS, now).limit,
    );
    assert.deepEqual(limits, [even.limit, (even.limit + lowest) / 2, lowest, lowest]);
  });

  // The group forms anew under its first map, whose skew is 3.3; the pass time is from the map before.
  it('starts from the skew of the first map in a new epoch', () => {
    const even = apply(START, { passMs: 72 }, 0);
    const idle = { epoch: 2, active: RANKS.map(() => 0), passMs: null };
    assert.ok(apply(even, idle, 250).limit < even.limit / 2);
    const unknown = apply(even, { ...idle, reported: 5 }, 250);
    assert.ok(unknown.limit < even.limit / 2);
    assert.equal(unknown.allowance, Math.floor(unknown.limit / 35));
  });

  // The ranks in a zone that is evacuated take no requests, and those that still run there use none of the others.
  it('counts usable ranks only', () => {
    const params = { ...PARAMS, isUsable: (endpoint: string) => Number(endpoint.slice(1)) % 3 > 0 };
    const all = apply(START, {}, 0);
    const some = applyGroupLoad(START, LOAD, new Map([['e0', 2]]), params, 0, 0);
    assert.equal(some.limit, (all.limit * 2) / 3);
    assert.equal(some.allowance, all.allowance + 2);
  });
});

function reportAll(state: LoadKnowledge, count: number, now: number): LoadKnowledge {
  return RANKS.slice(0, count).reduce(
    (known, { rank }) => noteReport(known, rank, { ...IDLE_REPORT, active: 5 }, rank === 0, now),
    state,
  );
}

describe('GroupLoadKnowledge', () => {
  // The process held the lease before, and its reports, pass time and skew are from then.
  it('knows nothing of the group when a lease is gained', () => {
    const before = noteSkew(reportAll(gainLease(initLoadKnowledge('g', 72), 1, 2.9), 72, 0), 1.1);
    assert.equal(isLoadComplete(before, 0), true);
    const after = gainLease(before, 3, null);
    assert.equal(describeLoad(after, 10), null);
    const load = describeLoad(reportAll(after, 1, 20), 20);
    const { token, epoch, reported, passMs, skew, firstSkew } = load ?? {};
    assert.deepEqual([token, epoch, reported, passMs, skew, firstSkew], [3, 1, 1, null, 2.9, 2.9]);
    assert.equal(describeLoad(reportAll(initLoadKnowledge('g', 72), 1, 20), 20)?.skew, 3);
  });

  it('does not count reports that are old or of an earlier epoch', () => {
    const known = reportAll(gainLease(initLoadKnowledge('g', 72), 1, null), 72, 0);
    const reform = noteReport(known, 5, { ...IDLE_REPORT, epoch: 2 }, false, 600);
    assert.equal(describeLoad(reform, 600)?.reported, 1);
    const late = noteReport(known, 5, IDLE_REPORT, false, 701);
    assert.deepEqual([describeLoad(late, 701)?.reported, isLoadComplete(late, 701)], [1, false]);
  });
});
