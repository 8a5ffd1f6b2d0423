/** Operators of the configuration soak: they submit and read documents at all control hosts, and check what they get. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  documentWithRoutes,
  invalidDocument,
} from '../platform/__tests__/utils/StandInDocuments.js';
import {
  postDocument,
  readDocument,
  versionOf,
} from '../platform/__tests__/utils/StandInPlatform.js';
import type { SoakFinding } from './SoakTypes.js';

/** Maximum number of routes in addition to those of the sample document. */
const MAX_EXTRA_ROUTES = 800;

/** Maximum pause between two calls of one operator, ms. */
const MAX_PAUSE_MS = 300;

/** Dependencies of {@link SoakConfigOperator}. */
export interface SoakConfigOperatorOptions {
  /** Addresses of the control processes that exist now. */
  readonly controls: () => readonly string[];
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/** Submits, reads and checks documents. */
export class SoakConfigOperator {
  readonly #options: SoakConfigOperatorOptions;

  readonly #findings: SoakFinding[] = [];

  /** Every document that was submitted, by version: without a clear answer it may be in force. */
  readonly #submitted = new Map<number, string>();

  #acked = 0;

  #ackCount = 0;

  #nextVersion = 1;

  constructor(options: SoakConfigOperatorOptions) {
    this.#options = options;
  }

  get findings(): readonly SoakFinding[] {
    return this.#findings;
  }

  /** Newest version that was acknowledged. */
  get acked(): number {
    return this.#acked;
  }

  get ackCount(): number {
    return this.#ackCount;
  }

  /** Submits, reads and sends invalid documents until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const loop = async (task: () => Promise<void>): Promise<void> => {
      while (!signal.aborted) {
        // eslint-disable-next-line no-await-in-loop
        await task();
        // eslint-disable-next-line no-await-in-loop
        await delay(this.#options.random() * MAX_PAUSE_MS);
      }
    };
    await Promise.all([
      loop(async () => this.submit()),
      loop(async () => this.submit()),
      loop(async () => this.#submitInvalid()),
      loop(async () => {
        await this.read(this.#pickControl());
      }),
    ]);
  }

  /** Submits the next version to one control process. */
  async submit(): Promise<void> {
    const version = this.#takeVersion();
    const text = documentWithRoutes(version, this.#extraRoutes());
    this.#submitted.set(version, text);
    const status = await postDocument(this.#pickControl(), text).catch(() => 0);
    if (status === 200) {
      this.#acked = Math.max(this.#acked, version);
      this.#ackCount += 1;
    } else if (status >= 400 && status < 500) {
      this.#report('refused', `version ${version} is valid and was answered with ${status}`);
    }
  }

  /** Reads the configuration from one control process and checks it; returns its version, null if there is none. */
  async read(control: string): Promise<number | null> {
    const ackedBefore = this.#acked;
    // A control process that is down or suspended answers nothing, which breaks no guarantee.
    const text = await readDocument(control).catch(() => null);
    if (text === null) {
      return null;
    }
    const version = versionOf(text);
    if (version < ackedBefore) {
      this.#report('older', `${control} returned ${version}, ${ackedBefore} was acknowledged`);
    }
    if (text !== this.#submitted.get(version)) {
      this.#report('content', `${control} returned other content for ${version}`);
    }
    return version;
  }

  async #submitInvalid(): Promise<void> {
    const text = invalidDocument(this.#takeVersion(), this.#options.random());
    const status = await postDocument(this.#pickControl(), text).catch(() => 0);
    if (status === 200) {
      this.#report('invalid', `acknowledged: ${text.slice(-200)}`);
    }
  }

  #takeVersion(): number {
    this.#nextVersion += 1;
    return this.#nextVersion;
  }

  #extraRoutes(): number {
    return Math.floor(this.#options.random() * MAX_EXTRA_ROUTES);
  }

  #pickControl(): string {
    const controls = this.#options.controls();
    return controls[Math.floor(this.#options.random() * controls.length)] ?? '';
  }

  #report(rule: string, detail: string): void {
    this.#findings.push({ rule, detail });
  }
}
