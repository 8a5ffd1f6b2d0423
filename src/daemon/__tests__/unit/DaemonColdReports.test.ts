import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import type { MemberRecord } from '../../../protocol/index.js';
import { DaemonHub } from '../../DaemonHub.js';

class TestHub {
  now = 0;

  readonly published: MemberRecord[] = [];

  readonly hub = new DaemonHub({
    zone: 'z1',
    log: pino({ level: 'silent' }),
    now: () => this.now,
    publishMembers: (records) => this.published.push(...records),
    controls: () => [],
    publishLoad: () => undefined,
    sendDemands: () => undefined,
    publishUpdate: () => undefined,
  });

  #version = 0;

  /** Receives a heartbeat; returns the cold times that are published. */
  heartbeat(statedColdMs?: number, zone = 'z1'): readonly (number | undefined)[] {
    this.#version += 1;
    this.published.length = 0;
    this.hub.onHeartbeat({
      id: 'i-1',
      role: 'endpoint',
      zone,
      address: '10.0.0.1:80',
      incarnation: 1,
      version: this.#version,
      status: 'serving',
      leaseMs: 4_000,
      ...(statedColdMs === undefined ? {} : { statedColdMs }),
    });
    return this.published.map((record) => record.statedColdMs);
  }
}

describe('cold times at a hub', () => {
  // Guards against a change that waits for another change of the record, and against a record for each heartbeat.
  it('are published at once if they begin, end or get longer', () => {
    const test = new TestHub();
    assert.deepEqual(test.heartbeat(3_000), [3_000]);
    test.now = 1_000;
    assert.deepEqual(test.heartbeat(2_000), []);
    assert.deepEqual(test.heartbeat(9_000), [9_000]);
    assert.deepEqual(test.heartbeat(), []);
    test.now = 2_000;
    assert.deepEqual(test.heartbeat(0), [0]);
    assert.deepEqual(test.heartbeat(0), []);
  });

  // Guards against a record with an expired cold time, by which each entry host that joins later counts the endpoint as
  // cold again.
  it('are withdrawn once by a heartbeat without one after their end', () => {
    const test = new TestHub();
    test.heartbeat(3_000);
    test.now = 2_999;
    assert.deepEqual(test.heartbeat(), []);
    test.now = 3_000;
    assert.deepEqual(test.heartbeat(), [undefined]);
    assert.equal(test.hub.membership.directory.get('i-1')?.statedColdMs, undefined);
    assert.deepEqual(test.heartbeat(), []);
    assert.deepEqual(test.heartbeat(2_000), [2_000]);
  });

  // Guards against entry hosts that count endpoints as cold for the whole declared time after an evacuation. Entry hosts
  // may apply its end up to 5 s later than the hub.
  it('are published again after an evacuation of the zone, soon and once more', () => {
    const test = new TestHub();
    test.heartbeat(0);
    test.hub.coldReports.onEvacuationFinished('z2');
    assert.deepEqual(test.heartbeat(0), []);
    test.hub.coldReports.onEvacuationFinished('z1');
    assert.deepEqual(test.heartbeat(0), [0]);
    assert.deepEqual(test.heartbeat(0), []);
    test.now = 6_000;
    assert.deepEqual(test.heartbeat(0), [0]);
    assert.deepEqual(test.heartbeat(0), []);
  });
});
