/** Log lines on the slots at groups, on which an entry process bases its admission. */
import type { Logger } from 'pino';
import { isOpenGroup, type GroupSlots } from '../../coordination/index.js';

/** Interval of log lines while no request waits, ms. */
const IDLE_LOG_INTERVAL_MS = 2_000;

function sum(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}

/** Data of a log line in addition to the group's state. */
export interface SlotUsage {
  /** Requests of this process in progress, by endpoint. */
  readonly own: ReadonlyMap<string, number>;
  /** Requests that wait here for a slot at the service. */
  readonly waiting: number;
}

/** Logs a line when a group opens or closes, on each load while requests wait, and otherwise at an interval. */
export class DirectSlotsLog {
  readonly #log: Logger;

  readonly #now: () => number;

  /** State of each group that was last logged, and when. */
  readonly #logged = new Map<string, { readonly open: boolean; readonly at: number }>();

  constructor(log: Logger, now: () => number) {
    this.#log = log;
    this.#now = now;
  }

  write(state: GroupSlots, { own, waiting }: SlotUsage): void {
    const { group, load, allowance, limit, passMs } = state;
    const now = this.#now();
    const open = state.open !== null && isOpenGroup(state);
    const logged = this.#logged.get(group);
    if (waiting === 0 && logged?.open === open && now - logged.at < IDLE_LOG_INTERVAL_MS) {
      return;
    }
    this.#logged.set(group, { open, at: now });
    this.#log.info(
      {
        event: 'places',
        group,
        open,
        active: sum(load?.active ?? []),
        queued: sum(load?.queued ?? []),
        slow: load?.slow?.length ?? 0,
        passMs: Math.round(passMs),
        skew: Number((load?.skew ?? 1).toFixed(2)),
        limit: Math.round(limit),
        allowance,
        own: sum([...own.values()]),
        waiting,
      },
      'slots at a group',
    );
  }
}
