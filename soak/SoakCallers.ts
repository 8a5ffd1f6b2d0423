/** Callers of a soak run: they keep connections until the process at the other end is gone, and come back. */
import { setTimeout as delay } from 'node:timers/promises';
import { readHead } from '../platform/__tests__/utils/StandInUnusualAnswers.js';
import { callerHeaders } from '../platform/__tests__/utils/StandInPlatform.js';
import { SoakConnection } from './SoakConnection.js';
import { eventIdsOf, STREAM_EVENTS } from './SoakStream.js';
import type { SoakAttempt, SoakRequestKind } from './SoakTypes.js';

/** A caller waits this long for its whole answer, ms, and a little longer for the word that it is late. */
const DEADLINE_MS = 4_000;
const CALL_TIMEOUT_MS = DEADLINE_MS + 500;

/** Pause between two requests of a caller, ms. */
const MEAN_PAUSE_MS = 60;

/** Requests of a caller at one entry host before it goes to another. */
const REQUESTS_PER_VISIT = 8;

/** Share of streams that their callers break off, and share of these that are broken off after the last event. */
const ABORT_SHARE = 0.25;
const ABORT_AFTER_LAST_SHARE = 0.4;

/** Times that a caller comes back for one stream. */
const MAX_RESUMES = 5;

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
interface RequestSpec {
  readonly kind: SoakRequestKind;
  readonly key: string;
  readonly content: string | null;
  readonly lastEventId: number;
  readonly resumedFrom: string | null;
}

const REQUEST_KINDS: readonly SoakRequestKind[] = ['ask', 'hold', 'stream', 'stream'];

function pick<T>(items: readonly T[], random: number): T | undefined {
  return items[Math.floor(random * items.length)];
}

/** Whether a stream isn't at its end for its caller, though it may be for all others. */
function isResumable({ kind, outcome, status }: SoakAttempt): boolean {
  const isIncomplete = outcome === 'broken' || outcome === 'left' || status >= 500;
  return kind === 'stream' && isIncomplete;
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
    await Promise.all(Array.from({ length: count }, async () => this.#runCaller()));
  }

  async #runCaller(): Promise<void> {
    const { entries, random, signal } = this.#options;
    while (!signal.aborted) {
      const entry = pick(entries, random());
      if (entry !== undefined) {
        // A caller has one request at a time.
        // eslint-disable-next-line no-await-in-loop
        await this.#visit(entry);
      }
    }
  }

  /** Sends some requests to one entry host, on one connection as long as it bears. */
  async #visit(entry: SoakEntry): Promise<void> {
    const { keys, random, signal } = this.#options;
    let connection = new SoakConnection(entry);
    for (let i = 0; i < REQUESTS_PER_VISIT && !signal.aborted; i += 1) {
      const key = pick(keys(), random());
      const kind = pick(REQUEST_KINDS, random());
      if (key !== undefined && kind !== undefined) {
        connection = connection.isOpen ? connection : new SoakConnection(entry);
        const spec = { kind, key, content: null, lastEventId: 0, resumedFrom: null };
        // eslint-disable-next-line no-await-in-loop
        const first = await this.#call(entry, connection, spec, this.#abortAfter(kind, 0));
        // eslint-disable-next-line no-await-in-loop
        await this.#resumeStream(first);
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(MEAN_PAUSE_MS * 2 * random());
    }
    connection.close();
  }

  /** Comes back for the rest of a stream, on new connections at other entry hosts. */
  async #resumeStream(first: SoakAttempt): Promise<void> {
    const { entries, random, signal } = this.#options;
    let last = first;
    for (let i = 0; i < MAX_RESUMES && isResumable(last) && !signal.aborted; i += 1) {
      const previous = last;
      const others = entries.filter(({ name }) => name !== previous.entry);
      const entry = pick(others.length === 0 ? entries : others, random());
      if (entry === undefined) {
        return;
      }
      const { id: resumedFrom, kind, key, status, body } = previous;
      const lastEventId =
        status === 200 ? previous.lastEventId + eventIdsOf(body).length : previous.lastEventId;
      const spec = { kind, key, content: `body of ${first.id}`, lastEventId, resumedFrom };
      const connection = new SoakConnection(entry);
      // eslint-disable-next-line no-await-in-loop
      last = await this.#call(entry, connection, spec, this.#abortAfter(kind, lastEventId));
      connection.close();
      // eslint-disable-next-line no-await-in-loop
      await delay(MEAN_PAUSE_MS * random());
    }
  }

  /** Events of the rest of a stream after which its caller breaks it off; null for never. */
  #abortAfter(kind: SoakRequestKind, lastEventId: number): number | null {
    const { random } = this.#options;
    const remaining = STREAM_EVENTS - lastEventId;
    if (kind !== 'stream' || remaining <= 0 || random() >= ABORT_SHARE) {
      return null;
    }
    return random() < ABORT_AFTER_LAST_SHARE ? remaining : 1 + Math.floor(random() * remaining);
  }

  /** Sends one and the same request to each entry host at once; it ends engines that run it. */
  async callFatal(content: string): Promise<void> {
    const { entries, keys } = this.#options;
    const [key] = keys();
    if (key === undefined) {
      return;
    }
    const spec = { kind: 'stream' as const, key, content, lastEventId: 0, resumedFrom: null };
    await Promise.all(
      entries.map(async (entry) => {
        const connection = new SoakConnection(entry);
        await this.#call(entry, connection, spec, null);
        connection.close();
      }),
    );
  }

  async #call(
    entry: SoakEntry,
    connection: SoakConnection,
    { kind, key, content, lastEventId, resumedFrom }: RequestSpec,
    abortAfter: number | null,
  ): Promise<SoakAttempt> {
    const { now } = this.#options;
    this.#counter += 1;
    const id = `s${this.#counter}`;
    const sentAt = now();
    const resumeHeaders = lastEventId === 0 ? {} : { 'last-event-id': String(lastEventId) };
    const { outcome, status, header, body, stray } = await connection.call({
      path: `/${kind}/x`,
      headers: { ...callerHeaders(id, key, DEADLINE_MS), ...resumeHeaders },
      body: content ?? `body of ${id}`,
      timeoutMs: CALL_TIMEOUT_MS,
      abortAfter,
    });
    const attempt: SoakAttempt = {
      id,
      kind,
      key,
      entry: entry.name,
      sentAt,
      endedAt: now(),
      outcome,
      status,
      ...readHead(header),
      body,
      stray,
      lastEventId,
      resumedFrom,
    };
    this.#attempts.push(attempt);
    return attempt;
  }
}
