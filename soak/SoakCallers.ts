/** Callers of a soak run: they reuse connections while these are open, and resume streams at other entry hosts. */
import { setTimeout as delay } from 'node:timers/promises';
import { readHead } from '../platform/__tests__/utils/StandInUnusualAnswers.js';
import { FATAL_PREFIX } from '../platform/__tests__/utils/StandInFleet.js';
import { callerHeaders, promptHeaders } from '../platform/__tests__/utils/StandInPlatform.js';
import { FATAL_PART_BODY, promptOf } from './SoakParts.js';
import { SoakConnection } from './SoakConnection.js';
import { eventIdsOf, STREAM_EVENTS } from './SoakStream.js';
import type { SoakAttempt, SoakRequestKind } from './SoakTypes.js';

/** Deadline that a caller sends with its request, ms; it waits a little longer for the reply that it has passed. */
const DEADLINE_MS = 4_000;
const CALL_TIMEOUT_MS = DEADLINE_MS + 500;

/** Mean pause between two requests of a caller, ms. */
const MEAN_PAUSE_MS = 60;

/** Requests that a caller sends to one entry host before it draws the next host. */
const REQUESTS_PER_VISIT = 8;

/** Share of streams that their callers abort, and share of these that are aborted after the last event. */
const ABORT_SHARE = 0.25;
const ABORT_AFTER_LAST_SHARE = 0.4;

/** How often a caller resumes one stream at most. */
const MAX_RESUMES = 5;

/** An entry host's name and the address that callers connect to. */
export interface SoakEntry {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** Number of callers, where they send, and their sources of keys, randomness and time. */
export interface CallerOptions {
  readonly count: number;
  readonly entries: readonly SoakEntry[];
  /** Keys that callers may draw from now; empty if there is none yet. */
  readonly keys: () => readonly string[];
  readonly random: () => number;
  readonly now: () => number;
  readonly signal: AbortSignal;
}

/** What a caller wants to send. */
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

/** Whether the caller of a stream resumes it: the answer was cut off or aborted, or has a status of 500 or above. */
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

  /** Sends requests until the signal aborts, then waits for those in progress. */
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

  /** Sends some requests to one entry host, on one connection as long as it stays open. */
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

  /** Resumes a stream until it is complete, on new connections to other entry hosts. */
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

  /** Draws the number of further events after which the caller aborts a stream; null for never. */
  #abortAfter(kind: SoakRequestKind, lastEventId: number): number | null {
    const { random } = this.#options;
    const remaining = STREAM_EVENTS - lastEventId;
    if (kind !== 'stream' || remaining <= 0 || random() >= ABORT_SHARE) {
      return null;
    }
    return random() < ABORT_AFTER_LAST_SHARE ? remaining : 1 + Math.floor(random() * remaining);
  }

  /** Sends the same request, which crashes engines that run it, to all entry hosts at once. */
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

  /** Sends a request with the part of prompts that crashes engines to one entry host; no two are alike. */
  async callFatalPart(): Promise<void> {
    const { entries, keys, random } = this.#options;
    const [key] = keys();
    const entry = pick(entries, random());
    if (key === undefined || entry === undefined) {
      return;
    }
    const content = `${FATAL_PART_BODY} ${this.#counter + 1}`;
    const spec = { kind: 'stream' as const, key, content, lastEventId: 0, resumedFrom: null };
    const connection = new SoakConnection(entry);
    await this.#call(entry, connection, spec, null);
    connection.close();
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
    const isFatalPart = content?.startsWith(FATAL_PART_BODY) === true;
    const partHeaders =
      kind === 'stream' ? promptHeaders(promptOf(this.#counter, isFatalPart)) : {};
    const resumeHeaders = lastEventId === 0 ? {} : { 'last-event-id': String(lastEventId) };
    const { outcome, status, header, body, stray } = await connection.call({
      path: `/${kind}/x`,
      headers: { ...callerHeaders(id, key, DEADLINE_MS), ...partHeaders, ...resumeHeaders },
      body: content ?? `body of ${id}`,
      timeoutMs: CALL_TIMEOUT_MS,
      abortAfter,
    });
    const attempt: SoakAttempt = {
      id,
      kind,
      key,
      isFatal: isFatalPart || content?.startsWith(FATAL_PREFIX) === true,
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
