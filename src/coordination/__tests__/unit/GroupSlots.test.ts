import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { EngineCosts, GroupLoad } from '../../../protocol/index.js';
import {
  markGroupBroken,
  chooseRank,
  freeSlotsAt,
  initGroupSlots,
  isOpenGroup,
  LOAD_TTL_MS,
  passTime,
  refreshGroupSlots,
  applyGroupLoad,
  type GroupSlots,
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

const PARAMS: SlotParameters = { costs: COSTS, pauseMs: 120, entryHosts: 6 };

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

const START = initGroupSlots('g', RANKS, PARAMS, 0);

/** Free slots of each of six processes, if each runs an even part of `each` requests per rank. */
function freeForEach(each: number, passMs: number | null, open = true): number {
  const own = new Map(RANKS.map(({ endpoint }) => [endpoint, each / 6]));
  return freeSlotsAt(applyGroupLoad(START, load(each, passMs, open), own, PARAMS, 0, 0), own);
}

describe('GroupSlots', () => {
  it('gives each process an even share of all slots before a load is known', () => {
    assert.equal(freeSlotsAt(START, NONE), 16);
  });

  // Six processes see the same free slots in reports that are a quarter of a second old. If each took all of
  // them, the group would get six times as many requests as it has slots, and every stream would be late.
  it('divides the free slots among the processes', () => {
    const free = freeForEach(6, 60);
    assert.ok(free >= 4 && free <= 6, `${free}`);
    assert.equal(freeForEach(8, 60), 0);
  });

  // Demand has shifted and the most loaded rank has three times the mean: passes take 160 ms, more than the
  // longest pause. Each further stream would make all late, so none is started until passes are shorter.
  it('offers no slots while passes are too long', () => {
    assert.equal(freeForEach(5, 3.4 * passTime(COSTS, 5)), 0);
    assert.ok(freeForEach(5, 1.2 * passTime(COSTS, 5)) > 0);
  });

  it('offers no slots at a broken group', () => {
    assert.equal(freeForEach(0, null, false), 0);
  });

  // The coordinator of a full group is lost. If its last load were replaced by the state before any load, each process
  // would start as many requests again as it may run.
  it('starts nothing beyond the last load when it expires, until each process may use its even share', () => {
    const full = applyGroupLoad(START, load(8, 60), NONE, PARAMS, 0, 0);
    const refreshed = (now: number): GroupSlots => refreshGroupSlots(full, NONE, PARAMS, now);
    assert.notEqual(refreshed(LOAD_TTL_MS).load, null);
    assert.equal(refreshed(LOAD_TTL_MS + 1).load, null);
    assert.deepEqual(
      [LOAD_TTL_MS, LOAD_TTL_MS + 1, 2_990, 3_000].map((now) => freeSlotsAt(refreshed(now), NONE)),
      [0, 0, 0, 16],
    );
  });

  /** How often each endpoint is chosen in 1,200 draws, with the same own work before each. */
  function countChoices(
    own: ReadonlyMap<string, number>,
    exclude: readonly string[],
  ): ReadonlyMap<string, number> {
    const state = applyGroupLoad(START, load(2, 50), own, PARAMS, 0, 0);
    const rng = xoroshiro128plus(7);
    const counts = new Map<string, number>();
    for (let i = 0; i < 1_200; i += 1) {
      const chosen = chooseRank([state], own, 'z1', exclude, () => uniformFloat64(rng)) ?? '';
      counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
    }
    return counts;
  }

  it('prefers the own AZ if work is equal', () => {
    const counts = countChoices(new Map(RANKS.map(({ endpoint }) => [endpoint, 2])), []);
    assert.deepEqual([...counts.keys()].sort(), ['e1', 'e10', 'e4', 'e7']);
  });

  it('chooses the rank with the least work whenever it is sampled, and none that is excluded', () => {
    const own = new Map(RANKS.map(({ endpoint }) => [endpoint, 2]));
    const idle = countChoices(new Map(own).set('e4', 0), []);
    // Two of four ranks of the own AZ are drawn, with replacement, and two of all twelve.
    const expected = 1_200 * (1 - (3 / 4) ** 2 * (11 / 12) ** 2);
    assert.ok(Math.abs((idle.get('e4') ?? 0) - expected) < 50, `${idle.get('e4')}`);
    const elsewhere = countChoices(new Map(own).set('e5', 0), []);
    assert.ok(Math.abs((elsewhere.get('e5') ?? 0) - 191) < 40, `${elsewhere.get('e5')}`);
    assert.equal(countChoices(new Map(own).set('e4', 0), ['e4']).get('e4'), undefined);
  });

  // Reports lag: a rank that looked idle may since have been sent requests by this process. A process knows
  // only its own requests at once, so they count in full.
  it('counts own requests at once', () => {
    const state = applyGroupLoad(START, load(0, 40), NONE, PARAMS, 0, 0);
    const rng = xoroshiro128plus(7);
    const own = new Map<string, number>();
    for (let i = 0; i < 24; i += 1) {
      const endpoint = chooseRank([state], own, 'z0', [], () => uniformFloat64(rng)) ?? '';
      own.set(endpoint, (own.get(endpoint) ?? 0) + 1);
    }
    const other = applyGroupLoad(START, load(0, 40), NONE, PARAMS, 0, 0);
    const full = new Map(RANKS.slice(1).map(({ endpoint }) => [endpoint, 9]));
    // It is among the ranks sampled from the own AZ at least half of the time, and is then always chosen.
    const chosen = Array.from({ length: 100 }, () =>
      chooseRank([other], full, 'z0', [], () => uniformFloat64(rng)),
    );
    assert.ok(Math.max(...own.values()) <= 4, `${Math.max(...own.values())}`);
    assert.ok(chosen.filter((endpoint) => endpoint === 'e0').length >= 35);
  });

  // A group opens with its first map after an outage, and more callers wait than it has slots. No pass has been
  // observed yet; if all slots were used at once, the fullest rank would make each pass longer than the
  // longest pause, and every stream would be late.
  it('offers fewer slots while the map in use is uneven', () => {
    const offered = (skew: number): number =>
      applyGroupLoad(START, { ...load(0, null), skew }, NONE, PARAMS, 0, 0).limit;
    assert.equal(offered(1), RANKS.length * COSTS.slots);
    const uneven = offered(6);
    assert.ok(uneven < RANKS.length * COSTS.slots);
    assert.ok(uneven >= RANKS.length * 2);
  });

  // A group's coordinator is lost together with one of its ranks, so load reports stop, and a rank refuses a
  // request because the group is broken. The group must not count as open once the last load has expired.
  it('keeps a broken group closed for a while after its load has expired', () => {
    const open = applyGroupLoad(START, load(2, 45), NONE, PARAMS, 0, 0);
    const broken = markGroupBroken(open, 1_400);
    const aged = (now: number): boolean =>
      isOpenGroup(refreshGroupSlots(broken, NONE, PARAMS, now));
    assert.deepEqual([1_400, 1_600, 2_800, 3_000].map(aged), [false, false, false, true]);
    assert.equal(
      isOpenGroup(refreshGroupSlots(markGroupBroken(START, 0), NONE, PARAMS, 1_000)),
      false,
    );
    assert.equal(
      isOpenGroup(refreshGroupSlots(markGroupBroken(START, 0), NONE, PARAMS, 1_600)),
      true,
    );
    assert.equal(isOpenGroup(applyGroupLoad(broken, load(0, null), NONE, PARAMS, 1_500, 0)), true);
  });

  /** Requests that six processes start in each second, of 44 a second; from 5 s on nearly all go to the first. */
  function startsWhileOneGetsMost(seconds: number): readonly number[] {
    const rng = xoroshiro128plus(3);
    const hosts = [0, 1, 2, 3, 4, 5];
    const states = hosts.map(() => initGroupSlots('g', RANKS, PARAMS, 0));
    const waiting = hosts.map(() => 0);
    let running: { readonly host: number; readonly rank: number; readonly endsAt: number }[] = [];
    const ownOf = (host: number): ReadonlyMap<string, number> =>
      new Map(
        RANKS.map(({ endpoint, rank }) => [
          endpoint,
          running.filter((request) => request.host === host && request.rank === rank).length,
        ]),
      );
    const countAt = (rank: number): number => running.filter((each) => each.rank === rank).length;
    const startAtHost = (host: number, now: number): number => {
      const free = Math.max(0, Math.floor(freeSlotsAt(states[host] ?? START, ownOf(host))));
      const started = Math.min(waiting[host] ?? 0, free);
      waiting[host] = (waiting[host] ?? 0) - started;
      for (let n = 0; n < started; n += 1) {
        const rank = Math.floor(uniformFloat64(rng) * RANKS.length);
        running.push({ host, rank, endsAt: now + 1_400 });
      }
      return started;
    };
    const starts = Array.from({ length: seconds }, () => 0);
    for (let now = 0; now < seconds * 1_000; now += 25) {
      running = running.filter(({ endsAt }) => endsAt > now);
      hosts.forEach((host) => {
        const share = host === 0 ? 0.9 : 0.02;
        const expected = 44 * 0.025 * (now < 5_000 ? 1 / 6 : share);
        const arrived = Math.floor(expected) + Number(uniformFloat64(rng) < expected % 1);
        waiting[host] = (waiting[host] ?? 0) + arrived;
      });
      if (now % 200 === 0) {
        const active = RANKS.map(({ rank }) => countAt(rank));
        const passMs = passTime(COSTS, running.length / RANKS.length);
        hosts.forEach((host) => {
          const report = { ...load(0, passMs), active };
          const known = states[host] ?? START;
          const random = uniformFloat64(rng);
          states[host] = applyGroupLoad(known, report, ownOf(host), PARAMS, now, random);
        });
      }
      const second = Math.floor(now / 1_000);
      starts[second] = hosts.reduce(
        (sum, host) => sum + startAtHost(host, now),
        starts[second] ?? 0,
      );
    }
    return starts;
  }

  // Most new connections go to one entry host. Guards against an even share that starves just that host.
  it('lets one process start nearly all requests within three seconds', () => {
    const starts = startsWhileOneGetsMost(20);
    const mean = (from: number, to: number): number =>
      starts.slice(from, to).reduce((sum, each) => sum + each, 0) / (to - from);
    assert.ok(mean(8, 20) >= 0.75 * mean(2, 5), starts.join(' '));
  });
});
