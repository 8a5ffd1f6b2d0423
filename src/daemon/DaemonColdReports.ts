/** Cold times that endpoints state in their heartbeats to a control process; decides which have to be published. */
import type { Logger } from 'pino';
import { stepColdStatement, type ColdStatement } from '../coordination/index.js';
import type { MemberRecord } from '../protocol/index.js';

/**
 * Times after the end of an evacuation at which the next heartbeat of each endpoint there is published, ms. An entry
 * host may apply the end later than this process does, and must get a statement after that; it has 5 s for it.
 */
const REPUBLISH_AFTER_MS = [0, 6_000];

/** Longest time for which an endpoint's heartbeat may be missing until it is not published any more, ms. */
const REPUBLISH_RETENTION_MS = 60_000;

/** Cold times stated by the endpoints that send their heartbeats here. */
export class DaemonColdReports {
  readonly #runtime: { readonly log: Logger; readonly now: () => number };

  readonly #statements = new Map<string, ColdStatement>();

  /** Times from which the next heartbeat of each endpoint in a zone is published, with the endpoints done, ms. */
  #due: readonly { readonly zone: string; readonly at: number; readonly done: Set<string> }[] = [];

  constructor(runtime: { readonly log: Logger; readonly now: () => number }) {
    this.#runtime = runtime;
  }

  /** Whether the cold time in a heartbeat has to be published. */
  isNews(record: MemberRecord): boolean {
    const now = this.#runtime.now();
    const step = stepColdStatement(this.#statements.get(record.id), record, now);
    if (step !== null) {
      this.#statements.set(record.id, step.statement);
    }
    if (step?.isNews === true && step.statement.end > now) {
      const { id, incarnation, statedColdMs } = record;
      this.#runtime.log.info(
        { event: 'cold_stated', endpoint: id, incarnation, statedColdMs },
        'endpoint stated that it is cold',
      );
    }
    const due = this.#due.filter(
      ({ zone, at, done }) => zone === record.zone && at <= now && !done.has(record.id),
    );
    due.forEach(({ done }) => done.add(record.id));
    return step?.isNews === true || due.length > 0;
  }

  /** The evacuation of a zone has ended: the next heartbeat of each endpoint there is published. */
  onEvacuationFinished(zone: string): void {
    const now = this.#runtime.now();
    const added = REPUBLISH_AFTER_MS.map((afterMs) => ({
      zone,
      at: now + afterMs,
      done: new Set<string>(),
    }));
    this.#due = [...this.#due, ...added];
  }

  /** Forgets endpoints that aren't attached here any more. */
  tick(isAttached: (id: string) => boolean): void {
    const now = this.#runtime.now();
    [...this.#statements.keys()]
      .filter((id) => !isAttached(id))
      .forEach((id) => this.#statements.delete(id));
    this.#due = this.#due.filter(({ at }) => now - at < REPUBLISH_RETENTION_MS);
  }
}
