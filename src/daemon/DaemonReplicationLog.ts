/** Log lines on what a replica sends to the others, which show entries and snapshots that are sent repeatedly. */
import type { Logger } from 'pino';
import type { ConsensusMessage } from '../coordination/index.js';

/** Minimum interval between two lines, ms. */
const LOG_INTERVAL_MS = 1_000;

/** What was sent since the last line; `repeated…` counts what had been sent to the same replica before. */
interface SentCounts {
  readonly entries: number;
  readonly repeatedEntries: number;
  readonly snapshots: number;
  readonly repeatedSnapshots: number;
}

const NOTHING_SENT: SentCounts = {
  entries: 0,
  repeatedEntries: 0,
  snapshots: 0,
  repeatedSnapshots: 0,
};

/** What was sent to a replica last, as a leader of `term`. */
interface SentMark {
  readonly term: number;
  readonly entry: number;
  readonly snapshot: number;
}

type SendingMessage = Extract<ConsensusMessage, { type: 'append' | 'install' }>;

function markAfter(before: SentMark, message: SendingMessage): SentMark {
  return message.type === 'append'
    ? { ...before, entry: Math.max(before.entry, message.entries.at(-1)?.index ?? 0) }
    : { ...before, snapshot: Math.max(before.snapshot, message.snapshot.index) };
}

function countAfter(counts: SentCounts, before: SentMark, message: SendingMessage): SentCounts {
  if (message.type === 'install') {
    const isRepeated = message.snapshot.index <= before.snapshot;
    return {
      ...counts,
      snapshots: counts.snapshots + 1,
      repeatedSnapshots: counts.repeatedSnapshots + Number(isRepeated),
    };
  }
  const repeated = message.entries.filter(({ index }) => index <= before.entry).length;
  return {
    ...counts,
    entries: counts.entries + message.entries.length,
    repeatedEntries: counts.repeatedEntries + repeated,
  };
}

/** Counts the entries and snapshots that are sent, and logs the counts at an interval. */
export class DaemonReplicationLog {
  readonly #log: Logger;

  readonly #now: () => number;

  readonly #marks = new Map<string, SentMark>();

  #counts = NOTHING_SENT;

  #loggedAt = -Infinity;

  constructor(log: Logger, now: () => number) {
    this.#log = log;
    this.#now = now;
  }

  /** Counts a message to a replica. */
  onSend(to: string, message: ConsensusMessage): void {
    if (message.type !== 'append' && message.type !== 'install') {
      return;
    }
    const { term } = message;
    const known = this.#marks.get(to);
    const before = known?.term === term ? known : { term, entry: 0, snapshot: -1 };
    this.#marks.set(to, markAfter(before, message));
    this.#counts = countAfter(this.#counts, before, message);
  }

  /** Logs the counts if anything was sent and the interval has passed. */
  tick(): void {
    const now = this.#now();
    const { entries, snapshots } = this.#counts;
    if (entries + snapshots === 0 || now - this.#loggedAt < LOG_INTERVAL_MS) {
      return;
    }
    this.#log.info({ event: 'replication', ...this.#counts }, 'sent to the other replicas');
    this.#loggedAt = now;
    this.#counts = NOTHING_SENT;
  }
}
