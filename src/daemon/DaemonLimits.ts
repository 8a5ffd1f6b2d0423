/** Holds the limits that endpoints have advertised, in an entry or control process, and exchanges them with others. */
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
import type { LimitUpdate } from '../protocol/index.js';
import type { Runtime } from './DaemonRuntime.js';
import { DaemonSharedSet, type SendUpdate, type SharedSetRules } from './DaemonSharedSet.js';

const RULES: SharedSetRules<LimitsState, EndpointLimit, LimitUpdate> = {
  empty: NO_LIMITS,
  itemsOf: (state) => [...state.values()],
  hash: hashLimits,
  merge: mergeLimits,
  dropExpired: dropExpiredLimits,
  toUpdates: toLimitUpdates,
};

/** Dependencies of {@link DaemonLimits}. */
export interface LimitsOptions {
  readonly runtime: Pick<Runtime, 'now' | 'log'>;
  /** Sends an update to all connected processes but the one that it came from; `from` is null for an own change. */
  readonly publish: (update: LimitUpdate, from: string | null) => void;
  /** Called after each change of the set. */
  readonly onStateChange?: () => void;
}

/** The limits known to one process. */
export class DaemonLimits {
  readonly #set: DaemonSharedSet<LimitsState, EndpointLimit, LimitUpdate>;

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

  /** Applies a change that this process has detected itself. */
  apply(step: LimitsStep): void {
    this.#set.apply(step);
  }

  /** Merges an update from another process, and replies with the whole set if that process holds a different one. */
  onUpdate(update: LimitUpdate, from: string, reply: SendUpdate<LimitUpdate>): void {
    this.#set.onUpdate(update, from, reply);
  }

  /** Sends the whole set to a newly connected process. */
  sendAll(send: SendUpdate<LimitUpdate>): void {
    this.#set.sendAll(send);
  }

  /** Drops expired limits, and has others compare their sets with this one. */
  tick(): void {
    this.#set.tick();
  }
}
