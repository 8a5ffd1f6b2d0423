/** Callers of a soak run: they keep connections open and use them until the process at the other end is gone. */
import { Agent, request, type IncomingMessage } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { callerHeaders } from '../platform/__tests__/utils/StandInPlatform.js';
import type { SoakAttempt, SoakEnd, SoakKind } from './SoakTypes.js';

/** A caller waits this long for its whole answer, ms. */
const DEADLINE_MS = 4_000;

/** Pause between two requests of a caller, ms. */
const PAUSE_MS = 60;

/** Requests of a caller at one entry host before it goes to another. */
const STAY = 8;

/** What the callers need. */
export interface CallerOptions {
  readonly count: number;
  readonly entries: readonly {
    readonly name: string;
    readonly host: string;
    readonly port: number;
  }[];
  /** Keys that may be used now; empty for none yet. */
  readonly keys: () => readonly string[];
  readonly random: () => number;
  readonly now: () => number;
  readonly signal: AbortSignal;
}

const KINDS: readonly SoakKind[] = ['ask', 'hold', 'stream', 'stream'];

function pick<T>(items: readonly T[], random: number): T | undefined {
  return items[Math.floor(random * items.length)];
}

interface Exchange {
  readonly end: SoakEnd;
  readonly status: number;
  readonly body: string;
}

/** Sends one request and reads what comes, until its end, a break or the deadline. */
async function exchange(
  { host, port }: { readonly host: string; readonly port: number },
  agent: Agent,
  path: string,
  id: string,
  key: string,
  content: string,
): Promise<Exchange> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let status = 0;
    const settle = (end: SoakEnd): void =>
      resolve({ end, status, body: Buffer.concat(chunks).toString('utf8') });
    const headers = callerHeaders(id, key, DEADLINE_MS);
    const onAnswer = (res: IncomingMessage): void => {
      status = res.statusCode ?? 0;
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('end', () => settle('whole'));
      res.on('error', () => settle('broken'));
      res.on('close', () => settle('broken'));
    };
    const req = request({ host, port, agent, path, method: 'POST', headers }, onAnswer);
    req.on('error', () => settle('broken'));
    const timer = setTimeout(() => {
      settle('deadline');
      req.destroy();
    }, DEADLINE_MS + 500);
    req.on('close', () => clearTimeout(timer));
    req.end(content);
  });
}

/** All callers of a run. */
export class SoakCallers {
  readonly #options: CallerOptions;

  readonly #attempts: SoakAttempt[] = [];

  #counter = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  get attempts(): readonly SoakAttempt[] {
    return this.#attempts;
  }

  /** Calls until the signal, then waits for what is in progress. */
  async run(): Promise<void> {
    const { count } = this.#options;
    await Promise.all(Array.from({ length: count }, async () => this.#caller()));
  }

  async #caller(): Promise<void> {
    const { entries, keys, random, signal } = this.#options;
    while (!signal.aborted) {
      const entry = pick(entries, random());
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      for (let i = 0; i < STAY && !signal.aborted && entry !== undefined; i += 1) {
        const key = pick(keys(), random());
        const kind = pick(KINDS, random());
        if (key !== undefined && kind !== undefined) {
          // A caller has one request at a time.
          // eslint-disable-next-line no-await-in-loop
          await this.#call(entry, agent, kind, key);
        }
        // eslint-disable-next-line no-await-in-loop
        await delay(PAUSE_MS * 2 * random());
      }
      agent.destroy();
    }
  }

  /** Sends one and the same request to each entry host at once; it ends engines that run it. */
  async callFatal(content: string): Promise<void> {
    const { entries, keys } = this.#options;
    const [key] = keys();
    if (key === undefined) {
      return;
    }
    const agent = new Agent();
    await Promise.all(
      entries.map(async (entry) => this.#call(entry, agent, 'stream', key, content)),
    );
    agent.destroy();
  }

  async #call(
    entry: CallerOptions['entries'][number],
    agent: Agent,
    kind: SoakKind,
    key: string,
    content?: string,
  ): Promise<void> {
    const { now } = this.#options;
    this.#counter += 1;
    const id = `s${this.#counter}`;
    const sentAt = now();
    const path = `/${kind}/x`;
    const text = content ?? `body of ${id}`;
    const { end, status, body } = await exchange(entry, agent, path, id, key, text);
    const endedAt = now();
    this.#attempts.push({ id, kind, key, entry: entry.name, sentAt, endedAt, end, status, body });
  }
}
