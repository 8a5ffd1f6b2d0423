/**
 * The data folder of a control process: its identity and one append-only journal. Callers must not
 * act on records before `append` has resolved, since they aren't synced to disk until then.
 */
import { randomUUID } from 'node:crypto';
import { mkdir, open, type FileHandle } from 'node:fs/promises';
import path from 'node:path';
import { pack, unpack } from 'msgpackr';
import xxhash from 'xxhash-wasm';
import { StateCorruptError } from './StateCorruptError.js';
import { readIfExists, syncDirectory, writeSynced } from './StateFiles.js';

const { h32Raw: checksum } = await xxhash();

const HEADER_BYTES = 8;
const JOURNAL = 'journal.bin';
const IDENTITY = 'identity.json';

/**
 * Identity of the replica. After the loss of its folder it gets a new one, so that an empty journal is never taken for
 * that of the old replica.
 */
export interface Identity {
  readonly replica: string;
}

/** Encodes all records of an append as one frame, so that a torn write loses all of them instead of only some. */
function frame(records: readonly unknown[]): Buffer {
  const body = pack(records);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32LE(body.length, 0);
  header.writeUInt32LE(checksum(body), 4);
  return Buffer.concat([header, body]);
}

/** Reads the frame at an offset; undefined if there is no valid one. */
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
 * Splits a journal into records; `end` is the offset behind the last valid one.
 *
 * A host that loses power during a write leaves an incomplete last record. It was never acknowledged, so it is left
 * out. A corrupt record before a valid one had been synced and acknowledged; continuing without it would lose votes and
 * accepted changes, so this throws with file and offset.
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

/** A folder on disk, owned by one process. */
export class StateDataFolder {
  readonly #journal: string;

  readonly #identity: Identity;

  readonly #recovered: readonly unknown[];

  #handle: FileHandle;

  /** Bytes of the journal that are synced; a failed write may have left more bytes after them. */
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
   * Opens a folder, or creates it with a new identity.
   *
   * @throws {StateCorruptError} if the journal is corrupt before its last record.
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

  /** Records found when the folder was opened, in the order written. */
  get recovered(): readonly unknown[] {
    return this.#recovered;
  }

  /**
   * Appends records with one write and one sync. After a failure the same records may be appended again.
   *
   * On a full disk, a failed append may leave a part of a frame. Before the next append the journal is truncated to its
   * synced size; otherwise reading would stop at the torn frame and acknowledged records behind it would be lost.
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

  /** Replaces the whole journal atomically: after a crash either the old or the new one is complete. */
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
