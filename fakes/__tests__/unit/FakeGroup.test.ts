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

function prepared(): FakeGroup {
  const group = new FakeGroup(2, OLD);
  [0, 1].forEach((rank) => {
    group.order(rank, { kind: 'prepare', token: 1, version: 2, map: NEW });
    group.order(rank, { kind: 'arm', token: 1, version: 2, step: 2 });
  });
  return group;
}

describe('FakeGroup', () => {
  it('steps with each rank under its own load', () => {
    assert.deepEqual(new FakeGroup(2, OLD).run(LOAD).rankLoad, [7, 3]);
  });

  it('waits at the armed step until every rank knows, then uses the new map', () => {
    const group = prepared();
    assert.equal(group.run(LOAD).ran, true);
    group.order(0, { kind: 'commit', token: 1, version: 2 });
    assert.deepEqual(group.run(LOAD).waiting, [1]);
    group.order(1, { kind: 'commit', token: 1, version: 2 });
    assert.deepEqual(group.run(LOAD).rankLoad, [6, 4]);
    assert.equal(group.mixedSteps, 0);
  });

  it('counts a step in which ranks used different maps', () => {
    const group = prepared();
    group.order(0, { kind: 'commit', token: 1, version: 2 });
    group.order(1, { kind: 'abort', token: 1, version: 2 });
    group.run(LOAD);
    group.run(LOAD);
    assert.equal(group.mixedSteps, 1);
  });

  it('refuses an old token with fencing, and takes it without', () => {
    const ask = (fencing: boolean): boolean => {
      const group = new FakeGroup(1, OLD, fencing);
      group.order(0, { kind: 'query', token: 5 });
      return group.order(0, { kind: 'prepare', token: 4, version: 2, map: NEW }).accepted;
    };
    assert.deepEqual([ask(true), ask(false)], [false, true]);
  });
});
