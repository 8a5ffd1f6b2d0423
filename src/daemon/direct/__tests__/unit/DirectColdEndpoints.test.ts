import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { Registry } from 'prom-client';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { maxColdArrivals } from '../../../../coordination/__tests__/utils/ColdModel.js';
import type { ColdSpec, MemberRecord } from '../../../../protocol/index.js';
import { DEFAULT_COLD_BOUNDS } from '../../DirectColdEndpoints.js';
import { DirectSendSlots } from '../../DirectSendSlots.js';

const SPEC: ColdSpec = { startMs: 10_000, perSecond: 15 };
const MAX_IN_A_SECOND = 27;
const STEP_MS = 20;

function endpoint(n: number, extra: Partial<MemberRecord> = {}): MemberRecord {
  return {
    id: `i-${n}`,
    role: 'endpoint',
    zone: 'z1',
    address: `10.0.0.${n}:80`,
    incarnation: 1,
    version: 1,
    status: 'serving',
    offer: { fleet: 'direct', service: 's', slots: 2 },
    ...extra,
  };
}

function host(id: string): MemberRecord {
  return { ...endpoint(0), id, role: 'entry', offer: undefined } as unknown as MemberRecord;
}

interface TestHost {
  readonly slots: DirectSendSlots;
  readonly lines: { readonly event: string; readonly source: string }[];
  readonly registry: Registry;
  readonly receive: (records: readonly MemberRecord[]) => void;
}

/** Entry hosts with one clock, on which they got the first list at 0. */
class TestHosts {
  now = 0;

  contactAt: number | null = null;

  spec: ColdSpec | undefined = SPEC;

  readonly #members: readonly MemberRecord[];

  constructor(count: number) {
    this.#members = Array.from({ length: count }, (_item, i) => host(`entry-${i}`));
  }

  start(self: string, first: readonly MemberRecord[] = []): TestHost {
    const view = new Map<string, MemberRecord>();
    const lines: TestHost['lines'] = [];
    const registry = new Registry();
    const log = pino({}, { write: (line) => lines.push(JSON.parse(line) as (typeof lines)[0]) });
    const slots = new DirectSendSlots({
      self,
      runtime: { now: () => this.now, log, registry },
      send: () => undefined,
      serving: (id) => view.get(id),
      mayReceive: () => true,
      cold: {
        bounds: DEFAULT_COLD_BOUNDS,
        specOf: () => this.spec,
        contactAt: () => this.contactAt ?? this.now,
      },
    });
    slots.cold.onRecords([...this.#members, ...first], true);
    first.forEach((record) => view.set(record.id, record));
    const receive = (records: readonly MemberRecord[]): void => {
      records.forEach((record) => view.set(record.id, record));
      slots.cold.onRecords(records, false);
    };
    return { slots, lines, registry, receive };
  }

  startAll(): readonly TestHost[] {
    return this.#members.map(({ id }) => this.start(id));
  }
}

/** A host that may send to the endpoint at once. */
function loneHost(first: readonly MemberRecord[] = []): { hosts: TestHosts; entry: TestHost } {
  const hosts = new TestHosts(1);
  const entry = hosts.start('entry-0', first);
  hosts.now = 60_000;
  return { hosts, entry };
}

const isBlocked = ({ slots }: TestHost, id: string): boolean => slots.withBlocked([]).includes(id);

describe('DirectColdEndpoints', () => {
  // Load pattern: a zone of 24 endpoints returns at once under a demand that is 1.7 times what they tolerate together,
  // spread over all hosts. Guards against a share so cautious that cold endpoints serve far less than they can.
  [35, 300].forEach((count) => {
    it(`lets a zone that returns at once serve what it tolerates, with ${count} hosts`, () => {
      const hosts = new TestHosts(count);
      const entries = hosts.startAll();
      const zone = Array.from({ length: 24 }, (_item, i) => endpoint(i, { statedColdMs: 10_000 }));
      hosts.now = 60_000;
      entries.forEach(({ receive }) => receive(zone));
      const rng = xoroshiro128plus(45);
      const waiting = entries.map(() => 0);
      const arrivals = new Map(zone.map(({ id }) => [id, [] as number[]]));
      for (; hosts.now < 70_000; hosts.now += STEP_MS) {
        entries.forEach(({ slots }, i) => {
          waiting[i] = (waiting[i] ?? 0) + (uniformFloat64(rng) < (0.6 * STEP_MS) / count ? 1 : 0);
          const free = (waiting[i] ?? 0) > 0 && zone.find((item) => slots.start(item, false));
          if (free) {
            waiting[i] = (waiting[i] ?? 0) - 1;
            arrivals.get(free.id)?.push(hosts.now + uniformFloat64(rng) * 20);
          }
        });
      }
      const times = [...arrivals.values()].map((list) => list.sort((a, b) => a - b));
      const served = times.flat().length;
      const tolerated = zone.length * SPEC.perSecond * 10;
      assert.ok(served >= 0.8 * tolerated, `${served} of ${tolerated}`);
      const most = Math.max(...times.map(maxColdArrivals));
      assert.ok(most <= MAX_IN_A_SECOND, `${most} in a second`);
    });
  });

  // Guards against a cold rank of a group that is chosen like the others, and against requests that are refused while
  // the only endpoint could take them a moment later.
  it('excludes a cold rank without a send slot, and lets a request wait for the next one', () => {
    const { hosts, entry } = loneHost([endpoint(2)]);
    const rank = endpoint(1, { statedColdMs: 5_000 });
    entry.receive([rank]);
    assert.ok(entry.slots.start(rank, false));
    assert.deepEqual(entry.slots.withBlocked([]), ['i-1']);
    assert.ok(!entry.slots.start(rank, false));
    const slot = entry.slots.reserveNext('s', ['i-2'], 2_000);
    assert.equal(slot?.endpoint.id, 'i-1');
    hosts.now += slot?.waitMs ?? 0;
    assert.ok(entry.slots.start(rank, true));
    assert.ok(!entry.slots.start(rank, true), 'right after another');
  });

  it('ends the limit with the cold time, also for hosts that are not senders', () => {
    const hosts = new TestHosts(35);
    const entries = hosts.startAll();
    hosts.now = 60_000;
    entries.forEach(({ receive }) => receive([endpoint(1, { statedColdMs: 1_700 })]));
    const nonSenders = entries.filter(({ slots }) => (slots.next('s', [])?.waitMs ?? 0) === 1_700);
    assert.equal(nonSenders.length, 10);
    hosts.now += 1_700;
    assert.ok(entries.every((entry) => !isBlocked(entry, 'i-1')));
  });

  // Guards against hosts whose part changes with what is missing or wrong in reports.
  it('counts a new endpoint without a statement as cold, and one of the first list as warm', () => {
    const { hosts, entry } = loneHost([endpoint(2), endpoint(3, { statedColdMs: 70_000 })]);
    entry.receive([endpoint(1)]);
    const cold = entry.lines.map(({ event, source }) => [event, source]);
    assert.deepEqual(cold, [
      ['endpoint_cold', 'stated'],
      ['endpoint_cold', 'appeared'],
    ]);
    hosts.now += SPEC.startMs;
    entry.slots.tick();
    const last = entry.lines.at(-1);
    assert.deepEqual([last?.event, last?.source], ['endpoint_warm', 'ended']);
  });

  it('sends nothing while it has just started, or has long had no contact', () => {
    const { hosts, entry } = loneHost();
    const cold = endpoint(1, { statedColdMs: 300_000 });
    entry.receive([cold]);
    hosts.contactAt = hosts.now;
    hosts.now += 59_000;
    assert.ok(!entry.slots.start(cold, false));
    entry.slots.tick();
    hosts.contactAt = null;
    assert.ok(!entry.slots.start(cold, false), 'contact again');
    hosts.now += 3_000;
    assert.ok(entry.slots.start(cold, false));
    const restarted = hosts.start('entry-0', [cold]);
    assert.ok(!restarted.slots.start(cold, false));
    hosts.now += 3_000;
    assert.ok(restarted.slots.start(cold, false));
  });

  // Guards against a process that has just started and sends at will until its first tick after the configuration.
  it('limits a cold endpoint as soon as the configuration arrives after the first list', () => {
    const hosts = new TestHosts(2);
    hosts.spec = undefined;
    const rank = endpoint(1, { statedColdMs: 10_000 });
    const { slots } = hosts.start('entry-0', [rank]);
    hosts.spec = SPEC;
    assert.ok(!slots.start(rank, false), 'before the others know the host');
    hosts.now = 5_000;
    assert.ok(slots.start(rank, false));
    assert.ok(!slots.start(rank, false), 'right after another');
  });

  it('counts the endpoints of a zone as cold when its evacuation has ended, until they report', () => {
    const { hosts, entry } = loneHost([endpoint(1), endpoint(2, { zone: 'z2' })]);
    entry.slots.cold.onEvacuationFinished('z1');
    assert.equal(entry.lines.at(-1)?.source, 'evacuation');
    assert.equal(entry.lines.length, 1);
    hosts.now += 1_000;
    entry.receive([endpoint(1, { version: 2, statedColdMs: 0 })]);
    assert.equal(entry.lines.at(-1)?.event, 'endpoint_warm');
  });

  // A deployment that declares nothing for cold endpoints is served as before.
  it('limits nothing where the service declares nothing', async () => {
    const { hosts, entry } = loneHost();
    hosts.spec = undefined;
    const cold = endpoint(1, { statedColdMs: 5_000 });
    entry.receive([cold]);
    assert.deepEqual(entry.slots.withBlocked(['x']), ['x']);
    assert.ok([1, 2, 3].every(() => entry.slots.start(cold, false)));
    assert.deepEqual(entry.lines, []);
    assert.match(await entry.registry.metrics(), /laburnumgauge_cold_endpoints 0/);
  });
});
