/**
 * The data folder of a control process: its identity and one append-only journal. What is not
 * synced does not exist: callers hear of nothing before `append` has resolved.
 */
import { randomUUID } from 'node:crypto';
import { mkdir, open, readFile, rename, type FileHandle } from 'node:fs/promises';
import path from 'node:path';
import { pack, unpack } from 'msgpackr';
import xxhash from 'xxhash-wasm';
import { StateCorruptError } from './StateCorruptError.js';

const { h32Raw: checksum } = await xxhash();

const HEADER_BYTES = 8;
const JOURNAL = 'journal.bin';
const IDENTITY = 'identity.json';

/** Who this replica is. A lost folder makes a new identity, never an empty old one. */
export interface Identity {
  readonly replica: string;
}

/** One frame for all records of an append, so that a torn write can't keep a later part of it. */
function frame(records: readonly unknown[]): Buffer {
  const body = pack(records);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32LE(body.length, 0);
  header.writeUInt32LE(checksum(body), 4);
  return Buffer.concat([header, body]);
}

/** Reads the frame at an offset; undefined where there is no valid one. */
function frameAt(data: Buffer, offset: number): { body: Buffer; next: number } | undefined {
  if (offset + HEADER_BYTES > data.length) {
    return undefined;
  }
  const length = data.readUInt32LE(offset);
  const next = offset + HEADER_BYTES + length;
  if (length === 0 || next > data.length) {
    return undefined;
  }
  const body = data.subarray(offset + HEADER_BYTES, next);
  return checksum(body) === data.readUInt32LE(offset + 4) ? { body, next } : undefined;
}

async function syncDirectory(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  await handle.sync();
  await handle.close();
}

async function writeSynced(file: string, data: Uint8Array): Promise<void> {
  const temporary = `${file}.new`;
  const handle = await open(temporary, 'w');
  await handle.writeFile(data);
  await handle.sync();
  await handle.close();
  await rename(temporary, file);
  await syncDirectory(path.dirname(file));
}

/** Content of a file, empty if there is none. Any other error is the caller's. */
async function readIfExists(file: string): Promise<Buffer> {
  try {
    return await readFile(file);
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'ENOENT') {
      return Buffer.alloc(0);
    }
    throw err;
  }
}

async function readIdentity(file: string, name: string): Promise<Identity> {
  const text = (await readIfExists(file)).toString();
  if (text !== '') {
    return JSON.parse(text) as Identity;
  }
  const identity: Identity = { replica: `${name}.${randomUUID().slice(0, 8)}` };
  await writeSynced(file, Buffer.from(JSON.stringify(identity)));
  return identity;
}

/**
 * Splits a journal into records.
 *
 * Failure: the host lost power in the middle of a write. Symptom: the last record is incomplete;
 * it was never answered for, so it is cut. A bad record with a valid one behind it was once synced
 * and answered for: reading on would forget promises, so that is refused with file and offset.
 */
function readRecords(file: string, data: Buffer): { records: unknown[]; end: number } {
  const records: unknown[] = [];
  let offset = 0;
  let found = frameAt(data, offset);
  while (found !== undefined) {
    records.push(...(unpack(found.body) as unknown[]));
    offset = found.next;
    found = frameAt(data, offset);
  }
  for (let probe = offset + 1; probe < data.length; probe += 1) {
    if (frameAt(data, probe) !== undefined) {
      throw new StateCorruptError(file, offset);
    }
  }
  return { records, end: offset };
}

/** One folder on a disk, owned by one process. */
export class StateDataFolder {
  readonly #journal: string;

  readonly #identity: Identity;

  readonly #recovered: readonly unknown[];

  #handle: FileHandle;

  /** Bytes of the journal that were synced; a failed write may have left more behind them. */
  #syncedSize: number;

  #isTorn = false;

  private constructor(
    journal: string,
    identity: Identity,
    recovered: readonly unknown[],
    handle: FileHandle,
    size: number,
  ) {
    this.#syncedSize = size;
    this.#journal = journal;
    this.#identity = identity;
    this.#recovered = recovered;
    this.#handle = handle;
  }

  /**
   * Opens a folder, or makes it with a new identity.
   *
   * @throws {StateCorruptError} if the journal is damaged before its tail.
   */
  static async open(folder: string, name: string): Promise<StateDataFolder> {
    await mkdir(folder, { recursive: true });
    const identity = await readIdentity(path.join(folder, IDENTITY), name);
    const journal = path.join(folder, JOURNAL);
    const data = await readIfExists(journal);
    const { records, end } = readRecords(journal, data);
    const handle = await open(journal, 'a');
    if (end < data.length) {
      await handle.truncate(end);
      await handle.sync();
    }
    await syncDirectory(folder);
    return new StateDataFolder(journal, identity, records, handle, end);
  }

  get identity(): Identity {
    return this.#identity;
  }

  /** Records found at the start, in the order written. */
  get recovered(): readonly unknown[] {
    return this.#recovered;
  }

  /**
   * Appends records and syncs them: one write and one sync for all. After a failure the same records
   * may be appended again.
   *
   * Failure: a full disk takes a part of a frame, and a later append stands behind it. Symptom: at the
   * next start the journal ends at the torn frame, and what was answered for is lost. Enough: what a
   * failed append may have left is cut off before the next one.
   */
  async append(records: readonly unknown[]): Promise<void> {
    if (this.#isTorn) {
      await this.#handle.truncate(this.#syncedSize);
      this.#isTorn = false;
    }
    const data = frame(records);
    this.#isTorn = true;
    await this.#handle.appendFile(data);
    await this.#handle.datasync();
    this.#isTorn = false;
    this.#syncedSize += data.length;
  }

  /** Replaces the whole journal, atomically: after a crash either the old or the new is there. */
  async rewrite(records: readonly unknown[]): Promise<void> {
    const data = frame(records);
    await writeSynced(this.#journal, data);
    const previousHandle = this.#handle;
    this.#handle = await open(this.#journal, 'a');
    this.#syncedSize = data.length;
    this.#isTorn = false;
    await previousHandle.close();
  }

  async close(): Promise<void> {
    await this.#handle.close();
  }
}
