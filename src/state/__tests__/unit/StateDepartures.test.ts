import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberRecord, MemberStatus } from '../../../protocol/index.js';
import {
  applyCommand,
  departureKey,
  EMPTY_CONTROL,
  MAX_DEPARTURES,
  restoreControl,
  type ControlState,
} from '../../index.js';

const record = (incarnation: number, version: number, status: MemberStatus): MemberRecord => ({
  id: 'i-1',
  role: 'endpoint',
  zone: 'z',
  address: '127.0.0.1:1',
  incarnation,
  version,
  status,
});

/** Applies departures in order; returns the last state. */
function depart(...records: readonly MemberRecord[]): ControlState {
  return records.reduce(
    (state, departed) =>
      applyCommand(state, { kind: 'depart', records: [departed] }, state.index + 1).state,
    EMPTY_CONTROL,
  );
}

describe('departures in the log', () => {
  // Guards against a departure that is undone by one of an earlier incarnation, or by an older one.
  it('keeps the newest of each endpoint', () => {
    const newest = record(6, 9, 'gone');
    const older = [record(5, 99, 'gone'), record(6, 9, 'leaving'), record(6, 8, 'gone')];
    assert.deepEqual(depart(newest, ...older).departures, { 'i-1': newest });
    assert.deepEqual(depart(...older, newest).departures, { 'i-1': newest });
  });

  // Guards against a new departure that is dropped in place of an old one.
  it('drops only the departures that are named', () => {
    const old = record(5, 9, 'gone');
    const drop = { kind: 'forgetDepartures', departures: [departureKey(old)] } as const;
    assert.deepEqual(applyCommand(depart(old), drop, 2).state.departures, {});
    const newer = record(6, 9, 'gone');
    const kept = applyCommand(depart(old, newer), drop, 3).state;
    assert.deepEqual(kept.departures, { 'i-1': newer });
  });

  // Guards against state that grows without a bound when ids are made up, and against a departure that is lost then.
  it('refuses more departures than it may keep, and still takes newer ones of those', () => {
    const known = record(5, 9, 'leaving');
    const entries = Array.from({ length: MAX_DEPARTURES }, (_item, i) => [`i-${i}`, known]);
    const full: ControlState = { ...EMPTY_CONTROL, departures: Object.fromEntries(entries) };
    const other = { ...record(5, 9, 'gone'), id: 'other' };
    const refused = applyCommand(full, { kind: 'depart', records: [other] }, 1);
    assert.deepEqual(refused.result, { result: 'full' });
    assert.equal(refused.state.departures, full.departures);
    const gone = record(5, 10, 'gone');
    const taken = applyCommand(full, { kind: 'depart', records: [gone] }, 1);
    assert.deepEqual(taken.state.departures['i-1'], gone);
  });

  // Guards against a control process that can't read a snapshot of an earlier version.
  it('are empty in a snapshot that has none', () => {
    const entries = Object.entries(EMPTY_CONTROL).filter(([name]) => name !== 'departures');
    assert.deepEqual(restoreControl(Object.fromEntries(entries)), EMPTY_CONTROL);
    assert.deepEqual(restoreControl(null), EMPTY_CONTROL);
  });
});
