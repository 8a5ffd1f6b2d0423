import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import type { EngineOrder, GroupMap } from '../../../../protocol/index.js';
import { DirectRank, type EngineClient } from '../../DirectRank.js';
import { IDLE_REPORT } from '../../../../__tests__/utils/RankFixtures.js';

const REPORT = IDLE_REPORT;

const HOLD: EngineOrder = { kind: 'hold', epoch: 1, step: 20 };

const ASK = { withCounts: false, withExperts: false, outlook: null };

/** An engine that accepts and records all orders. */
function fakeEngine(): { readonly engine: EngineClient; readonly orders: EngineOrder[] } {
  const orders: EngineOrder[] = [];
  const engine: EngineClient = {
    report: async () => REPORT,
    counts: async () => ({ epoch: 1, step: 10, counts: [[1]] }),
    experts: async () => [[0]],
    order: async (order) => {
      orders.push(order);
      return 'accepted';
    },
  };
  return { engine, orders };
}

describe('DirectRank', () => {
  // A coordinator is replaced while it is frozen, and continues its change when it resumes. Its orders would mix
  // with its successor's, and a report could make it release a group that is held.
  it('executes no orders of a replaced coordinator and gives it no reports', async () => {
    const { engine, orders } = fakeEngine();
    const rank = new DirectRank(engine, pino({ level: 'silent' }));
    assert.equal((await rank.order({ token: 1, order: HOLD })).fenced, false);
    assert.equal((await rank.ask({ token: 2, ...ASK })).fenced, false);
    assert.equal((await rank.order({ token: 1, order: HOLD })).fenced, true);
    assert.equal((await rank.ask({ token: 1, ...ASK })).fenced, true);
    assert.equal(orders.length, 1);
  });

  it('returns what a rank reports after an order', async () => {
    const rank = new DirectRank(fakeEngine().engine, pino({ level: 'silent' }));
    const reply = await rank.order({ token: 1, order: HOLD });
    assert.deepEqual(reply, { fenced: false, result: 'accepted', report: REPORT });
  });

  // A coordinator is lost, and its successor has been a coordinator itself before, under an earlier token. It must
  // get the other's later forecast, not its own.
  it('keeps the forecast of a coordinator with a later token for a successor', async () => {
    const rank = new DirectRank(fakeEngine().engine, pino({ level: 'silent' }));
    const outlook = { demand: [Uint8Array.of(255, 3)], firstSkew: 2 };
    assert.equal(rank.newerForecast(0), null);
    await rank.ask({ token: 2, ...ASK, outlook });
    await rank.ask({ token: 2, ...ASK });
    assert.deepEqual(rank.newerForecast(1), outlook);
    assert.equal(rank.newerForecast(2), null);
  });

  // A map of a large group is sent as a diff to the last one, which a restarted process doesn't know. If it took the
  // rows for a complete map, its rank would hold another map than the others.
  it('completes a map from a diff, and refuses a diff to a map that it does not know', async () => {
    const { engine, orders } = fakeEngine();
    const rank = new DirectRank(engine, pino({ level: 'silent' }));
    const prepare = (version: number, map: GroupMap) =>
      ({ kind: 'prepare', epoch: 1, version, map }) as const;
    const rows = [{ set: 0, rank: 1, experts: [0, 1] }];
    const asDiff = { token: 1, order: prepare(8, []), diff: { from: 7, rows } };
    await assert.rejects(rank.order(asDiff));
    assert.equal(orders.length, 0);
    await rank.order({ token: 1, order: prepare(7, [[[0], [1]]]) });
    await rank.order(asDiff);
    assert.deepEqual(orders.at(-1), prepare(8, [[[0], [0, 1]]]));
    await assert.rejects(rank.order(asDiff));
  });

  it('gives a coordinator the choices since its previous request', async () => {
    let count = 100;
    const { engine } = fakeEngine();
    const counts = async () => ({ epoch: 1, step: 1, counts: [[count, 7]] });
    const rank = new DirectRank({ ...engine, counts }, pino({ level: 'silent' }));
    const ask = async (token: number) => {
      const reply = await rank.ask({ ...ASK, token, withCounts: true });
      return reply.fenced || reply.counts === null ? null : [...(reply.counts.sets[0] ?? [])];
    };
    assert.equal(await ask(1), null);
    count = 130;
    assert.deepEqual(await ask(1), [30, 0]);
    assert.equal(await ask(2), null);
    count = 4;
    assert.equal(await ask(2), null);
    count = 9;
    assert.deepEqual(await ask(2), [5, 0]);
  });
});
