/** Log lines on the places at groups: what an entry process's admission rests on. */
import type { Logger } from 'pino';
import { isOpenGroup, type GroupSlots } from '../../coordination/index.js';

/** Where nobody waits, places are logged this often, ms. */
const IDLE_LOG_INTERVAL_MS = 2_000;

function sum(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}

/** What a line tells beside the group's state. */
export interface SlotUsage {
  /** Requests of this process in progress, by endpoint. */
  readonly own: ReadonlyMap<string, number>;
  /** Requests that wait here for a place at the service. */
  readonly waiting: number;
}

/** Writes a line when a group opens or closes, while requests wait, and now and then. */
export class DirectSlotsLog {
  readonly #log: Logger;

  readonly #now: () => number;

  /** What was last written of each group, and when. */
  readonly #logged = new Map<string, { readonly open: boolean; readonly at: number }>();

  constructor(log: Logger, now: () => number) {
    this.#log = log;
    this.#now = now;
  }

  write(state: GroupSlots, { own, waiting }: SlotUsage): void {
    const { group, load, allowance, limit, passMs } = state;
    const now = this.#now();
    const open = load !== null && isOpenGroup(state);
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
      'places at a group',
    );
  }
}
