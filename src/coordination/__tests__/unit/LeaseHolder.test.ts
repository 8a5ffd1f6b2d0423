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

describe('hasHolderEnded', () => {
  // Guards against: a group stands, held by a coordinator that was killed, until its lease has run out.
  it('takes a later life, or the word of its host, for the end of a life', () => {
    const later: MemberRecord = { ...RECORD, incarnation: 21 };
    const ended: MemberRecord = { ...RECORD, status: 'gone', ended: true };
    assert.ok(hasHolderTerminated(HOLDER, () => later));
    assert.ok(hasHolderTerminated(HOLDER, () => ended));
  });

  // Guards against: two processes coordinate one group, since the first was cut off or stood still.
  it('takes silence for no end, nor news of an earlier life', () => {
    const silent: MemberRecord = { ...RECORD, status: 'gone' };
    const earlier: MemberRecord = { ...RECORD, incarnation: 19, status: 'gone', ended: true };
    const records = [RECORD, silent, earlier, undefined];
    assert.ok(records.every((record) => !hasHolderTerminated(HOLDER, () => record)));
  });
});
