import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  checkRecord,
  DRAIN_MS,
  plainAnswer,
  REVOKE_MS,
  streamEvent,
  STREAM_EVENTS,
} from '../../SoakChecks.js';
import type { SoakAttempt, SoakRecord, SoakRun } from '../../SoakTypes.js';

const HOLD: SoakAttempt = {
  id: 's1',
  kind: 'hold',
  key: 'key-1',
  entry: 'entry-1',
  sentAt: 1_000,
  endedAt: 1_050,
  end: 'whole',
  status: 200,
  body: plainAnswer('s1'),
};

const RUN: SoakRun = { id: 's1', engine: 'i-1', at: 1_010, customer: 'kano', resumed: false };

const GOOD: SoakRecord = {
  attempts: [HOLD],
  runs: [RUN],
  withdrawals: [],
  drains: [],
  needs: [],
  refusals: [],
  events: [],
  engineEnds: [],
  fatalRuns: [],
  mixedPasses: 0,
  acked: 3,
  readBack: [3, 3, 4],
  ownEnds: [],
  servedAtEnd: 10,
  passesAtEnd: 10,
};

function rulesOf(record: Partial<SoakRecord>): readonly string[] {
  return checkRecord({ ...GOOD, ...record }).map(({ rule }) => rule);
}

function streamOf(events: readonly number[], end: SoakAttempt['end']): SoakAttempt {
  const body = events.map((event) => streamEvent('s1', event)).join('');
  return { ...HOLD, kind: 'stream', end, body };
}

const ALL = Array.from({ length: STREAM_EVENTS }, (_item, i) => i + 1);

/** Attempts at one entry host, and their runs at an engine, at times. */
function sentAt(times: readonly number[]): Pick<SoakRecord, 'attempts' | 'runs'> {
  const ids = times.map((at) => ({ id: `n${at}`, at }));
  return {
    attempts: ids.map(({ id, at }) => ({
      ...HOLD,
      id,
      sentAt: at,
      endedAt: at + 20,
      body: plainAnswer(id),
    })),
    runs: ids.map(({ id, at }) => ({ ...RUN, id, at: at + 5 })),
  };
}

const NEED = { host: 1, engine: 'i-1', perSecond: 1, from: 0, until: 20_000 };

/** One arrival that names the limit, and as many in one window as are allowed, and one more. */
const LIMITED = sentAt([100, ...Array.from({ length: 12 }, (_item, i) => 5_000 + i)]);

const RESTING = sentAt([100, 900, 901, 902]);

/** Each broken promise with a record in which it is broken, and nothing else. */
const BROKEN: Readonly<Record<string, Partial<SoakRecord>>> = {
  'own whole answer': { attempts: [{ ...HOLD, body: plainAnswer('s2') }] },
  'at most once': { runs: [RUN, { ...RUN, engine: 'i-2' }] },
  'refused means not run': { attempts: [{ ...HOLD, status: 503, body: '' }] },
  'nothing unasked': { runs: [RUN, { ...RUN, id: 's9' }] },
  'withdrawn keys are dead': {
    withdrawals: [{ key: 'key-1', ackedAt: HOLD.sentAt - REVOKE_MS - 1 }],
  },
  'no configuration reverts': { attempts: [{ ...HOLD, status: 401 }] },
  'a leaving engine gets nothing new': {
    drains: [{ engine: 'i-1', ackedAt: RUN.at - DRAIN_MS - 1 }],
  },
  'a graceful stop cuts nothing off': {
    attempts: [{ ...HOLD, end: 'broken', status: 0, body: '' }],
    events: [{ kind: 'entryTerm', target: 'entry-1', from: 1_020, until: 9_000 }],
  },
  'a limit is kept': { ...LIMITED, needs: [{ ...NEED, kind: 'limit' }] },
  'a rest is kept': {
    ...RESTING,
    refusals: RESTING.runs,
    needs: [{ ...NEED, kind: 'rest' }],
  },
  'an engine’s word that it leaves is kept': {
    ...sentAt([100, 5_000]),
    needs: [{ ...NEED, kind: 'leave' }],
  },
  'one map a pass': { mixedPasses: 1 },
  'acknowledged is kept': { readBack: [3, 2, 3] },
  'what ends engines is held': {
    engineEnds: ['i-1', 'i-2', 'i-3'].map((engine, at) => ({ body: 'fatal 1', engine, at })),
    fatalRuns: [3_003, 3_004, 3_005, 3_006].map((at) => ({ body: 'fatal 1', at })),
  },
  'no process ends by itself': { ownEnds: ['entry-1 ended by itself (1)'] },
  'serves again': { servedAtEnd: 0 },
};

describe('the soak’s checks', () => {
  it('find nothing where all promises are kept', () => {
    assert.deepEqual(rulesOf({}), []);
    assert.deepEqual(rulesOf({ attempts: [streamOf(ALL, 'whole')] }), []);
    assert.deepEqual(rulesOf({ attempts: [streamOf([1, 2], 'broken')] }), []);
  });

  it('find each broken promise', () => {
    Object.entries(BROKEN).forEach(([rule, record]) => {
      assert.deepEqual(rulesOf(record), [rule]);
    });
  });

  it('find a stream with an event missing, twice, or a false end', () => {
    const rule = ['own whole answer'];
    assert.deepEqual(rulesOf({ attempts: [streamOf([1, 3], 'broken')] }), rule);
    assert.deepEqual(rulesOf({ attempts: [streamOf([1, 2, 2], 'broken')] }), rule);
    assert.deepEqual(rulesOf({ attempts: [streamOf([1, 2], 'whole')] }), rule);
  });

  it('leave out a need where something was done to the host in question', () => {
    ['a limit is kept', 'a rest is kept', 'an engine’s word that it leaves is kept'].forEach(
      (rule) =>
        ['entry-1', 'endpoint-1'].forEach((target) => {
          const events = [{ kind: 'entryPause', target, from: 200, until: 800 }];
          assert.deepEqual(rulesOf({ ...BROKEN[rule], events }), []);
        }),
    );
  });

  it('leave out what an unplanned fault beside a stop may cut off', () => {
    const record = BROKEN['a graceful stop cuts nothing off'];
    const kill = { kind: 'engineCrash', target: 'engine-1', from: 900, until: 1_000 };
    assert.deepEqual(rulesOf({ ...record, events: [...(record?.events ?? []), kill] }), []);
  });
});
