import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { MemberRecord } from '../../../protocol/index.js';
import {
  applyColdRecord,
  coldTimeOf,
  doubtWarmth,
  stepColdStatement,
  type ColdStatement,
} from '../../ColdEndpoints.js';

const START_MS = 10_000;

function record(version: number, statedColdMs?: number, incarnation = 1): MemberRecord {
  return {
    id: 'i-1',
    role: 'endpoint',
    zone: 'z1',
    address: '127.0.0.1:80',
    incarnation,
    version,
    status: 'serving',
    ...(statedColdMs === undefined ? {} : { statedColdMs }),
  };
}

describe('ColdEndpoints', () => {
  // Guards against an endpoint that is sent its full share while it is cold, because its report is missing.
  it('counts an endpoint without a statement as cold after it has appeared, except in the first list', () => {
    const appeared = applyColdRecord(undefined, record(1), false, 1_000);
    assert.deepEqual(coldTimeOf(appeared, START_MS), { until: 11_000, source: 'appeared' });
    const present = applyColdRecord(undefined, record(1), true, 1_000);
    assert.equal(coldTimeOf(present, START_MS).until, -Infinity);
    const stated = applyColdRecord(undefined, record(1, 4_000), true, 1_000);
    assert.deepEqual(coldTimeOf(stated, START_MS), { until: 5_000, source: 'stated' });
  });

  // Guards against a list that is sent again, as over a new link, and starts the countdown again.
  it('ignores a record that is not newer, and keeps a statement that a later record lacks', () => {
    const first = applyColdRecord(undefined, record(3, 4_000), false, 0);
    assert.equal(applyColdRecord(first, record(3, 4_000), false, 3_000), first);
    assert.equal(applyColdRecord(first, record(2, 9_000), false, 3_000), first);
    const without = applyColdRecord(first, record(4), false, 3_000);
    assert.equal(coldTimeOf(without, START_MS).until, 4_000);
  });

  it('counts an endpoint as warm or cold again as soon as it states so', () => {
    const cold = applyColdRecord(undefined, record(1, 4_000), false, 0);
    const warm = applyColdRecord(cold, record(2, 0), false, 1_000);
    assert.equal(coldTimeOf(warm, START_MS).until, -Infinity);
    const again = applyColdRecord(warm, record(3, 6_000), false, 2_000);
    assert.equal(coldTimeOf(again, START_MS).until, 8_000);
  });

  // Guards against full load on endpoints that got nothing during an evacuation, before they have reported again.
  it('counts an endpoint as cold after an evacuation until it states otherwise', () => {
    const warm = applyColdRecord(undefined, record(1, 0), true, 0);
    const doubted = doubtWarmth(warm, 50_000);
    assert.deepEqual(coldTimeOf(doubted, START_MS), { until: 60_000, source: 'evacuation' });
    assert.equal(applyColdRecord(doubted, record(1, 0), false, 51_000), doubted);
    const unstated = applyColdRecord(doubted, record(2), false, 51_000);
    assert.equal(coldTimeOf(unstated, START_MS).until, 60_000);
    const confirmed = applyColdRecord(doubted, record(2, 0), false, 51_000);
    assert.equal(coldTimeOf(confirmed, START_MS).until, -Infinity);
  });

  // Guards against a record for each heartbeat of each cold endpoint, and against a change that isn't published.
  it('publishes the begin, the end and an extension of a cold time, but not its countdown', () => {
    let known: ColdStatement | undefined;
    const isNews = (heartbeat: MemberRecord, now: number): boolean | null => {
      const step = stepColdStatement(known, heartbeat, now);
      known = step?.statement ?? known;
      return step?.isNews ?? null;
    };
    assert.equal(isNews(record(1, 9_000), 0), true);
    assert.equal(isNews(record(2, 7_800), 1_250), false);
    assert.equal(isNews(record(1, 9_000), 1_300), null, 'an old heartbeat');
    assert.equal(isNews(record(3), 1_400), null, 'no statement');
    assert.equal(isNews(record(4, 8_000), 2_400), true, 'cold again');
    assert.equal(isNews(record(5, 0), 3_000), true, 'warm');
    assert.equal(isNews(record(6, 0), 4_000), false);
    assert.equal(isNews(record(7, 500), 5_000), true, 'cold again after warm');
    assert.equal(isNews(record(1, 500, 2), 5_500), true, 'a new incarnation');
  });
});
