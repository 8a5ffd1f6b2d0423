import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { EngineCosts, GroupLoad } from '../../../protocol/index.js';
import {
  dropStaleLoad,
  markGroupBroken,
  chooseRank,
  freeSlotsAt,
  initGroupSlots,
  isOpenGroup,
  LOAD_TTL_MS,
  passTime,
  applyGroupLoad,
  type SlotParameters,
} from '../../index.js';

const COSTS: EngineCosts = {
  slots: 8,
  stepsPerPass: 5,
  stepMs: 5.85,
  writerMs: 0.53,
  contextMsPerK: 0.05,
  readTokensPerMs: 61,
  expertShare: 0.85,
  sets: 3,
  experts: 96,
  slotsPerRank: 11,
  mostNew: 4,
  copyMs: 140,
  usualPrompt: 835,
  usualAnswer: 139,
};

const RULES: SlotParameters = { costs: COSTS, pauseMs: 120, entryHosts: 6 };

const RANKS = Array.from({ length: 12 }, (_item, rank) => ({
  endpoint: `e${rank}`,
  rank,
  zone: `z${rank % 3}`,
}));

function load(each: number, passMs: number | null, open = true): GroupLoad {
  return {
    group: 'g',
    open,
    active: RANKS.map(() => each),
    queued: RANKS.map(() => 0),
    passMs,
    skew: 1,
  };
}

const NONE: ReadonlyMap<string, number> = new Map();

const START = initGroupSlots('g', RANKS, RULES);

/** What each of six processes may take, if each runs an even part. */
function freeForEach(each: number, passMs: number | null, open = true): number {
  const own = new Map(RANKS.map(({ endpoint }) => [endpoint, each / 6]));
  return freeSlotsAt(applyGroupLoad(START, load(each, passMs, open), own, RULES, 0, 0), own);
}

describe('Places', () => {
  it('gives each process an even part of all places before a load is known', () => {
    assert.equal(freeSlotsAt(START, NONE), 16);
  });

  // Six processes see the same free places in reports a quarter of a second old. Were each to take them
  // all, the group would get six times what it has room for, and every writer would be late.
  it('shares out what is free', () => {
    const free = freeForEach(6, 60);
    assert.ok(free >= 4 && free <= 6, `${free}`);
    assert.equal(freeForEach(8, 60), 0);
  });

  // Demand has shifted and the most loaded rank has three times the mean: passes take 160 ms, more than
  // the longest pause. Each further writer makes all late, so nothing is begun until passes shorten.
  it('begins nothing while passes are too long', () => {
    assert.equal(freeForEach(5, 3.4 * passTime(COSTS, 5)), 0);
    assert.ok(freeForEach(5, 1.2 * passTime(COSTS, 5)) > 0);
  });

  it('has no place at a group that is broken', () => {
    assert.equal(freeForEach(0, null, false), 0);
  });

  it('forgets a load that is too old', () => {
    const full = applyGroupLoad(START, load(8, 60), NONE, RULES, 0, 0);
    assert.equal(dropStaleLoad(full, RULES, LOAD_TTL_MS), full);
    assert.equal(freeSlotsAt(dropStaleLoad(full, RULES, LOAD_TTL_MS + 1), NONE), 16);
  });

  /** How often each endpoint is chosen in 1,200 draws, with the same own work before each. */
  function drawOften(
    own: ReadonlyMap<string, number>,
    exclude: readonly string[],
  ): ReadonlyMap<string, number> {
    const state = applyGroupLoad(START, load(2, 50), own, RULES, 0, 0);
    const rng = xoroshiro128plus(7);
    const counts = new Map<string, number>();
    for (let i = 0; i < 1_200; i += 1) {
      const chosen = chooseRank([state], own, 'z1', exclude, () => uniformFloat64(rng)) ?? '';
      counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
    }
    return counts;
  }

  it('keeps to the own AZ where work is equal', () => {
    const counts = drawOften(new Map(RANKS.map(({ endpoint }) => [endpoint, 2])), []);
    assert.deepEqual([...counts.keys()].sort(), ['e1', 'e10', 'e4', 'e7']);
  });

  it('chooses the rank with least work whenever it is looked at, and none that is excluded', () => {
    const own = new Map(RANKS.map(({ endpoint }) => [endpoint, 2]));
    const idle = drawOften(new Map(own).set('e4', 0), []);
    // Two of four ranks of the own AZ are drawn, with replacement, and two of all twelve.
    const expected = 1_200 * (1 - (3 / 4) ** 2 * (11 / 12) ** 2);
    assert.ok(Math.abs((idle.get('e4') ?? 0) - expected) < 50, `${idle.get('e4')}`);
    const elsewhere = drawOften(new Map(own).set('e5', 0), []);
    assert.ok(Math.abs((elsewhere.get('e5') ?? 0) - 191) < 40, `${elsewhere.get('e5')}`);
    assert.equal(drawOften(new Map(own).set('e4', 0), ['e4']).get('e4'), undefined);
  });

  // Reports lag: a rank that looked idle has been sent work by this process since. Only what it runs
  // itself is known at once, so that counts in full.
  it('counts own work at once', () => {
    const state = applyGroupLoad(START, load(0, 40), NONE, RULES, 0, 0);
    const rng = xoroshiro128plus(7);
    const own = new Map<string, number>();
    for (let i = 0; i < 24; i += 1) {
      const endpoint = chooseRank([state], own, 'z0', [], () => uniformFloat64(rng)) ?? '';
      own.set(endpoint, (own.get(endpoint) ?? 0) + 1);
    }
    const other = applyGroupLoad(START, load(0, 40), NONE, RULES, 0, 0);
    const full = new Map(RANKS.slice(1).map(({ endpoint }) => [endpoint, 9]));
    // Sampled in the own AZ half of the time or more, and never passed over then.
    const chosen = Array.from({ length: 100 }, () =>
      chooseRank([other], full, 'z0', [], () => uniformFloat64(rng)),
    );
    assert.ok(Math.max(...own.values()) <= 4, `${Math.max(...own.values())}`);
    assert.ok(chosen.filter((endpoint) => endpoint === 'e0').length >= 35);
  });

  // Load pattern: a group opens after an outage with its first map, and more callers wait than it has
  // places. No pass has been observed yet; given all places at once, the fullest rank would make each pass
  // longer than the longest pause, and every stream late.
  it('offers fewer places while the map in use is uneven', () => {
    const offered = (skew: number): number =>
      applyGroupLoad(START, { ...load(0, null), skew }, NONE, RULES, 0, 0).limit;
    assert.equal(offered(1), RANKS.length * COSTS.slots);
    const uneven = offered(6);
    assert.ok(uneven < RANKS.length * COSTS.slots);
    assert.ok(uneven >= RANKS.length * 2);
  });

  // A group's coordinator is lost together with one of its ranks. No load comes any more, and a rank says
  // that the group is broken. Requests must not be sent there once the last load has grown old.
  it('keeps a broken group closed though its load grows old, for a while', () => {
    const open = applyGroupLoad(START, load(2, 45), NONE, RULES, 0, 0);
    const broken = markGroupBroken(open, 1_400);
    const aged = (now: number): boolean => isOpenGroup(dropStaleLoad(broken, RULES, now));
    assert.deepEqual([1_400, 1_600, 2_800, 3_000].map(aged), [false, false, false, true]);
    assert.equal(isOpenGroup(dropStaleLoad(markGroupBroken(START, 0), RULES, 1_000)), false);
    assert.equal(isOpenGroup(dropStaleLoad(markGroupBroken(START, 0), RULES, 1_600)), true);
    assert.equal(isOpenGroup(applyGroupLoad(broken, load(0, null), NONE, RULES, 1_500, 0)), true);
  });
});
