import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  clearSuspects,
  EMPTY_QUARANTINE,
  crashCount,
  dropExpiredSuspects,
  hashQuarantine,
  recordSuspects,
  mergeSuspectRecords,
  SUSPECT_LIMITS,
  SUSPECT_RETENTION_MS,
  toQuarantineUpdates,
  type QuarantineState,
} from '../../Quarantine.js';
import { findCombination, quarantinedCombinations } from '../../QuarantineParts.js';
import type { SuspectRecord } from '../../../protocol/index.js';
import { MAX_SOUND_PARTS, SoundParts } from '../../SoundParts.js';
import { MAX_PARTS_PER_GENERATION } from '../../SoundPartsOfCustomer.js';
import { rememberAnswer, wasRecentlyAnswered, type RecentAnswers } from '../../RecentAnswers.js';

const SEED = 37;

function lost(digest: string, customer = 'kano', parts: readonly string[] = []) {
  return { digest, customer, parts, request: `r-${digest}` };
}

/** Records crashes, each of an incarnation with one request in progress. */
function withCrashes(...ends: readonly (readonly [string, string])[]): QuarantineState {
  return ends.reduce(
    (state, [incarnationKey, digest]) =>
      recordSuspects(state, incarnationKey, [lost(digest)], 0).state,
    EMPTY_QUARANTINE,
  );
}

function crashesOf(state: QuarantineState, digest: string): number {
  const suspect = state.get(digest);
  return suspect === undefined ? 0 : crashCount(suspect);
}

/** Records of all suspects as another process receives them. */
function allRecordsOf(state: QuarantineState, now = 0) {
  return toQuarantineUpdates(state, [...state.values()], now).flatMap(({ records }) => records);
}

/** An event at a process: a crash, a clearing, or all of its suspects sent to another process. */
type Event =
  | {
      readonly kind: 'end';
      readonly at: number;
      readonly incarnationKey: string;
      readonly digest: string;
    }
  | { readonly kind: 'clear'; readonly at: number; readonly digest: string }
  | { readonly kind: 'tell'; readonly at: number; readonly to: number };

const PROCESSES = 3;

const at = fc.integer({ min: 0, max: PROCESSES - 1 });
const digest = fc.constantFrom('a', 'b', 'c');
const incarnationKey = fc.integer({ min: 0, max: 5 }).map((n) => `i-${n}`);

const eventArb: fc.Arbitrary<Event> = fc.oneof(
  fc.record({ kind: fc.constant('end' as const), at, incarnationKey, digest }),
  fc.record({ kind: fc.constant('clear' as const), at, digest }),
  fc.record({ kind: fc.constant('tell' as const), at, to: at }),
);

/** Applies events at some processes; returns their final states. */
function applyEvents(events: readonly Event[]): readonly QuarantineState[] {
  const states: QuarantineState[] = Array.from({ length: PROCESSES }, () => EMPTY_QUARANTINE);
  events.forEach((event) => {
    const state = states[event.at] ?? EMPTY_QUARANTINE;
    if (event.kind === 'end') {
      const customer = `customer of ${event.digest}`;
      const items = [lost(event.digest, customer, ['shared part', `part ${event.digest}`])];
      states[event.at] = recordSuspects(state, event.incarnationKey, items, 0).state;
    } else if (event.kind === 'clear') {
      states[event.at] = clearSuspects(state, [event.digest]).state;
    } else {
      states[event.to] = mergeSuspectRecords(
        states[event.to] ?? EMPTY_QUARANTINE,
        allRecordsOf(state),
        0,
      ).state;
    }
  });
  return states;
}

/** Merges the states of all processes into each of them, in an order. */
function exchangeAll(
  states: readonly QuarantineState[],
  order: readonly number[],
): readonly QuarantineState[] {
  return states.map((state) =>
    order.reduce(
      (known, from) =>
        mergeSuspectRecords(known, allRecordsOf(states[from] ?? EMPTY_QUARANTINE), 0).state,
      state,
    ),
  );
}

describe('Quarantine', () => {
  it('counts the crash of an incarnation once, whoever reports it and however often', () => {
    const state = withCrashes(['i-1', 'a'], ['i-1', 'a'], ['i-2', 'a'], ['i-1', 'a'], ['i-3', 'b']);
    assert.equal(crashesOf(state, 'a'), 2);
    assert.equal(crashesOf(state, 'b'), 1);
    assert.equal(mergeSuspectRecords(state, allRecordsOf(state), 0).changed.length, 0);
  });

  it('clears a request after a complete answer, and ignores late reports of earlier crashes', () => {
    const cleared = clearSuspects(withCrashes(['i-1', 'a'], ['i-2', 'a']), ['a']).state;
    assert.equal(crashesOf(cleared, 'a'), 0);
    const late = recordSuspects(cleared, 'i-2', [lost('a')], 9).state;
    assert.equal(crashesOf(late, 'a'), 0);
    assert.equal(crashesOf(recordSuspects(late, 'i-3', [lost('a')], 9).state, 'a'), 1);
  });

  it('drops suspects after their retention time, which updates do not extend', () => {
    const state = withCrashes(['i-1', 'a']);
    const received = mergeSuspectRecords(
      EMPTY_QUARANTINE,
      allRecordsOf(state, SUSPECT_RETENTION_MS - 10),
      0,
    ).state;
    assert.equal(dropExpiredSuspects(received, 9).size, 1);
    assert.equal(dropExpiredSuspects(received, 10).size, 0);
    assert.equal(
      mergeSuspectRecords(EMPTY_QUARANTINE, allRecordsOf(state, SUSPECT_RETENTION_MS), 0).state
        .size,
      0,
    );
    const again = mergeSuspectRecords(state, allRecordsOf(received, 0), 0).state;
    assert.equal(dropExpiredSuspects(again, 10).size, 0);
  });

  // A customer sends a thousand different requests that crash endpoints. Suspects of other customers, and
  // those close to quarantine, must not be dropped for them.
  it('drops no suspect of another customer for those of one customer', () => {
    const many = Array.from({ length: 1_000 }, (_item, i) => lost(`m${i}`, 'loud'));
    const first = withCrashes(['i-1', 'quiet'], ['i-2', 'quiet']);
    const { state } = recordSuspects(first, 'i-3', many, 0);
    assert.equal(state.size, SUSPECT_LIMITS.request.perCustomer + 1);
    assert.equal(crashesOf(state, 'quiet'), 2);
    const customers = Array.from({ length: 1_000 }, (_item, i) => lost(`n${i}`, `c${i % 50}`));
    assert.equal(
      recordSuspects(state, 'i-4', customers, 0).state.size,
      SUSPECT_LIMITS.request.total,
    );
  });

  /** Records crashes, each of an incarnation with requests in progress that have the given parts. */
  function withParts(...ends: readonly (readonly (readonly string[])[])[]): QuarantineState {
    return ends.reduce(
      (state, requests, i) =>
        recordSuspects(
          state,
          `i-${i}`,
          requests.map((parts, n) => lost(`r${i}-${n}`, `c${n}`, parts)),
          0,
        ).state,
      EMPTY_QUARANTINE,
    );
  }

  /** The quarantined combinations of parts, each sorted. */
  function combinationsOf(state: QuarantineState, minCrashes: number) {
    return quarantinedCombinations(state, minCrashes)
      .map(({ digests }) => digests.flat().sort())
      .sort(([a = ''], [b = '']) => a.localeCompare(b));
  }

  function isHeld(state: QuarantineState, minCrashes: number, parts: readonly string[]): boolean {
    return findCombination(quarantinedCombinations(state, minCrashes), parts) !== null;
  }

  // Guards against evidence that is kept by whole requests: no two of them are alike.
  it('quarantines a part that different requests share', () => {
    const state = withParts([['a', 'bad'], ['b']], [['c', 'bad'], ['d']]);
    assert.deepEqual(combinationsOf(state, 2), [['bad']]);
    assert.deepEqual(combinationsOf(state, 3), []);
  });

  it('holds no part that another one explains, and clears parts that were answered on', () => {
    const state = withParts([['a', 'bad']], [['a', 'bad']], [['b', 'bad']]);
    assert.ok(isHeld(state, 2, ['bad']));
    assert.ok(!isHeld(state, 2, ['a', 'b']));
    const cleared = clearSuspects(state, ['bad']).state;
    assert.deepEqual(combinationsOf(cleared, 3), []);
  });

  it('waits for more crashes while nothing tells two parts apart', () => {
    const both = [['a', 'bad']];
    assert.deepEqual(combinationsOf(withParts(both, both, both), 2), []);
    assert.deepEqual(combinationsOf(withParts(both, both, both, both), 2), [['a', 'bad']]);
  });

  // Guards against sound requests that are all held for a part that they share, so that no answer can clear it any more.
  it('holds no request without one of the parts that nothing tells apart', () => {
    const both = [
      ['common', 'bad'],
      ['common', 'own'],
    ];
    const state = withParts(both, both, [['common', 'bad']], [['common', 'bad']]);
    assert.ok(isHeld(state, 3, ['first', 'common', 'bad']));
    assert.ok(!isHeld(state, 3, ['common', 'own']));
    const cleared = clearSuspects(state, ['common']).state;
    assert.ok(isHeld(cleared, 3, ['bad']));
  });

  // Guards against the same where an endpoint has crashed for another cause, so that the shared part has more crashes.
  it('holds no request without the part that explains all crashes of its parts but one', () => {
    const both = [['common', 'bad']];
    const state = withParts(both, both, both, [['common']]);
    assert.ok(isHeld(state, 3, ['common', 'bad']));
    assert.ok(!isHeld(state, 3, ['common']));
    const more = withParts(both, both, both, [['common']], [['common']]);
    assert.ok(isHeld(more, 3, ['common']));
  });

  it('holds a part for itself once two of its crashes are explained by no other', () => {
    const both = [['companion', 'bad']];
    const state = withParts(both, both, both, both, [['bad']], [['bad']]);
    assert.ok(isHeld(state, 3, ['bad']));
    assert.ok(!isHeld(state, 3, ['companion']));
  });

  it('quarantines two parts that crash endpoints at the same time', () => {
    const state = withParts([['bad']], [['worse']], [['bad']], [['worse']]);
    assert.deepEqual(combinationsOf(state, 2), [['bad'], ['worse']]);
  });

  // Guards against a customer that sends requests with many parts and displaces the evidence on those of others.
  it('drops no part of another customer for those of one customer', () => {
    const { perCustomer, total } = SUSPECT_LIMITS.part;
    const partsOf = (name: string) =>
      Array.from({ length: perCustomer + 1_000 }, (_item, i) => `${name}${i}`);
    const first = withParts([['quiet']], [['quiet']]);
    const step = recordSuspects(first, 'i-9', [lost('r', 'loud', partsOf('m'))], 0);
    assert.deepEqual(combinationsOf(step.state, 2), [['quiet']]);
    assert.ok(step.state.size <= perCustomer + 4);
    assert.equal(step.dropped, 1_000);
    const customers = Array.from({ length: 6 }, (_item, i) =>
      lost(`r${i}`, `loud${i}`, partsOf(`c${i}-`)),
    );
    const { state } = recordSuspects(step.state, 'i-10', customers, 0);
    assert.deepEqual(combinationsOf(state, 2), [['quiet']]);
    assert.equal([...state.values()].filter(({ kind }) => kind === 'part').length, total);
  });

  it('reads updates of processes that know only requests', () => {
    const [record] = allRecordsOf(withCrashes(['i-1', 'a']));
    const { kind, ...old } = record as SuspectRecord;
    const { state } = mergeSuspectRecords(EMPTY_QUARANTINE, [old], 0);
    assert.equal(state.get('a')?.kind, kind);
  });

  it('sends suspects in messages of a bounded size', () => {
    const many = Array.from({ length: 200 }, (_item, i) => lost(`m${i}`, `c${i}`));
    const { state } = recordSuspects(EMPTY_QUARANTINE, 'i-1', many, 0);
    const messages = toQuarantineUpdates(state, [...state.values()], 0);
    assert.deepEqual(
      messages.map(({ records }) => records.length),
      [64, 64, 64, 8],
    );
    assert.ok(messages.every(({ hash }) => hash === hashQuarantine(state)));
  });

  it('gives all processes the same state once each has received all updates, in any order and any number of times', () => {
    const order = fc.array(at, { maxLength: 6 });
    fc.assert(
      fc.property(fc.array(eventArb, { maxLength: 30 }), order, order, (events, one, other) => {
        const states = applyEvents(events);
        const everyone = [0, 1, 2];
        const a = exchangeAll(states, [...one, ...everyone]).map(hashQuarantine);
        const b = exchangeAll(states, [...everyone].reverse().concat(other)).map(hashQuarantine);
        assert.equal(new Set([...a, ...b]).size, 1);
      }),
      { seed: SEED, numRuns: 2_000 },
    );
  });

  it('counts all crashes that the processes have seen, and with clearings no more', () => {
    fc.assert(
      fc.property(fc.array(eventArb, { maxLength: 30 }), (events) => {
        const seen = events.flatMap((e) =>
          e.kind === 'end' ? [`${e.digest} ${e.incarnationKey}`] : [],
        );
        const isCleared = events.some(({ kind }) => kind === 'clear');
        const [state = EMPTY_QUARANTINE] = exchangeAll(applyEvents(events), [0, 1, 2]);
        const total = ['a', 'b', 'c'].reduce((sum, name) => sum + crashesOf(state, name), 0);
        assert.ok(isCleared ? total <= new Set(seen).size : total === new Set(seen).size);
      }),
      { seed: SEED, numRuns: 2_000 },
    );
  });
});

describe('RecentAnswers', () => {
  const ask = (path: string, bytes = 0) => ({
    customer: 'kano',
    method: 'GET',
    host: 'desk.example',
    path,
    body: Buffer.alloc(bytes),
  });

  it('remembers an answered request for a limited time', () => {
    const answers = rememberAnswer([], ask('/a'), 0);
    assert.ok(wasRecentlyAnswered(answers, ask('/a'), 29_999));
    assert.ok(!wasRecentlyAnswered(answers, ask('/a'), 30_000));
    assert.ok(!wasRecentlyAnswered(answers, ask('/b'), 0));
  });

  it('limits the number and bytes of remembered requests', () => {
    const remember = (bytes: number): RecentAnswers =>
      Array.from({ length: 100 }, (_item, i) => i).reduce<RecentAnswers>(
        (answers, i) => rememberAnswer(answers, ask(`/${i}`, bytes), i),
        [],
      );
    assert.equal(remember(0).length, 64);
    assert.equal(remember(4_096).length, 16);
    assert.equal(remember(65_536).length, 0);
  });
});

describe('SoundParts', () => {
  it('forgets a part half a minute after it was last answered on', () => {
    const sound = new SoundParts();
    sound.add('kano', ['a'], 0);
    assert.ok(sound.has('a', 29_999));
    assert.ok(!sound.has('a', 30_000));
    sound.add('kano', ['a'], 20_000);
    assert.ok(sound.has('a', 49_999));
    assert.ok(!sound.has('b', 0));
  });

  it('knows a part as long as one of its customers has been answered on it', () => {
    const sound = new SoundParts();
    sound.add('first', ['a'], 0);
    sound.add('second', ['a'], 5);
    const many = Array.from({ length: 3 * MAX_PARTS_PER_GENERATION }, (_item, i) => `m${i}`);
    sound.add('second', many, 6);
    assert.ok(sound.has('a', 29_999));
    assert.ok(!sound.has('a', 30_000));
  });

  it('keeps the parts that all prompts share beside thousands that never come again', () => {
    const sound = new SoundParts();
    const shared = Array.from({ length: 1_000 }, (_item, i) => `shared${i}`);
    for (let n = 0; n < 200; n += 1) {
      const own = Array.from({ length: 300 }, (_part, i) => `own${n}-${i}`);
      sound.add('kano', [...shared, ...own], n * 200);
    }
    assert.ok(shared.every((part) => sound.has(part, 40_000)));
    assert.ok(sound.forgotten > 0);
  });

  it('limits the parts of all customers together', () => {
    const sound = new SoundParts();
    const customers = Array.from({ length: 20 }, (_item, i) => `c${i}`);
    const partsOf = (customer: string) =>
      Array.from({ length: 2 * MAX_PARTS_PER_GENERATION }, (_item, i) => `${customer}-${i}`);
    sound.add('quiet', ['a'], 0);
    customers.forEach((customer) => sound.add(customer, partsOf(customer), 0));
    const known = customers.flatMap(partsOf).filter((part) => sound.has(part, 1));
    assert.ok(known.length <= MAX_SOUND_PARTS);
    assert.ok(sound.has('a', 1));
  });

  it('keeps the parts of a customer beside one that sends thousands of new ones', () => {
    const sound = new SoundParts();
    sound.add('quiet', ['a'], 0);
    const last = 3 * MAX_PARTS_PER_GENERATION;
    Array.from({ length: last + 1 }, (_item, i) => sound.add('loud', [`m${i}`], i / 10_000));
    assert.ok(sound.has('a', 10));
    assert.ok(!sound.has('m0', 10));
    assert.ok(sound.has(`m${last}`, 10));
    assert.equal(sound.forgotten, 2 * MAX_PARTS_PER_GENERATION);
  });
});
