import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { FakeGroup, type FakeMap, type FakeRankOrder } from '../../FakeGroup.js';
import {
  INITIAL_ORDER_GATE,
  initMapCommit,
  checkOrder,
  raiseHighestToken,
  completeOrder,
  stepMapCommit,
  type MapCommitInput,
  type MapCommitState,
  type RankOrder,
} from '../../../src/coordination/index.js';

const RANKS = 3;
const MAP: FakeMap = [[[0], [1], [2]]];
const LOAD = [[1, 1, 1]];

interface Packet {
  readonly who: number;
  readonly rank: number;
  readonly order: RankOrder;
}

/** Real coordinators before the stand-in group, over a network that loses, doubles and reorders. */
class Bench {
  readonly group = new FakeGroup(RANKS, MAP);

  orders: Packet[] = [];

  answers: { readonly who: number; readonly input: MapCommitInput }[] = [];

  now = 0;

  readonly #states: MapCommitState[] = [initMapCommit(RANKS), initMapCommit(RANKS)];

  phase(who: number): string {
    return this.#states[who]?.phase ?? '';
  }

  input(who: number, input: MapCommitInput): void {
    const state = this.#states[who] ?? initMapCommit(RANKS);
    const step = stepMapCommit(state, input, this.now);
    this.#states[who] = step.state;
    step.outputs.forEach((output) => {
      if (output.type === 'order') {
        this.orders.push({ who, rank: output.rank, order: output.order });
      }
    });
  }

  /** An order arrives at its rank; its answer goes on its way. */
  deliver({ who, rank, order }: Packet): void {
    const sent: FakeRankOrder =
      order.kind === 'prepare' ? { ...order, kind: 'prepare', map: MAP } : (order as FakeRankOrder);
    const status = this.group.order(rank, sent);
    const { accepted } = status;
    const { kind, token } = order;
    this.answers.push({ who, input: { type: 'answer', rank, token, kind, accepted, status } });
  }

  /** Runs on without faults until the second coordinator is ready. */
  settle(who: number): void {
    for (let i = 0; i < 400 && this.phase(who) !== 'ready'; i += 1) {
      this.now += 250;
      this.input(who, { type: 'tick' });
      const { orders } = this;
      this.orders = [];
      orders.forEach((packet) => this.deliver(packet));
      const { answers } = this;
      this.answers = [];
      answers.forEach((answer) => this.input(answer.who, answer.input));
      this.group.run(LOAD);
    }
    assert.equal(this.phase(who), 'ready');
  }
}

const at = <T>(items: readonly T[], i: number): T | undefined =>
  items[i % Math.max(1, items.length)];

const ACTIONS: readonly ((bench: Bench, n: number) => void)[] = [
  ...Array.from({ length: 4 }, () => (bench: Bench, n: number) => {
    const packet = at(bench.orders, n);
    if (packet !== undefined) {
      bench.deliver(packet);
    }
  }),
  ...Array.from({ length: 3 }, () => (bench: Bench, n: number) => {
    const answer = at(bench.answers, n);
    if (answer !== undefined) {
      bench.input(answer.who, answer.input);
    }
  }),
  (bench, n) => bench.input(n % 2, { type: 'propose' }),
  (bench, n) => {
    Object.assign(bench, { now: bench.now + (n % 5 === 0 ? 61_000 : 600) });
    bench.input(n % 2, { type: 'tick' });
  },
  (bench) => Array.from({ length: 20 }, () => bench.group.run(LOAD)),
  (bench) => {
    if (bench.phase(1) === 'idle') {
      bench.input(1, { type: 'gained', token: 2 });
    }
  },
];

describe('stepMapChange', () => {
  // Orders and answers are lost, doubled and late, a coordinator gives up half way, and a second one
  // takes over while the first still sends. In no step may ranks use different maps, and the second
  // must bring the group to one version on which it steps again.
  it('never mixes maps under random schedules', () => {
    const action = fc.tuple(fc.nat(ACTIONS.length - 1), fc.nat(1_000));
    fc.assert(
      fc.property(fc.array(action, { minLength: 30, maxLength: 300 }), (actions) => {
        const bench = new Bench();
        bench.input(0, { type: 'gained', token: 1 });
        actions.forEach(([kind, n]) => ACTIONS[kind]?.(bench, n));
        bench.input(1, { type: 'gained', token: 3 });
        bench.settle(1);
        bench.settle(1);
        Array.from({ length: 80 }, () => bench.group.run(LOAD));
        assert.equal(bench.group.mixedSteps, 0);
        assert.equal(new Set(bench.group.versions).size, 1);
        assert.equal(bench.group.run(LOAD).ran, true);
      }),
      { seed: 20_261_202, numRuns: 300 },
    );
  });

  it('takes all ranks over, and leaves the old map where one refuses', () => {
    const bench = new Bench();
    bench.input(0, { type: 'gained', token: 1 });
    bench.settle(0);
    bench.input(0, { type: 'propose' });
    bench.settle(0);
    Array.from({ length: 80 }, () => bench.group.run(LOAD));
    assert.deepEqual(bench.group.versions, [2, 2, 2]);
    bench.group.order(1, { kind: 'query', token: 9 });
    bench.input(0, { type: 'propose' });
    assert.throws(() => bench.settle(0));
    assert.deepEqual(bench.group.versions, [2, 2, 2]);
  });
});

describe('judgeOrder', () => {
  // The gate restarted and forgot the highest token. An order of a coordinator replaced long ago
  // arrives first; it must wait until a quorum has said which token is the highest, and then fail.
  it('passes nothing before it has learned the token', () => {
    const asked = checkOrder(INITIAL_ORDER_GATE, 3);
    assert.equal(asked.verdict, 'wait');
    assert.equal(checkOrder(raiseHighestToken(asked.state, 5), 3).verdict, 'stale');
    assert.equal(checkOrder(raiseHighestToken(asked.state, 5), 5).verdict, 'pass');
  });

  // The engine ignores tokens, and an old order is still on its way to it. A newer one sent now
  // could overtake it; it waits until the old one was answered.
  it('holds a newer order while an older one is open', () => {
    const passed = checkOrder(raiseHighestToken(INITIAL_ORDER_GATE, 1), 1);
    const newer = checkOrder(passed.state, 2);
    assert.deepEqual([passed.verdict, newer.verdict], ['pass', 'wait']);
    assert.equal(checkOrder(newer.state, 1).verdict, 'stale');
    assert.equal(checkOrder(completeOrder(newer.state, 1), 2).verdict, 'pass');
  });
});
