import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { COSTS } from '../../../../coordination/__tests__/utils/LoadModel.js';
import type { GroupUsage } from '../../../../coordination/index.js';
import { TestClock } from '../../../../__tests__/utils/TestClock.js';
import { IDLE_REPORT } from '../../../../__tests__/utils/RankFixtures.js';
import type { EngineOrder, GroupLoad, RankReport } from '../../../../protocol/index.js';
import type { DaemonCoordinator } from '../../../DaemonCoordinator.js';
import type { Runtime } from '../../../DaemonRuntime.js';
import { COORDINATOR_TICK_MS, DirectCoordinator } from '../../DirectCoordinator.js';
import type { RankOrderReply, RankReply, RankRequest } from '../../DirectRank.js';
import type { DirectRankPeers } from '../../DirectRankPeers.js';

const RANKS = 72;

/** Delay of each answer of a rank, ms; the last rank answers its first request late. */
const ANSWER_MS = 15;
const LATE_ANSWER_MS = 350;

/** Ranks of a group that the coordinator's predecessor has left held at a pass. */
class HeldRanks {
  held: number | null = 20;

  releasedAt = 0;

  readonly #asked = new Set<number>();

  readonly #prepared = new Map<number, number>();

  readonly #clock: TestClock;

  constructor(clock: TestClock) {
    this.#clock = clock;
  }

  #report(rank: number): RankReport {
    const heldStep = rank === 0 ? this.held : null;
    const prepared = this.#prepared.get(rank) ?? null;
    const load = { step: 19, active: 5, mapVersion: 7 };
    return { ...IDLE_REPORT, rank, ranks: RANKS, heldStep, prepared, ...load };
  }

  resetTimeouts(): void {
    this.#asked.clear();
  }

  async ask(rank: number, { withExperts }: RankRequest): Promise<RankReply> {
    const isLate = rank === RANKS - 1 && !this.#asked.has(rank);
    this.#asked.add(rank);
    await this.#clock.wait(isLate ? LATE_ANSWER_MS : ANSWER_MS);
    const experts = withExperts ? [[rank]] : null;
    return { fenced: false, report: this.#report(rank), counts: null, experts };
  }

  async order(rank: number, { order }: { readonly order: EngineOrder }): Promise<RankOrderReply> {
    await this.#clock.wait(ANSWER_MS);
    if (order.kind === 'prepare') {
      this.#prepared.set(rank, order.version);
    } else if (order.kind === 'release') {
      this.held = null;
      this.releasedAt = this.#clock.now;
    }
    return { fenced: false, result: 'accepted', report: this.#report(rank) };
  }
}

describe('DirectCoordinator', () => {
  // A coordinator dies while a map change holds the group, and its successor has no reports. The hold must end first,
  // and no load that looks empty, fast or even may be published meanwhile.
  it('releases a group that its predecessor left held, and publishes what it knows', async () => {
    const clock = new TestClock();
    const ranks = new HeldRanks(clock);
    const loads: GroupLoad[] = [];
    const usages: GroupUsage[] = [];
    const coordinator = new DirectCoordinator({
      group: 'g',
      ranks: RANKS,
      own: 0,
      lease: { lease: { held: { token: 4, until: Infinity } } } as unknown as DaemonCoordinator,
      peers: ranks as unknown as DirectRankPeers,
      runtime: {
        log: pino({ level: 'silent' }),
        now: () => clock.now,
        registry: new Registry(),
      } as unknown as Runtime,
      mapLimits: () => ({
        shape: { slotsPerRank: 1, maxNewExperts: 1 },
        policy: { maxCopiesPerRank: 1, gainPerCopy: 0 },
        pauseMs: 120,
        totalExperts: RANKS,
        costs: COSTS,
      }),
      isCandidate: () => false,
      forecastSince: () => null,
      publish: (load) => loads.push(load),
      grants: (usage) => {
        usages.push(usage);
        return { intervalMs: usage.intervalMs, rows: [], capped: [] };
      },
    });
    while (clock.now < 2 * LATE_ANSWER_MS) {
      coordinator.tick();
      // eslint-disable-next-line no-await-in-loop
      await clock.advance(COORDINATOR_TICK_MS);
    }
    assert.equal(ranks.held, null);
    // All ranks must have reported, and have prepared a newer version, before the group can be released.
    assert.ok(ranks.releasedAt < LATE_ANSWER_MS + 150, `released after ${ranks.releasedAt} ms`);
    const [first, ...others] = loads;
    assert.ok(first !== undefined && (first.reported ?? RANKS) < 0.9 * RANKS);
    assert.ok(others.some(({ reported }) => reported === RANKS));
    loads.forEach(({ active, token, skew }) => {
      assert.deepEqual([token, skew, Math.min(...active)], [4, 3, 5]);
    });
    loads.forEach(({ grants, reported = 0 }) => {
      assert.equal(grants !== undefined, reported >= 0.9 * RANKS);
    });
    assert.ok(usages.every(({ running }) => running === 5 * RANKS));
  });
});
