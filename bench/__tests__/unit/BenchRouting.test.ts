import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseRank } from '../../../src/coordination/index.js';
import { simulateRouting, ROUTING_SHAPES, type RoutingShape } from '../../BenchRoutingModel.js';

function play(name: string): ReturnType<typeof simulateRouting> {
  const shape = ROUTING_SHAPES[name] as RoutingShape;
  return simulateRouting(shape, (g, own, zone, random) => chooseRank(g, own, zone, [], random), 1);
}

describe('choice of a rank by many entry hosts', () => {
  // 31 entry hosts see load reports that are a quarter of a second old. If every host sends its next request to the
  // rank that was idle in the last report, these requests queue there, beyond their objective, while other ranks
  // have free slots.
  it('does not send all requests to a rank that was idle in a report', () => {
    const { maxOverMean, queued, remote } = play('31 hosts, 72 ranks');
    assert.ok(queued < 0.06, `${queued} queued`);
    assert.ok(maxOverMean < 2.1, `${maxOverMean}`);
    assert.ok(remote < 0.2, `${remote} remote`);
  });

  it('spreads evenly where few hosts know most of the load themselves', () => {
    const { maxOverMean, queued } = play('6 hosts, 12 ranks');
    assert.ok(queued < 0.12, `${queued} queued`);
    assert.ok(maxOverMean < 1.55, `${maxOverMean}`);
  });
});
