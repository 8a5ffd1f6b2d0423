import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberRecord } from '../../../protocol/index.js';
import { deterministicSubset, filterToSubsets } from '../../index.js';

const ids = (prefix: string, count: number): readonly string[] =>
  Array.from({ length: count }, (_item, i) => `${prefix}${i}`);

/** How many of the entry processes use each endpoint. */
function coverage(endpoints: number, entries: readonly string[], size: number): readonly number[] {
  const uses = new Map(ids('p', endpoints).map((id) => [id, 0]));
  entries
    .flatMap((entry) => deterministicSubset(ids('p', endpoints), entries, entry, size))
    .forEach((id) => uses.set(id, (uses.get(id) ?? 0) + 1));
  return [...uses.values()];
}

const endpoint = (zone: string, i: number, service: string): MemberRecord => ({
  id: `${service}-${zone}-${i}`,
  role: 'endpoint',
  zone,
  address: '',
  incarnation: 1,
  version: 1,
  status: 'serving',
  offer: { fleet: 'f', service, slots: 8 },
});

describe('deterministicSubset', () => {
  it('uses all endpoints if there are few', () => {
    assert.equal(deterministicSubset(ids('p', 15), ids('e', 6), 'e1', 32).length, 15);
  });

  it('spreads 87 entry processes over 264 endpoints within one round', () => {
    const uses = coverage(264, ids('e', 87), 32);
    assert.ok(
      Math.max(...uses) - Math.min(...uses) <= 1,
      `${Math.min(...uses)}..${Math.max(...uses)}`,
    );
  });

  it('changes few other endpoints when an endpoint leaves', () => {
    const entries = ids('e', 87);
    const all = ids('p', 264);
    const kept = all.filter((id) => id !== 'p7');
    const moved = entries.map((entry) => {
      const before = new Set(deterministicSubset(all, entries, entry, 32));
      return deterministicSubset(kept, entries, entry, 32).filter((id) => !before.has(id)).length;
    });
    assert.ok(moved.reduce((sum, count) => sum + count, 0) / entries.length <= 1);
  });
});

describe('filterToSubsets', () => {
  // At full size an AZ has 87 entry processes and 264 endpoints of 8 models, in a region of 4 AZs.
  it('keeps endpoints of the own AZ, and some of other AZs in case they fail', () => {
    const records = ['a', 'b', 'c', 'd'].flatMap((zone) =>
      Array.from({ length: 264 }, (_item, i) => endpoint(zone, i, `m${i % 8}`)),
    );
    const kept = filterToSubsets(records, { id: 'e1', zone: 'a', entries: ids('e', 87) });
    const remote = kept.filter(({ zone }) => zone !== 'a').length;
    assert.equal(kept.length - remote, 264);
    assert.ok(remote >= 8 * 8 && remote <= 8 * 9, String(remote));
  });
});
