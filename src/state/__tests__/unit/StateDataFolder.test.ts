import assert from 'node:assert/strict';
import { mkdtemp, open, readFile, rm, writeFile } from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { StateCorruptError, StateDataFolder } from '../../index.js';

describe('StateDataFolder', () => {
  let folder = '';
  const journal = () => path.join(folder, 'journal.bin');

  beforeEach(async () => {
    folder = await mkdtemp(path.join(os.tmpdir(), 'laburnumgauge-'));
  });

  afterEach(async () => {
    await rm(folder, { recursive: true });
  });

  async function writeThree(): Promise<void> {
    const data = await StateDataFolder.open(folder, 'c1');
    await data.append([{ n: 1 }]);
    await data.append([{ n: 2 }]);
    await data.append([{ n: 3 }]);
    await data.close();
  }

  async function recover(): Promise<readonly unknown[]> {
    const data = await StateDataFolder.open(folder, 'c1');
    await data.close();
    return data.recovered;
  }

  it('recovers synced records and its identity', async () => {
    await writeThree();
    const data = await StateDataFolder.open(folder, 'c1');
    const again = await StateDataFolder.open(folder, 'c1');
    assert.deepEqual(data.recovered, [{ n: 1 }, { n: 2 }, { n: 3 }]);
    assert.equal(data.identity.replica, again.identity.replica);
    await data.close();
    await again.close();
  });

  // The host loses power during its last write. That record was never acknowledged, so the replica
  // starts without it, and its next record follows the last complete one.
  it('truncates a torn last record and appends after the one before', async () => {
    await writeThree();
    const bytes = await readFile(journal());
    await writeFile(journal(), bytes.subarray(0, bytes.length - 2));
    const data = await StateDataFolder.open(folder, 'c1');
    assert.deepEqual(data.recovered, [{ n: 1 }, { n: 2 }]);
    await data.append([{ n: 4 }]);
    await data.close();
    assert.deepEqual(await recover(), [{ n: 1 }, { n: 2 }, { n: 4 }]);
  });

  // A sector in the middle gets corrupted. The records after it were synced and acknowledged; starting
  // without them would lose votes and accepted changes, so the replica refuses to start.
  it('refuses a corrupt record before the last one, with file and offset', async () => {
    await writeThree();
    const bytes = await readFile(journal());
    const second = 8 + bytes.readUInt32LE(0);
    bytes.writeUInt8(255 - bytes.readUInt8(second + 9), second + 9);
    await writeFile(journal(), bytes);
    await assert.rejects(
      recover(),
      (err) => err instanceof StateCorruptError && err.offset === second && err.file === journal(),
    );
  });

  it('creates a new identity after the folder is lost', async () => {
    const first = await StateDataFolder.open(folder, 'c1');
    await first.close();
    await rm(folder, { recursive: true });
    const second = await StateDataFolder.open(folder, 'c1');
    await second.close();
    assert.notEqual(first.identity.replica, second.identity.replica);
  });

  it('contains only the new records after a rewrite', async () => {
    await writeThree();
    const data = await StateDataFolder.open(folder, 'c1');
    await data.rewrite([{ n: 9 }]);
    await data.append([{ n: 10 }]);
    await data.close();
    assert.deepEqual(await recover(), [{ n: 9 }, { n: 10 }]);
  });
});

describe('StateDataFolder on a disk that refuses writes', () => {
  // While a disk is full, a record is written to the file but its sync fails, and the replica appends the
  // same record again later. At the next start the record must be there once: with a duplicate or a torn
  // frame in between, the log would be read wrongly or not at all.
  it('keeps one copy of a record that was appended again after a failure', async () => {
    const folder = await mkdtemp(path.join(os.tmpdir(), 'lg-full-'));
    const data = await StateDataFolder.open(folder, 'c1');
    await data.append(['first']);
    const probe = await open(path.join(folder, 'journal.bin'), 'r');
    const handles = Object.getPrototypeOf(probe) as { datasync: () => Promise<void> };
    const refused = mock.method(handles, 'datasync', async () => {
      throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' });
    });
    await assert.rejects(data.append(['second']), /no space/);
    await assert.rejects(data.append(['second']), /no space/);
    refused.mock.restore();
    await data.append(['second']);
    await data.append(['third']);
    await probe.close();
    await data.close();
    const again = await StateDataFolder.open(folder, 'c1');
    assert.deepEqual(again.recovered, ['first', 'second', 'third']);
    await again.close();
    await rm(folder, { recursive: true });
  });
});
