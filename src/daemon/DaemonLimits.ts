/** Task of an entry or control process that holds the limits that endpoints have named, and exchanges them. */
import {
  dropExpiredLimits,
  hashLimits,
  mergeLimits,
  NO_LIMITS,
  toLimitUpdates,
  type EndpointLimit,
  type LimitsState,
  type LimitsStep,
} from '../coordination/index.js';
import type { LimitNews } from '../protocol/index.js';
import type { Runtime } from './DaemonRuntime.js';
import { DaemonSharedSet, type SendUpdate, type SharedSetRules } from './DaemonSharedSet.js';

const RULES: SharedSetRules<LimitsState, EndpointLimit, LimitNews> = {
  empty: NO_LIMITS,
  itemsOf: (state) => [...state.values()],
  hash: hashLimits,
  merge: mergeLimits,
  dropExpired: dropExpiredLimits,
  toUpdates: toLimitUpdates,
};

/** What the task needs. */
export interface LimitsOptions {
  readonly runtime: Pick<Runtime, 'now' | 'log'>;
  /** Sends to the processes that this one tells, but for the one that the news came from. */
  readonly publish: (update: LimitNews, from: string | null) => void;
  /** Called each time that the set is another one. */
  readonly onStateChange?: () => void;
}

/** The set of one process. */
export class DaemonLimits {
  readonly #set: DaemonSharedSet<LimitsState, EndpointLimit, LimitNews>;

  constructor({ runtime, publish, onStateChange }: LimitsOptions) {
    this.#set = new DaemonSharedSet(RULES, {
      now: runtime.now,
      publish,
      onChanged: (changed, from) =>
        changed.forEach(({ life, clock, perSecond }) =>
          runtime.log.info(
            { event: 'limit', endpoint: life, perSecond, clock, from },
            'an endpoint has another limit',
          ),
        ),
      ...(onStateChange && { onStateChange }),
    });
  }

  get state(): LimitsState {
    return this.#set.state;
  }

  /** Takes a change that this process has found out itself. */
  apply(step: LimitsStep): void {
    this.#set.apply(step);
  }

  /** Takes news of another process, and answers with the whole set where that process holds another. */
  onUpdate(update: LimitNews, from: string, reply: SendUpdate<LimitNews>): void {
    this.#set.onUpdate(update, from, reply);
  }

  /** Sends the whole set to a process that this one has just met. */
  sendAll(send: SendUpdate<LimitNews>): void {
    this.#set.sendAll(send);
  }

  /** Forgets what is old, and has others compare their sets with this one. */
  tick(): void {
    this.#set.tick();
  }
}
