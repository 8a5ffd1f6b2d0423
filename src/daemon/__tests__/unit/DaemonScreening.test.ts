import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { QUARANTINE_CRASHES } from '../../../coordination/index.js';
import type { MemberRecord, QuarantineUpdate, RequestIdentity } from '../../../protocol/index.js';
import { EntryMetrics } from '../../DaemonEntryMetrics.js';
import type { Runtime } from '../../DaemonRuntime.js';
import { DaemonScreening } from '../../DaemonScreening.js';

const FATAL_PART = 'fatal';

/** About as many parts as the head of a request can name. */
const PARTS_PER_HEAD = 1_300;

const CRASHES = QUARANTINE_CRASHES.single;

/** Entry processes that exchange their suspects at once. */
class EntryProcesses {
  readonly screenings: readonly DaemonScreening[];

  #now = 0;

  #crashes = 0;

  constructor(count: number) {
    const received: QuarantineUpdate[][] = Array.from({ length: count }, () => []);
    this.screenings = received.map((_updates, self) => {
      const registry = new Registry();
      const runtime = {
        registry,
        log: pino({ level: 'silent' }),
        now: () => this.#now,
        random: () => (self + 1) / (count + 1),
        clocks: () => ({ monotonic: this.#now, wall: this.#now }),
      } as unknown as Runtime;
      return new DaemonScreening({
        runtime,
        metrics: new EntryMetrics(registry, () => 0),
        send: (update) =>
          received.forEach((updates, other) => {
            if (other !== self) {
              updates.push(update);
            }
          }),
      });
    });
    this.#received = received;
  }

  readonly #received: readonly QuarantineUpdate[][];

  /** Another endpoint crashes during some requests, which were in progress from one entry process. */
  crash(requests: readonly RequestIdentity[]): void {
    this.#now += 1_000;
    this.#crashes += 1;
    const endpoint = { id: `i-${this.#crashes}`, incarnation: 1 } as MemberRecord;
    const screening = this.screenings[this.#crashes % this.screenings.length];
    requests.forEach((identity, n) => screening?.onEngineCrash(endpoint, 0, identity, `r${n}`));
    this.#deliver();
  }

  wait(ms: number): void {
    this.#now += ms;
  }

  answer(at: number, identity: RequestIdentity): void {
    this.screenings[at]?.onAnswered(identity);
    this.#deliver();
  }

  areHolding(identity: RequestIdentity): readonly boolean[] {
    return this.screenings.map((screening) => screening.isQuarantined(identity, CRASHES));
  }

  #deliver(): void {
    while (this.#received.some((updates) => updates.length > 0)) {
      this.#received.forEach((updates, self) =>
        updates.splice(0).forEach((update) => this.screenings[self]?.onUpdate(update)),
      );
    }
  }
}

let counter = 0;

function requestWith(parts: readonly string[], customer = 'kano'): RequestIdentity {
  counter += 1;
  return {
    customer,
    method: 'POST',
    host: 'desk.example',
    path: '/stream/x',
    body: Buffer.from(`body ${counter}`),
    sharedParts: parts,
  };
}

/** Names of parts, with the fatal one at a place. */
function partsWithFatalAt(place: number, nameOf: (n: number) => string): readonly string[] {
  return Array.from({ length: PARTS_PER_HEAD }, (_part, n) =>
    n === place ? FATAL_PART : nameOf(n),
  );
}

const PLACES = [0, 31, 32, 35, 579, PARTS_PER_HEAD - 1];

describe('DaemonScreening', () => {
  // Guards against a part that crashes endpoint after endpoint since only the first parts of a prompt are looked at.
  PLACES.forEach((place) => {
    it(`holds a part at place ${place} of a prompt whose other parts sound requests share`, () => {
      const entries = new EntryProcesses(3);
      const shared = Array.from({ length: PARTS_PER_HEAD }, (_part, n) => `shared ${n}`);
      entries.answer(0, requestWith(shared));
      const fatalParts = partsWithFatalAt(place, (n) => `shared ${n}`);
      for (let n = 0; n < CRASHES; n += 1) {
        entries.crash([requestWith(fatalParts, `customer ${n}`), requestWith(shared)]);
      }
      assert.deepEqual(entries.areHolding(requestWith([FATAL_PART])), [true, true, true]);
      assert.deepEqual(entries.areHolding(requestWith(shared)), [false, false, false]);
    });
  });

  // Guards against sound requests that are all held for parts that they share with the first ones, which crashed endpoints.
  it('holds no sound request where nothing was answered before the crashes', () => {
    const entries = new EntryProcesses(3);
    const shared = Array.from({ length: PARTS_PER_HEAD }, (_part, n) => `shared ${n}`);
    const fatalParts = partsWithFatalAt(35, (n) => `shared ${n}`);
    const soundParts = shared.filter((_part, n) => n !== 35);
    for (let n = 0; n <= CRASHES; n += 1) {
      entries.crash([requestWith(fatalParts), requestWith(soundParts)]);
    }
    assert.deepEqual(entries.areHolding(requestWith(fatalParts)), [true, true, true]);
    assert.deepEqual(entries.areHolding(requestWith(soundParts)), [false, false, false]);
    entries.answer(0, requestWith(soundParts));
    assert.deepEqual(entries.areHolding(requestWith([FATAL_PART])), [true, true, true]);
  });

  // Guards against a fatal part that is dropped as one of too many suspects at each of its crashes.
  [0, 35, PARTS_PER_HEAD - 1].forEach((place) => {
    it(`holds a part at place ${place} of prompts whose other parts never come again`, () => {
      const entries = new EntryProcesses(3);
      for (let n = 0; n < 5; n += 1) {
        entries.crash([requestWith(partsWithFatalAt(-1, (part) => `earlier ${n} ${part}`))]);
      }
      for (let n = 0; n < CRASHES; n += 1) {
        entries.crash([
          requestWith(partsWithFatalAt(place, (part) => `own ${n} ${part}`)),
          requestWith(partsWithFatalAt(-1, (part) => `beside ${n} ${part}`)),
        ]);
      }
      assert.deepEqual(entries.areHolding(requestWith([FATAL_PART])), [true, true, true]);
      assert.deepEqual(entries.areHolding(requestWith(['own 0 1', 'own 2 1'])), [
        false,
        false,
        false,
      ]);
    });
  });

  /** Endpoints crash for other causes before anything was answered, so that parts that all prompts share are held. */
  function crashWithShared(entries: EntryProcesses, count: number): void {
    for (let n = 0; n < count; n += 1) {
      entries.crash([requestWith(['shared 1', 'shared 2', `own ${n}`])]);
    }
  }

  /** Sends a request ten times a second for half a minute; calls `onSent` with each that isn't held. */
  function sendFor30s(entries: EntryProcesses, onSent: (at: number, id: RequestIdentity) => void) {
    for (let n = 0; n < 300; n += 1) {
      entries.wait(100);
      const identity = requestWith(['shared 1', 'shared 2', 'other']);
      const at = n % entries.screenings.length;
      if (entries.screenings[at]?.isQuarantined(identity, CRASHES) === false) {
        onSent(at, identity);
      }
    }
  }

  // Guards against all requests held for parts that all prompts share, so that no answer can clear them any more.
  it('tries held parts where nothing is answered, and releases them with an answer', () => {
    const entries = new EntryProcesses(3);
    crashWithShared(entries, 5);
    const sound = requestWith(['shared 1', 'shared 2']);
    assert.deepEqual(entries.areHolding(sound), [true, true, true]);
    let sent = 0;
    sendFor30s(entries, (at, identity) => {
      sent += 1;
      entries.answer(at, identity);
    });
    assert.deepEqual(entries.areHolding(sound), [false, false, false]);
    assert.ok(sent > 200, `${sent} of 300 sent`);
  });

  // Guards against trials that go on to crash endpoints: after the fifth crash of a part hardly any may reach them.
  it('tries held parts only up to their fifth crash', () => {
    const entries = new EntryProcesses(3);
    crashWithShared(entries, 4);
    let sent = 0;
    sendFor30s(entries, (_at, identity) => {
      sent += 1;
      entries.crash([identity]);
      assert.deepEqual(entries.areHolding(identity), [true, true, true]);
    });
    assert.equal(sent, 2);
  });

  it('tries no parts while other requests of the customer are answered', () => {
    const entries = new EntryProcesses(1);
    crashWithShared(entries, 4);
    const held = requestWith(['shared 1', 'shared 2']);
    for (let n = 0; n < 300; n += 1) {
      entries.wait(100);
      entries.answer(0, requestWith(['another part']));
      assert.deepEqual(entries.areHolding(held), [true]);
    }
  });
});
