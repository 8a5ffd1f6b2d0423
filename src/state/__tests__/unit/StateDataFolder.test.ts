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

  it('finds what was synced, under the same identity', async () => {
    await writeThree();
    const data = await StateDataFolder.open(folder, 'c1');
    const again = await StateDataFolder.open(folder, 'c1');
    assert.deepEqual(data.recovered, [{ n: 1 }, { n: 2 }, { n: 3 }]);
    assert.equal(data.identity.replica, again.identity.replica);
    await data.close();
    await again.close();
  });

  // The host loses power in the middle of its last write. Nobody was answered for that record, so
  // the replica starts without it, and what it writes next follows the last whole record.
  it('cuts a torn tail and goes on behind it', async () => {
    await writeThree();
    const bytes = await readFile(journal());
    await writeFile(journal(), bytes.subarray(0, bytes.length - 2));
    const data = await StateDataFolder.open(folder, 'c1');
    assert.deepEqual(data.recovered, [{ n: 1 }, { n: 2 }]);
    await data.append([{ n: 4 }]);
    await data.close();
    assert.deepEqual(await recover(), [{ n: 1 }, { n: 2 }, { n: 4 }]);
  });

  // A sector in the middle goes bad. Records behind it were synced and answered for; starting
  // without them would forget votes and acceptances, so the replica refuses to start at all.
  it('refuses a corrupt middle with file and offset', async () => {
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

  it('has a new identity once the folder is lost', async () => {
    const first = await StateDataFolder.open(folder, 'c1');
    await first.close();
    await rm(folder, { recursive: true });
    const second = await StateDataFolder.open(folder, 'c1');
    await second.close();
    assert.notEqual(first.identity.replica, second.identity.replica);
  });

  it('holds just the new records after a rewrite', async () => {
    await writeThree();
    const data = await StateDataFolder.open(folder, 'c1');
    await data.rewrite([{ n: 9 }]);
    await data.append([{ n: 10 }]);
    await data.close();
    assert.deepEqual(await recover(), [{ n: 9 }, { n: 10 }]);
  });
});

describe('StateDataFolder on a disk that refuses writes', () => {
  // A disk is full for some seconds: the write of a record reaches the file, its sync fails, and the
  // replica appends the same record again once it can. At the next start the record must be there once;
  // twice, or with a torn frame in between, the log would be read wrongly or not at all.
  it('keeps a record once that was appended again after a failure', async () => {
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
