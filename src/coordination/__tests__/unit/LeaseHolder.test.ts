import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberRecord } from '../../../protocol/index.js';
import { hasHolderTerminated, holderName } from '../../index.js';

const RECORD: MemberRecord = {
  id: 'rank-3',
  role: 'endpoint',
  zone: 'z1',
  address: '10.0.0.3:7340',
  incarnation: 20,
  version: 4,
  status: 'serving',
};

const HOLDER = holderName(RECORD);

describe('hasHolderTerminated', () => {
  // Guards against a group that gets a new coordinator only once the lease of a killed one has expired.
  it('takes a later incarnation, or a report of its host, as proof that the holder has terminated', () => {
    const later: MemberRecord = { ...RECORD, incarnation: 21 };
    const ended: MemberRecord = { ...RECORD, status: 'gone', ended: true };
    assert.ok(hasHolderTerminated(HOLDER, () => later));
    assert.ok(hasHolderTerminated(HOLDER, () => ended));
  });

  // Guards against two processes coordinating one group because the first was partitioned or frozen.
  it('takes neither an unreachable process nor an update of an earlier incarnation as such proof', () => {
    const unreachable: MemberRecord = { ...RECORD, status: 'gone' };
    const earlier: MemberRecord = { ...RECORD, incarnation: 19, status: 'gone', ended: true };
    const records = [RECORD, unreachable, earlier, undefined];
    assert.ok(records.every((record) => !hasHolderTerminated(HOLDER, () => record)));
  });
});
