import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import type { MemberRecord, RoutePlan } from '../../../../protocol/index.js';
import {
  applyCommand,
  EMPTY_CONTROL,
  type ControlCommand,
  type ControlState,
} from '../../../../state/index.js';
import { DirectConfig } from '../../DirectConfig.js';
import { DIRECT_FLEET, entriesOfDocument } from '../../DirectDocument.js';

/** Log of control processes: documents and evacuations, each with the index of its entry. */
class Log {
  state: ControlState = EMPTY_CONTROL;

  replace(version: number): this {
    const entries = entriesOfDocument(`document ${version}`);
    const document = { kind: 'replace', fleet: DIRECT_FLEET, digest: `${version}` } as const;
    return this.#append({ ...document, version, entries });
  }

  evacuate(zone: string, evacuated = true): this {
    return this.#append({ kind: 'evacuate', zone, evacuated, base: this.state.config.index });
  }

  #append(command: ControlCommand): this {
    this.state = applyCommand(this.state, command, this.state.index + 1).state;
    return this;
  }
}

function open() {
  const clock = { now: 0 };
  const decoded: string[] = [];
  const finished: [string, number][] = [];
  const config = new DirectConfig({
    runtime: {
      now: () => clock.now,
      clocks: () => ({ monotonic: clock.now, wall: clock.now }),
      log: pino({ level: 'silent' }),
      registry: new Registry(),
    },
    documents: {
      readPlan: (text) => {
        decoded.push(text);
        if (text === 'document 13') {
          throw new Error('unreadable');
        }
        return { routes: [], services: [], customers: [] } as unknown as RoutePlan;
      },
    },
    revokeMs: 5_000,
    applyMs: 2_000,
    evacuateMs: 5_000,
    onEvacuationFinished: (zone) => finished.push([zone, clock.now]),
  });
  return { config, clock, decoded, finished };
}

const endpoint = (id: string, zone: string, service = 'desk'): MemberRecord => ({
  id,
  zone,
  role: 'endpoint',
  address: '10.0.0.1:1',
  incarnation: 1,
  version: 1,
  status: 'serving',
  offer: { fleet: DIRECT_FLEET, service, slots: 1 },
});

describe('DirectConfig', () => {
  // Guards against the decoding of a large document at each entry host whenever a zone is evacuated.
  it('decodes a document once, whatever is evacuated', () => {
    const { config, decoded } = open();
    const log = new Log().replace(1);
    config.receive(log.state.config);
    config.receive(log.evacuate('z1').state.config);
    config.receive(JSON.parse(JSON.stringify(log.evacuate('z1', false).state.config)));
    assert.deepEqual(decoded, ['document 1']);
    assert.deepEqual(config.evacuations.zones, []);
    config.receive(log.replace(2).state.config);
    assert.deepEqual(decoded, ['document 1', 'document 2']);
  });

  // Guards against an evacuation that is lost since a document of another version can't be read.
  it('puts an evacuation in force beside a document that it cannot read', () => {
    const { config } = open();
    const log = new Log().replace(1);
    config.receive(log.state.config);
    assert.throws(() => config.receive(log.replace(13).evacuate('z1').state.config));
    assert.equal(config.evacuations.mayReceive(endpoint('e1', 'z1')), false);
    assert.equal(config.evacuations.mayReceive(endpoint('e2', 'z2')), true);
  });

  // Guards against requests that wait or are retried at a host to which an evacuation doesn't get through.
  it('allows no sends once a newer configuration is overdue', () => {
    const { config, clock } = open();
    const log = new Log().replace(1);
    config.receive(log.state.config);
    config.onNewest(1, { monotonic: 0, wall: 0 });
    clock.now = 700;
    config.onNewest(2, { monotonic: 700, wall: 700 });
    const anywhere = endpoint('e2', 'z2');
    clock.now = 4_000;
    assert.equal(config.evacuations.mayReceive(anywhere), true);
    clock.now = 4_700;
    assert.equal(config.evacuations.mayReceive(anywhere), false);
    config.receive(log.evacuate('z1').state.config);
    assert.equal(config.evacuations.mayReceive(anywhere), true);
    assert.equal(config.evacuations.mayReceive(endpoint('e1', 'z1')), false);
  });

  // Guards against a service that is refused while it has endpoints elsewhere, or that isn't while it has none.
  it('refuses services whose endpoints are all in evacuated zones', () => {
    const { config, clock, finished } = open();
    const { evacuations } = config;
    const log = new Log().replace(1).evacuate('z1');
    config.receive(log.state.config);
    evacuations.setMembers([
      endpoint('a1', 'z1'),
      endpoint('a2', 'z2'),
      { ...endpoint('b1', 'z1', 'ledger'), status: 'gone' },
    ]);
    assert.deepEqual(evacuations.endpointsOf('desk'), ['a1']);
    assert.equal(evacuations.refusal('desk'), null);
    assert.equal(evacuations.refusal('unknown'), null);
    const refusal = evacuations.refusal('ledger');
    assert.equal(refusal?.status, 503);
    assert.equal(refusal.outcome, 'not_run');
    assert.match(refusal.message, /evacuated: z1$/);
    clock.now = 50;
    config.receive(log.evacuate('z1', false).state.config);
    evacuations.setMembers([endpoint('a1', 'z1')]);
    assert.equal(evacuations.refusal('desk'), null);
    assert.deepEqual(finished, [['z1', 50]]);
  });
});
