/**
 * Keeps the suspects of a control process on its disk.
 *
 * Entry and control processes hold them in memory and pass them on. If all lose power or are killed at once, a request
 * that was quarantined would be sent again, and crash endpoints anew until it is recognized again.
 */
import path from 'node:path';
import * as z from 'zod';
import type { SuspectRecord } from '../protocol/index.js';
import { readIfExists, writeSynced } from '../state/index.js';
import type { DaemonQuarantine } from './DaemonQuarantine.js';
import type { Runtime } from './DaemonRuntime.js';

const FILE = 'suspects.json';

/** How often suspects are written without a change, ms, so that their ages in the file stay close to the true ones. */
const REFRESH_MS = 60_000;

/** Time after a failed write until the next one, ms. */
const RETRY_MS = 5_000;

const recordSchema = z.object({
  kind: z.enum(['request', 'part']),
  digest: z.string(),
  customer: z.string(),
  ends: z.array(z.string()),
  cleared: z.array(z.string()),
  ageMs: z.number().min(0),
  crashedAt: z.number(),
});

/** `savedAt` is the time of the write by the clock of the host, Unix ms. */
const fileSchema = z.object({ savedAt: z.number(), records: z.array(recordSchema) });

/** Dependencies of {@link DaemonQuarantineStore}. */
export interface QuarantineStoreOptions {
  /** The data folder of the process. */
  readonly folder: string;
  readonly quarantine: DaemonQuarantine;
  readonly runtime: Pick<Runtime, 'now' | 'clocks' | 'log'>;
}

/** The file with the suspects of one control process. */
export class DaemonQuarantineStore {
  readonly #options: QuarantineStoreOptions;

  readonly #file: string;

  /** The revision that was last written. */
  #savedRevision: number;

  #nextRefreshAt = Infinity;

  #blockedUntil = -Infinity;

  #isSaving = false;

  constructor(options: QuarantineStoreOptions) {
    this.#options = options;
    this.#file = path.join(options.folder, FILE);
    this.#savedRevision = options.quarantine.revision;
  }

  /** Merges the suspects in the file. Without a readable file the process starts without any. */
  async load(): Promise<void> {
    const { quarantine, runtime } = this.#options;
    try {
      const records = await this.#read();
      quarantine.restore(records);
      runtime.log.info({ event: 'suspects_restored', records: records.length }, 'suspects read');
    } catch (err) {
      runtime.log.warn({ err, file: this.#file }, 'the file of suspects cannot be read');
    }
  }

  /** Writes the suspects if they have changed; to be called periodically. One write runs at a time. */
  async save(): Promise<void> {
    const { quarantine, runtime } = this.#options;
    const now = runtime.now();
    const isDue = quarantine.revision !== this.#savedRevision || now >= this.#nextRefreshAt;
    if (!isDue || this.#isSaving || now < this.#blockedUntil) {
      return;
    }
    const { revision, records } = quarantine;
    this.#isSaving = true;
    try {
      const content = { savedAt: runtime.clocks().wall, records };
      await writeSynced(this.#file, Buffer.from(JSON.stringify(content)));
      this.#savedRevision = revision;
      this.#nextRefreshAt = records.length === 0 ? Infinity : now + REFRESH_MS;
    } catch (err) {
      this.#blockedUntil = runtime.now() + RETRY_MS;
      runtime.log.warn({ err, file: this.#file }, 'suspects cannot be written; retrying');
    } finally {
      this.#isSaving = false;
    }
  }

  async #read(): Promise<readonly SuspectRecord[]> {
    const text = (await readIfExists(this.#file)).toString();
    if (text === '') {
      return [];
    }
    const { savedAt, records } = fileSchema.parse(JSON.parse(text));
    // A clock that was set back says nothing of the time that has passed; the suspects are then kept longer.
    const sinceSavedMs = Math.max(0, this.#options.runtime.clocks().wall - savedAt);
    return records.map((record) => ({ ...record, ageMs: record.ageMs + sinceSavedMs }));
  }
}
