import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { pino } from 'pino';
import {
  EMPTY_MEMBERSHIP,
  stepMembership,
  TOMBSTONE_MS,
  type MembershipState,
} from '../../../coordination/index.js';
import type { MemberRecord, MemberStatus } from '../../../protocol/index.js';
import {
  applyCommand,
  EMPTY_CONTROL,
  type CommandResult,
  type ControlState,
} from '../../../state/index.js';
import { DaemonDepartures, type DeparturesOptions } from '../../DaemonDepartures.js';

const LONG_MS = 60_000;

const record = (version: number, status: MemberStatus): MemberRecord => ({
  id: 'i-1',
  role: 'endpoint',
  zone: 'z',
  address: '127.0.0.1:1',
  incarnation: 5,
  version,
  status,
});

const GONE = record(9, 'gone');

/** The hub and the leader of a control process; the log is applied at once, other voters hold it up to `held`. */
class FakeControl {
  control: ControlState = EMPTY_CONTROL;

  membership: MembershipState = EMPTY_MEMBERSHIP;

  held = Infinity;

  leads = true;

  now = 0;

  readonly proposed: string[] = [];

  readonly departures: DaemonDepartures;

  constructor(replaced: Partial<DeparturesOptions> = {}) {
    this.departures = new DaemonDepartures({
      consensus: this.#consensus,
      hub: this.#hub,
      log: pino({ level: 'silent' }),
      now: () => this.now + performance.now(),
      lossesBorne: 1,
      callLeader: async (requests) => this.departures.decide(requests),
      ...replaced,
    });
  }

  get #hub(): DeparturesOptions['hub'] {
    const step = (departed: MemberRecord): void => {
      const input = { type: 'hello', record: departed } as const;
      this.membership = stepMembership(this.membership, input, this.now).state;
    };
    const membership = (): MembershipState => this.membership;
    return {
      get membership() {
        return membership();
      },
      onHeartbeat: step,
      onDeparture: step,
    };
  }

  get #consensus(): DeparturesOptions['consensus'] {
    const state = (): unknown => ({
      id: 'a',
      role: this.leads ? 'leader' : 'follower',
      members: { voters: ['a', 'b', 'c'], learners: [] },
      progress: { b: { match: this.held }, c: { match: this.held } },
    });
    const control = (): ControlState => this.control;
    return {
      get state() {
        return state();
      },
      get control() {
        return control();
      },
      readIndex: async () => (this.leads ? this.control.index : null),
      propose: async (command: never) => this.#propose(command),
    } as unknown as DeparturesOptions['consensus'];
  }

  #propose(command: { readonly kind: string }): CommandResult | null {
    if (!this.leads) {
      return null;
    }
    this.proposed.push(command.kind);
    const applied = applyCommand(this.control, command as never, this.control.index + 1);
    this.control = applied.state;
    return applied.result;
  }
}

describe('DaemonDepartures', () => {
  // Guards against an acknowledged departure that is lost with the leader's disk.
  it('acknowledges a departure, also a repeated one, only once more disks hold it than may be lost', async () => {
    const control = new FakeControl();
    control.held = 0;
    assert.equal((await control.departures.depart(GONE)).result, 'unavailable');
    assert.equal((await control.departures.depart(GONE)).result, 'unavailable');
    control.held = 1;
    assert.deepEqual(await control.departures.depart(GONE), { result: 'accepted', index: 1 });
    assert.deepEqual(control.proposed, ['depart']);
  });

  // Guards against an endpoint that gets requests although a zone that is cut off has heard that it leaves.
  it('takes effect without a leader, and is not acknowledged', async () => {
    const control = new FakeControl();
    control.leads = false;
    assert.equal((await control.departures.depart(GONE)).result, 'unavailable');
    assert.equal(control.membership.directory.get('i-1')?.status, 'gone');
  });

  // Guards against an endpoint that waits for its answer longer than it does before it calls another process.
  it('answers a departure that is not decided in time', async () => {
    const control = new FakeControl({
      callLeader: async () => delay(LONG_MS, { result: 'accepted', index: 1 }, { ref: false }),
    });
    const startedAt = performance.now();
    assert.equal((await control.departures.depart(GONE)).result, 'unavailable');
    assert.ok(performance.now() - startedAt < 1_000);
  });

  // Guards against an entry of the log for each heartbeat of a draining endpoint.
  it('commits that an endpoint is leaving once, and again after it was ready meanwhile', async () => {
    const control = new FakeControl();
    const { departures } = control;
    await departures.depart(record(7, 'leaving'));
    assert.equal((await departures.depart(record(8, 'leaving'))).result, 'accepted');
    assert.deepEqual(control.proposed, ['depart']);
    const ready = { type: 'hello', record: record(9, 'serving') } as const;
    control.membership = stepMembership(control.membership, ready, 0).state;
    await departures.depart(record(10, 'leaving'));
    assert.equal(control.control.departures['i-1']?.version, 10);
    await departures.depart(record(11, 'gone'));
    assert.deepEqual(control.proposed, ['depart', 'depart', 'depart']);
  });

  // Guards against a wave of departures that takes an entry of the log each, and so minutes until the last is
  // acknowledged.
  it('commits departures that arrive together in few entries', async () => {
    const control = new FakeControl();
    const wave = Array.from({ length: 300 }, (_item, i) => ({ ...GONE, id: `i-${i}` }));
    const replies = await Promise.all(
      wave.map(async (departed) => control.departures.depart(departed)),
    );
    assert.ok(replies.every(({ result }) => result === 'accepted'));
    assert.equal(Object.keys(control.control.departures).length, wave.length);
    assert.deepEqual(control.proposed, ['depart', 'depart', 'depart']);
  });

  // Guards against departures that pile up for ever, and against one that is dropped while late messages may arrive.
  it('drops departures from the log once no late message can arrive', async () => {
    const control = new FakeControl();
    await control.departures.depart(GONE);
    await control.departures.dropExpired();
    control.now += TOMBSTONE_MS - LONG_MS;
    await control.departures.dropExpired();
    assert.deepEqual(Object.keys(control.control.departures), ['i-1']);
    control.now += 2 * LONG_MS;
    await control.departures.dropExpired();
    assert.deepEqual(control.control.departures, {});
  });

  // Guards against a leader that has just been elected, or has restarted, and drops what it has only just read.
  it('measures ages from when this process first saw a departure', async () => {
    const control = new FakeControl();
    control.control = { ...EMPTY_CONTROL, departures: { 'i-1': GONE } };
    control.now += 2 * TOMBSTONE_MS;
    await control.departures.dropExpired();
    assert.deepEqual(Object.keys(control.control.departures), ['i-1']);
  });
});
