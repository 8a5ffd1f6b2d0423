/** Callers of a soak run: they keep connections until the process at the other end is gone, and come back. */
import { setTimeout as delay } from 'node:timers/promises';
import { readHead } from '../platform/__tests__/utils/StandInUnusualAnswers.js';
import { callerHeaders } from '../platform/__tests__/utils/StandInPlatform.js';
import { SoakConnection } from './SoakConnection.js';
import { eventsOf, STREAM_EVENTS } from './SoakStream.js';
import type { SoakAttempt, SoakKind } from './SoakTypes.js';

/** A caller waits this long for its whole answer, ms, and a little longer for the word that it is late. */
const DEADLINE_MS = 4_000;
const PATIENCE_MS = DEADLINE_MS + 500;

/** Pause between two requests of a caller, ms. */
const PAUSE_MS = 60;

/** Requests of a caller at one entry host before it goes to another. */
const STAY = 8;

/** Share of streams that their callers break off, and share of these that are broken off after the last event. */
const LEAVE_SHARE = 0.25;
const LAST_SHARE = 0.4;

/** Times that a caller comes back for one stream. */
const MOST_RESUMES = 5;

/** Where callers send to. */
export interface SoakEntry {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** What the callers need. */
export interface CallerOptions {
  readonly count: number;
  readonly entries: readonly SoakEntry[];
  /** Keys that may be used now; empty for none yet. */
  readonly keys: () => readonly string[];
  readonly random: () => number;
  readonly now: () => number;
  readonly signal: AbortSignal;
}

/** One request as its caller has it in mind. */
interface Errand {
  readonly kind: SoakKind;
  readonly key: string;
  readonly content: string | null;
  readonly after: number;
  readonly resumes: string | null;
}

const KINDS: readonly SoakKind[] = ['ask', 'hold', 'stream', 'stream'];

function pick<T>(items: readonly T[], random: number): T | undefined {
  return items[Math.floor(random * items.length)];
}

/** Whether a stream isn't at its end for its caller, though it may be for all others. */
function isUnfinished({ kind, end, status }: SoakAttempt): boolean {
  const mayGoOn = end === 'broken' || end === 'left' || status >= 500;
  return kind === 'stream' && mayGoOn;
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
    const { entries, random, signal } = this.#options;
    while (!signal.aborted) {
      const entry = pick(entries, random());
      if (entry !== undefined) {
        // A caller has one request at a time.
        // eslint-disable-next-line no-await-in-loop
        await this.#stay(entry);
      }
    }
  }

  /** Sends some requests to one entry host, on one connection as long as it bears. */
  async #stay(entry: SoakEntry): Promise<void> {
    const { keys, random, signal } = this.#options;
    let connection = new SoakConnection(entry);
    for (let i = 0; i < STAY && !signal.aborted; i += 1) {
      const key = pick(keys(), random());
      const kind = pick(KINDS, random());
      if (key !== undefined && kind !== undefined) {
        connection = connection.isOpen ? connection : new SoakConnection(entry);
        const errand = { kind, key, content: null, after: 0, resumes: null };
        // eslint-disable-next-line no-await-in-loop
        const first = await this.#call(entry, connection, errand, this.#leaveAfter(kind, 0));
        // eslint-disable-next-line no-await-in-loop
        await this.#goOn(first);
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(PAUSE_MS * 2 * random());
    }
    connection.close();
  }

  /** Comes back for the rest of a stream, on new connections at other entry hosts. */
  async #goOn(first: SoakAttempt): Promise<void> {
    const { entries, random, signal } = this.#options;
    let last = first;
    for (let i = 0; i < MOST_RESUMES && isUnfinished(last) && !signal.aborted; i += 1) {
      const before = last;
      const others = entries.filter(({ name }) => name !== before.entry);
      const entry = pick(others.length === 0 ? entries : others, random());
      if (entry === undefined) {
        return;
      }
      const { id: resumes, kind, key, status, body } = before;
      const after = status === 200 ? before.after + eventsOf(body).length : before.after;
      const errand = { kind, key, content: `body of ${first.id}`, after, resumes };
      const connection = new SoakConnection(entry);
      // eslint-disable-next-line no-await-in-loop
      last = await this.#call(entry, connection, errand, this.#leaveAfter(kind, after));
      connection.close();
      // eslint-disable-next-line no-await-in-loop
      await delay(PAUSE_MS * random());
    }
  }

  /** Events of the rest of a stream after which its caller breaks it off; null for never. */
  #leaveAfter(kind: SoakKind, after: number): number | null {
    const { random } = this.#options;
    const left = STREAM_EVENTS - after;
    if (kind !== 'stream' || left <= 0 || random() >= LEAVE_SHARE) {
      return null;
    }
    return random() < LAST_SHARE ? left : 1 + Math.floor(random() * left);
  }

  /** Sends one and the same request to each entry host at once; it ends engines that run it. */
  async callFatal(content: string): Promise<void> {
    const { entries, keys } = this.#options;
    const [key] = keys();
    if (key === undefined) {
      return;
    }
    const errand = { kind: 'stream' as const, key, content, after: 0, resumes: null };
    await Promise.all(
      entries.map(async (entry) => {
        const connection = new SoakConnection(entry);
        await this.#call(entry, connection, errand, null);
        connection.close();
      }),
    );
  }

  async #call(
    entry: SoakEntry,
    connection: SoakConnection,
    { kind, key, content, after, resumes }: Errand,
    leaveAfter: number | null,
  ): Promise<SoakAttempt> {
    const { now } = this.#options;
    this.#counter += 1;
    const id = `s${this.#counter}`;
    const sentAt = now();
    const resumed = after === 0 ? {} : { 'last-event-id': String(after) };
    const { end, status, header, body, stray } = await connection.call({
      path: `/${kind}/x`,
      headers: { ...callerHeaders(id, key, DEADLINE_MS), ...resumed },
      body: content ?? `body of ${id}`,
      patienceMs: PATIENCE_MS,
      leaveAfter,
    });
    const attempt: SoakAttempt = {
      id,
      kind,
      key,
      entry: entry.name,
      sentAt,
      endedAt: now(),
      end,
      status,
      ...readHead(header),
      body,
      stray,
      after,
      resumes,
    };
    this.#attempts.push(attempt);
    return attempt;
  }
}
