import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FakeGroup, type FakeMap } from '../../FakeGroup.js';

const OLD: FakeMap = [
  [
    [0, 1],
    [2, 3],
  ],
];
const NEW: FakeMap = [
  [
    [0, 2],
    [1, 3],
  ],
];
const LOAD = [[4, 3, 2, 1]];

function groupWithArmedMap(): FakeGroup {
  const group = new FakeGroup(2, OLD);
  [0, 1].forEach((rank) => {
    group.applyOrder(rank, { kind: 'prepare', token: 1, version: 2, map: NEW });
    group.applyOrder(rank, { kind: 'arm', token: 1, version: 2, step: 2 });
  });
  return group;
}

describe('FakeGroup', () => {
  it('reports the load of each rank in a step', () => {
    assert.deepEqual(new FakeGroup(2, OLD).runStep(LOAD).rankLoad, [7, 3]);
  });

  it('waits at the armed step until every rank has the commit, then uses the new map', () => {
    const group = groupWithArmedMap();
    assert.equal(group.runStep(LOAD).ran, true);
    group.applyOrder(0, { kind: 'commit', token: 1, version: 2 });
    assert.deepEqual(group.runStep(LOAD).waiting, [1]);
    group.applyOrder(1, { kind: 'commit', token: 1, version: 2 });
    assert.deepEqual(group.runStep(LOAD).rankLoad, [6, 4]);
    assert.equal(group.mixedSteps, 0);
  });

  it('counts a step in which ranks used different maps', () => {
    const group = groupWithArmedMap();
    group.applyOrder(0, { kind: 'commit', token: 1, version: 2 });
    group.applyOrder(1, { kind: 'abort', token: 1, version: 2 });
    group.runStep(LOAD);
    group.runStep(LOAD);
    assert.equal(group.mixedSteps, 1);
  });

  it('refuses an old token with fencing and accepts it without', () => {
    const isOldTokenAccepted = (fencing: boolean): boolean => {
      const group = new FakeGroup(1, OLD, fencing);
      group.applyOrder(0, { kind: 'query', token: 5 });
      return group.applyOrder(0, { kind: 'prepare', token: 4, version: 2, map: NEW }).accepted;
    };
    assert.deepEqual([isOldTokenAccepted(true), isOldTokenAccepted(false)], [false, true]);
  });
});
