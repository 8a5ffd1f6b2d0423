import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseRank } from '../../../src/coordination/index.js';
import { simulateRouting, ROUTING_SHAPES, type RoutingShape } from '../../BenchRoutingModel.js';

function play(name: string): ReturnType<typeof simulateRouting> {
  const shape = ROUTING_SHAPES[name] as RoutingShape;
  return simulateRouting(shape, (g, own, zone, random) => chooseRank(g, own, zone, [], random), 1);
}

describe('choice of a rank by many entry hosts', () => {
  // 31 entry hosts see reports a quarter of a second old. Callers of a rank that was idle in the last
  // one wait behind each other there, past their objective, while ranks beside it have slots free:
  // every host had sent its next request to that same rank.
  it('does not herd on what was idle in a report', () => {
    const { maxOverMean, queued, remote } = play('31 hosts, 72 ranks');
    assert.ok(queued < 0.06, `${queued} queued`);
    assert.ok(maxOverMean < 2.1, `${maxOverMean}`);
    assert.ok(remote < 0.2, `${remote} remote`);
  });

  it('spreads as evenly where few hosts know most of the load themselves', () => {
    const { maxOverMean, queued } = play('6 hosts, 12 ranks');
    assert.ok(queued < 0.12, `${queued} queued`);
    assert.ok(maxOverMean < 1.55, `${maxOverMean}`);
  });
});
