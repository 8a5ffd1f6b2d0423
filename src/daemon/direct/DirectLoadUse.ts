/** Log lines and metrics on whether the loads that an entry process receives are used. */
import { Counter, Gauge } from 'prom-client';
import type { GroupSlots } from '../../coordination/index.js';
import type { GroupLoad } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';

/** Interval of log lines on unused loads of one group, ms: a replaced coordinator may publish four a second. */
const UNUSED_LOG_INTERVAL_MS = 1_000;

/** Records the use of loads. */
export class DirectLoadUse {
  readonly #runtime: Runtime;

  readonly #unused: Counter<'reason'>;

  /** When the last complete load of each group arrived, ms. */
  readonly #usedAt = new Map<string, number>();

  /** The reason for which a load of each group was last logged as unused, and when. */
  readonly #logged = new Map<string, { readonly reason: string; readonly at: number }>();

  constructor(runtime: Runtime) {
    this.#runtime = runtime;
    const registers = [runtime.registry];
    this.#unused = new Counter({
      name: 'laburnumgauge_unused_loads_total',
      help: 'Loads of groups that were not used, by reason: incomplete, or outdated',
      labelNames: ['reason'],
      registers,
    });
    const usedAt = this.#usedAt;
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_load_age_seconds',
      help: 'Age of the last complete load, by group',
      labelNames: ['group'],
      registers,
      collect() {
        usedAt.forEach((at, group) => this.set({ group }, (runtime.now() - at) / 1_000));
      },
    });
  }

  /** Records the use of a load by the state of its group after it. */
  record(state: GroupSlots, load: GroupLoad): void {
    const { group, verdict } = state;
    if (verdict === 'complete') {
      this.#usedAt.set(group, state.loadAt);
      return;
    }
    this.#unused.inc({ reason: verdict });
    const now = this.#runtime.now();
    const logged = this.#logged.get(group);
    if (logged?.reason === verdict && now - logged.at < UNUSED_LOG_INTERVAL_MS) {
      return;
    }
    this.#logged.set(group, { reason: verdict, at: now });
    const usedAt = this.#usedAt.get(group);
    this.#runtime.log.info(
      {
        event: 'load_unused',
        group,
        reason: verdict,
        token: load.token ?? 0,
        highestToken: state.knowledge.token,
        reported: load.reported ?? load.active.length,
        ranks: load.active.length,
        ageMs: usedAt === undefined ? null : Math.round(now - usedAt),
        limit: Math.round(state.limit),
        allowance: state.allowance,
      },
      'load not used',
    );
  }
}
