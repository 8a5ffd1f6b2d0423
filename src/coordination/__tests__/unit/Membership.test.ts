import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberRecord, MemberStatus } from '../../../protocol/index.js';
import {
  departingIncarnation,
  EMPTY_MEMBERSHIP,
  LATE_DEPARTURE_MS,
  MEMBER_LEASE_MS,
  mergeDelta,
  pruneView,
  servingMembers,
  stepMembership,
  TOMBSTONE_MS,
  MISSING_GRACE_MS,
  type MembershipInput,
  type MembershipState,
} from '../../index.js';

const member = (
  id: string,
  version = 1,
  status: MemberStatus = 'serving',
  incarnation = 5,
): MemberRecord => ({
  id,
  role: 'endpoint',
  zone: 'z',
  address: '127.0.0.1:1',
  incarnation,
  version,
  status,
});

/** Applies inputs at their times; returns the last state. */
function run(inputs: readonly (readonly [number, MembershipInput])[]): MembershipState {
  return inputs.reduce(
    (state, [now, input]) => stepMembership(state, input, now).state,
    EMPTY_MEMBERSHIP,
  );
}

const statusOf = (state: MembershipState, id: string): string | undefined =>
  state.directory.get(id)?.status;

const hello = (record: MemberRecord): MembershipInput => ({ type: 'hello', record });

describe('stepMembership', () => {
  it('declares a member gone once its lease has expired, and not before', () => {
    const heard: MembershipInput = { type: 'heard', ids: ['a'] };
    const inputs = [
      [0, hello(member('a'))],
      [2_000, heard],
    ] as const;
    const late = 2_000 + MEMBER_LEASE_MS;
    assert.equal(statusOf(run([...inputs, [late, { type: 'tick' }]]), 'a'), 'serving');
    assert.equal(statusOf(run([...inputs, [late + 1, { type: 'tick' }]]), 'a'), 'gone');
  });

  // A member moved to another control process, which reported it here; then its lease expires at the old
  // one, which declares the version that it knew gone. The member must stay in the directory.
  it('keeps a member that has a higher version than the one declared gone', () => {
    const gone: MembershipInput = { type: 'peer', from: 'c2', records: [member('a', 1, 'gone')] };
    const moved: MembershipInput = { type: 'peer', from: 'c3', records: [member('a', 2)] };
    assert.equal(
      statusOf(
        run([
          [0, hello(member('a'))],
          [1, moved],
          [2, gone],
        ]),
        'a',
      ),
      'serving',
    );
    assert.equal(
      statusOf(
        run([
          [0, hello(member('a'))],
          [1, gone],
          [2, moved],
        ]),
        'a',
      ),
      'serving',
    );
    assert.equal(
      statusOf(
        run([
          [0, hello(member('a'))],
          [1, gone],
        ]),
        'a',
      ),
      'gone',
    );
  });

  // The host's clock was set back between two starts. The new incarnation would lose every merge against
  // the records of the old one, so the reply names the lowest incarnation that wins.
  it('replies to a member with a lower incarnation which one would win', () => {
    const state = run([[0, hello(member('a', 3, 'serving', 9))]]);
    const { outputs } = stepMembership(state, hello(member('a', 1, 'serving', 7)), 1);
    assert.deepEqual(outputs, [
      { type: 'hello', id: 'a', reply: { accepted: false, leastIncarnation: 10 } },
    ]);
  });

  // A control process was partitioned while one of its members left. Its list, sent when the link to it is
  // new, lacks that member; a member that it no longer lists is gone unless it has moved elsewhere.
  it('declares members gone that a peer no longer lists, but not those that moved elsewhere', () => {
    const full = (from: string, records: readonly MemberRecord[]): MembershipInput => ({
      type: 'peerFull',
      from,
      records,
    });
    const state = run([
      [0, full('c2', [member('a'), member('b'), member('c')])],
      [1, hello(member('b', 2))],
      [2, full('c2', [member('c')])],
    ]);
    assert.deepEqual(
      ['a', 'b', 'c'].map((id) => statusOf(state, id)),
      ['gone', 'serving', 'serving'],
    );
  });

  // Guards against a late heartbeat that brings an endpoint back after this process has restarted.
  it('ignores late records of a member whose departure is in the log', () => {
    const late = member('a', 7);
    const departures = { a: member('a', Number.MAX_SAFE_INTEGER, 'gone') };
    const inputs = [
      [0, { type: 'departures', departures }],
      [10, hello(late)],
    ] as const;
    const state = run(inputs);
    assert.equal(statusOf(state, 'a'), 'gone');
    assert.deepEqual([...state.attached.keys()], []);
    const reborn = run([...inputs, [20, hello(member('a', 1, 'serving', 6))]]);
    assert.equal(statusOf(reborn, 'a'), 'serving');
  });

  // Guards against an older heartbeat that makes a draining endpoint ready again after this process has restarted.
  it('ignores older records of a member that the log has as leaving', () => {
    const departures = { a: member('a', 7, 'leaving') };
    const inputs = [[0, { type: 'departures', departures }]] as const;
    assert.equal(statusOf(run([...inputs, [1, hello(member('a', 6))]]), 'a'), 'leaving');
    assert.equal(statusOf(run([...inputs, [1, hello(member('a', 8))]]), 'a'), 'serving');
  });

  // Guards against a departure that a process publishes to all others, though each reads it from the log.
  it('sends departures of the log only to the processes attached here', () => {
    const departures = { a: member('a', 7, 'gone') };
    const { outputs } = stepMembership(EMPTY_MEMBERSHIP, { type: 'departures', departures }, 0);
    assert.deepEqual(outputs, [{ type: 'publish', records: [departures.a], origin: false }]);
  });

  // Guards against a late heartbeat after the tombstone in memory, but not the departure in the log, has been dropped.
  it('keeps the record of a departed member as long as the log does', () => {
    const departures = { a: member('a', 7, 'gone') };
    const kept = [
      [0, { type: 'departures', departures }],
      [TOMBSTONE_MS + 1, { type: 'tick' }],
    ] as const;
    assert.equal(statusOf(run(kept), 'a'), 'gone');
    const dropped = run([
      ...kept,
      [TOMBSTONE_MS + 2, { type: 'departures', departures: {} }],
      [TOMBSTONE_MS + 3, { type: 'tick' }],
    ]);
    assert.equal(dropped.directory.size, 0);
  });

  // Guards against a record that stays for ever: a leaving member that nobody heard of again after a restart.
  it('declares a leaving member gone if the log drops its departure and nobody has heard from it', () => {
    const departures = { a: member('a', 7, 'leaving'), b: member('b', 7, 'leaving') };
    const state = run([
      [0, { type: 'departures', departures }],
      [1, hello(member('b', 9, 'leaving'))],
      [2, { type: 'departures', departures: {} }],
    ]);
    assert.deepEqual([statusOf(state, 'a'), statusOf(state, 'b')], ['gone', 'leaving']);
  });

  it('keeps the record of a gone member until no late message can arrive, then drops it', () => {
    const gone: MembershipInput = { type: 'announce', record: member('a', 2, 'gone') };
    const inputs = [
      [0, hello(member('a'))],
      [10, gone],
    ] as const;
    const kept = run([...inputs, [10 + TOMBSTONE_MS, { type: 'tick' }]]);
    const buried = run([...inputs, [11 + TOMBSTONE_MS, { type: 'tick' }]]);
    assert.deepEqual([kept.directory.size, buried.directory.size], [1, 0]);
  });
});

describe('departingIncarnation', () => {
  const UP_MS = 60_000;

  const first = hello(member('a', 3, 'serving', 5));
  const second = hello(member('a', 1, 'serving', 6));

  it('is the known incarnation', () => {
    const state = run([[0, first]]);
    assert.equal(departingIncarnation(state, 'a', 1, UP_MS), 5);
    assert.equal(departingIncarnation(state, 'b', 1, UP_MS), null);
  });

  // Guards against a late deregistration that ends the next incarnation, which then never returns.
  it('is unknown for as long as a departure of an earlier incarnation may arrive', () => {
    const state = run([
      [0, first],
      [1_000, second],
    ]);
    assert.equal(departingIncarnation(state, 'a', 1_000 + LATE_DEPARTURE_MS, UP_MS), null);
    const later = 1_001 + LATE_DEPARTURE_MS;
    assert.equal(departingIncarnation(state, 'a', later, UP_MS), 6);
    const { replacedAt } = stepMembership(state, { type: 'tick' }, later).state;
    assert.equal(replacedAt.size, 0);
  });

  // Guards against an acknowledged deregistration that ends only the incarnation of before a restart.
  it('is unknown where a process that has just started knows only one that has departed', () => {
    const departures = { a: member('a', 9, 'gone') };
    const state = run([[0, { type: 'departures', departures }]]);
    assert.equal(departingIncarnation(state, 'a', 1, 1_000), null);
    assert.equal(departingIncarnation(state, 'a', 1, UP_MS), 5);
  });
});

describe('mergeDelta', () => {
  // A control process restarts with an empty list, and an entry process attaches to it before the
  // endpoints do. The list lacks endpoints that serve, and calls must continue until they have attached
  // again.
  it('keeps members that a full list lacks for a grace period', () => {
    const known = mergeDelta(new Map(), { full: true, records: [member('a'), member('b')] }, 0);
    const restarted = mergeDelta(known, { full: true, records: [member('a', 2)] }, 100);
    assert.equal(servingMembers(pruneView(restarted, 100 + MISSING_GRACE_MS)).length, 2);
    assert.equal(servingMembers(pruneView(restarted, 101 + MISSING_GRACE_MS)).length, 1);
    const back = mergeDelta(restarted, { full: false, records: [member('b', 2)] }, 200);
    assert.equal(servingMembers(pruneView(back, 101 + MISSING_GRACE_MS)).length, 2);
  });
});
