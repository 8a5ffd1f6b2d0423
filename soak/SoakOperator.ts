/** The operator of a soak run: submits documents with changing keys, and records what was acknowledged. */
import {
  postDocument,
  sampleDocument,
  type StandInPlatform,
} from '../platform/__tests__/utils/StandInPlatform.js';
import { SOAK_COLD } from './SoakCold.js';
import { usableFrom } from './SoakChecks.js';
import type { SoakRevokedKey } from './SoakTypes.js';

interface ActiveKey {
  readonly key: string;
  readonly usableFrom: number;
}

/** Submits documents one after another. */
export class SoakOperator {
  readonly #platform: StandInPlatform;

  readonly #now: () => number;

  readonly #revokedKeys: SoakRevokedKey[] = [];

  #version = 0;

  #ackedVersion = 0;

  #keys: readonly ActiveKey[] = [];

  /** Documents are submitted one after another, as a deployment pipeline does. */
  #queue: Promise<void> = Promise.resolve();

  constructor(platform: StandInPlatform, now: () => number) {
    this.#platform = platform;
    this.#now = now;
  }

  get ackedVersion(): number {
    return this.#ackedVersion;
  }

  get revokedKeys(): readonly SoakRevokedKey[] {
    return this.#revokedKeys;
  }

  /** Keys for callers: those in force at all entry hosts, twice for weight, and the two that were revoked last. */
  usableKeys(): readonly string[] {
    const now = this.#now();
    const valid = this.#keys.filter((key) => key.usableFrom <= now).map(({ key }) => key);
    const revoked = this.#revokedKeys.slice(-2).map(({ key }) => key);
    return valid.length === 0 ? [] : [...valid, ...valid, ...revoked];
  }

  /** Submits a version with one more key. */
  async addKey(): Promise<void> {
    return this.#enqueue(async () => {
      const key = `key-${this.#version + 1}`;
      const kept = this.#keys.map((item) => item.key);
      const ackedAt = await this.#submit([...kept, key]);
      this.#keys = [...this.#keys, { key, usableFrom: usableFrom(ackedAt) }];
    });
  }

  /** Submits a version without the oldest key, unless no other key is usable yet. */
  async revokeOldestKey(): Promise<void> {
    return this.#enqueue(async () => {
      const [oldest, ...rest] = this.#keys;
      if (oldest === undefined || !rest.some((key) => key.usableFrom <= this.#now())) {
        return;
      }
      // While the document is being submitted, either version may be in force.
      this.#keys = rest;
      this.#revokedKeys.push({ key: oldest.key, ackedAt: Infinity });
      const ackedAt = await this.#submit(rest.map(({ key }) => key));
      const at = this.#revokedKeys.findIndex(({ key }) => key === oldest.key);
      this.#revokedKeys[at] = { key: oldest.key, ackedAt };
    });
  }

  async #enqueue(task: () => Promise<void>): Promise<void> {
    this.#queue = this.#queue.then(task);
    return this.#queue;
  }

  /** Sends a document to one control process after another until one acknowledges it; resolves with that time. */
  async #submit(keys: readonly string[]): Promise<number> {
    this.#version += 1;
    const version = this.#version;
    const text = sampleDocument(version, keys, 'writers', SOAK_COLD);
    const { controls } = this.#platform;
    for (let i = version; ; i += 1) {
      const control = controls[i % controls.length] ?? '';
      // eslint-disable-next-line no-await-in-loop
      const status = await postDocument(control, text).catch(() => 0);
      if (status === 200) {
        this.#ackedVersion = version;
        return this.#now();
      }
    }
  }
}
