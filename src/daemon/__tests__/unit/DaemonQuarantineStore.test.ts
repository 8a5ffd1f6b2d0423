import assert from 'node:assert/strict';
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { pino } from 'pino';
import { SUSPECT_RETENTION_MS } from '../../../coordination/index.js';
import { DaemonQuarantine } from '../../DaemonQuarantine.js';
import { DaemonQuarantineStore } from '../../DaemonQuarantineStore.js';

const WALL = 1_700_000_000_000;

describe('DaemonQuarantineStore', () => {
  let folder = '';
  let now = 0;
  let wall = WALL;

  /** A control process whose monotonic clock has started anew. */
  function startProcess() {
    now = 0;
    const log = pino({ level: 'silent' });
    const runtime = { now: () => now, clocks: () => ({ monotonic: now, wall }), log };
    const quarantine = new DaemonQuarantine({ runtime, publish: () => undefined });
    return { quarantine, store: new DaemonQuarantineStore({ folder, quarantine, runtime }) };
  }

  function crash(quarantine: DaemonQuarantine, incarnationKey: string, digest = 'a'): void {
    const lost = { digest, customer: 'kano', parts: ['p'], request: 'r1' };
    quarantine.recordSuspects(incarnationKey, [lost], wall);
  }

  const readSaved = async () => readFile(path.join(folder, 'suspects.json'), 'utf8');

  beforeEach(async () => {
    wall = WALL;
    folder = await mkdtemp(path.join(tmpdir(), 'suspects-'));
  });

  afterEach(async () => rm(folder, { recursive: true }));

  // Guards against requests that crash endpoints anew after all processes have ended.
  it('returns suspects and cleared crashes to the next process', async () => {
    const first = startProcess();
    await first.store.load();
    crash(first.quarantine, 'i-1');
    crash(first.quarantine, 'i-2');
    crash(first.quarantine, 'i-2', 'released');
    first.quarantine.clear(['released']);
    await first.store.save();
    const second = startProcess();
    await second.store.load();
    const counts = ['a', 'p', 'released'].map((digest) => second.quarantine.crashCount(digest));
    assert.deepEqual(counts, [2, 2, 0]);
    crash(second.quarantine, 'i-2', 'released');
    assert.equal(second.quarantine.crashCount('released'), 0);
  });

  it('counts the time until the next process towards the retention, and none if the clock was set back', async () => {
    const first = startProcess();
    crash(first.quarantine, 'i-1');
    await first.store.save();
    wall += 60_000;
    const second = startProcess();
    await second.store.load();
    assert.equal(second.quarantine.quarantinedForMs('a'), SUSPECT_RETENTION_MS - 60_000);
    wall = WALL - 60_000;
    const third = startProcess();
    await third.store.load();
    assert.equal(third.quarantine.quarantinedForMs('a'), SUSPECT_RETENTION_MS);
    wall = WALL + SUSPECT_RETENTION_MS;
    const last = startProcess();
    await last.store.load();
    assert.equal(last.quarantine.crashCount('a'), 0);
  });

  it('writes changes only, and once a minute so that suspects age in the file', async () => {
    const { quarantine, store } = startProcess();
    await store.save();
    await assert.rejects(readSaved());
    crash(quarantine, 'i-1');
    await store.save();
    const saved = await readSaved();
    now = 59_999;
    wall += now;
    await store.save();
    assert.equal(await readSaved(), saved);
    now += 1;
    await store.save();
    assert.match(await readSaved(), /"ageMs":60000/);
  });

  // Guards against a process that doesn't start, or stops, for a file that it can do without.
  it('starts without a file that cannot be read, and writes again after a failed write', async () => {
    await writeFile(path.join(folder, 'suspects.json'), '{"savedAt":1');
    const { quarantine, store } = startProcess();
    await store.load();
    crash(quarantine, 'i-1');
    const obstacle = path.join(folder, 'suspects.json.new');
    await mkdir(obstacle);
    await store.save();
    assert.equal(await readSaved(), '{"savedAt":1');
    await rm(obstacle, { recursive: true });
    now = 5_000;
    await store.save();
    assert.match(await readSaved(), /"digest":"a"/);
  });
});
