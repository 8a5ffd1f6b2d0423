/** Send rates of an entry process to endpoints that have advertised a limit. */
import { Gauge } from 'prom-client';
import {
  updateInterval,
  clockOf,
  sendIntervalOf,
  incarnationKeyOf,
  applyAdvertisedLimit,
  updateHosts,
  type IncarnationKey,
  type LimitTimestamp,
  type RecentHosts,
  type SendRate,
} from '../../coordination/index.js';
import type { LimitUpdate, MemberRecord, AdvertisedLimit } from '../../protocol/index.js';
import { DaemonLimits } from '../DaemonLimits.js';
import type { Runtime } from '../DaemonRuntime.js';
import type { SendUpdate } from '../DaemonSharedSet.js';
import { DirectSendRates } from './DirectSendRates.js';

/** Options of {@link DirectLimits}. */
export interface DirectLimitsOptions {
  /** Id of this entry host. */
  readonly self: string;
  readonly runtime: Pick<Runtime, 'now' | 'log' | 'registry'>;
  /** Sends updates to the control process; they are lost while there is no link. */
  readonly send: SendUpdate<LimitUpdate>;
}

/** Sender name for all updates from control processes: this process is attached to only one at a time. */
const HUB = 'hub';

/** Endpoint limits of one entry process. */
export class DirectLimits extends DirectSendRates<SendRate> {
  readonly #options: DirectLimitsOptions;

  readonly #limits: DaemonLimits;

  #members: readonly string[] = [];

  #hosts: RecentHosts = new Map();

  /** Cache of send intervals, cleared when the hosts change: computing one iterates over all hosts. */
  readonly #intervals = new Map<IncarnationKey, { perSecond: number; intervalMs: number }>();

  constructor(options: DirectLimitsOptions) {
    super(options.runtime.now);
    this.#options = options;
    this.#limits = new DaemonLimits({
      runtime: options.runtime,
      publish: (update, from) => {
        if (from === null) {
          options.send(update);
        }
      },
      onStateChange: () => this.#updateRates(),
    });
    const count = (): number => this.rates.size;
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_limited_endpoints',
      help: 'Endpoints that have named a limit',
      registers: [options.runtime.registry],
      collect() {
        this.set(count());
      },
    });
  }

  /** Sets the entry hosts that share the limits. */
  setHosts(members: readonly string[]): void {
    this.#members = [...members, this.#options.self];
    this.#updateHosts();
    this.#onHosts();
  }

  /** Timestamp of a request that is sent now. */
  timestamp(endpoint: MemberRecord): LimitTimestamp {
    return {
      clock: clockOf(this.#limits.state, incarnationKeyOf(endpoint)),
      at: this.#options.runtime.now(),
    };
  }

  /** Applies the limit that an answer advertises; `sent` is the timestamp of its request. */
  onAnswer(
    endpoint: MemberRecord,
    sent: LimitTimestamp,
    limit: AdvertisedLimit,
    request: string,
  ): void {
    const { log, now } = this.#options.runtime;
    const incarnationKey = incarnationKeyOf(endpoint);
    const step = applyAdvertisedLimit(this.#limits.state, incarnationKey, sent, limit, now());
    this.#limits.apply(step);
    if (step.changed.length > 0 || limit === 'unreadable') {
      log.info(
        { event: 'limit_named', endpoint: incarnationKey, limit, request },
        'endpoint named a limit',
      );
    }
  }

  /** Applies an update of the control process. */
  onUpdate(update: LimitUpdate): void {
    this.#limits.onUpdate(update, HUB, this.#options.send);
  }

  /** Sends everything held here over a new link to a control process. */
  onAttached(): void {
    this.#limits.sendAll(this.#options.send);
  }

  /** Drops expired limits and hosts that have left. */
  tick(): void {
    this.#limits.tick();
    const count = this.#hosts.size;
    this.#updateHosts();
    if (this.#hosts.size !== count) {
      this.#onHosts();
    }
  }

  #onHosts(): void {
    this.#intervals.clear();
    this.#updateRates();
  }

  #updateHosts(): void {
    this.#hosts = updateHosts(this.#hosts, this.#members, this.#options.runtime.now());
  }

  #intervalOf(incarnationKey: IncarnationKey, perSecond: number): number {
    const known = this.#intervals.get(incarnationKey);
    if (known?.perSecond === perSecond) {
      return known.intervalMs;
    }
    const hosts = [...this.#hosts.keys()];
    const intervalMs = sendIntervalOf(this.#options.self, incarnationKey, perSecond, hosts);
    this.#intervals.set(incarnationKey, { perSecond, intervalMs });
    return intervalMs;
  }

  /** Updates the rates after a change of limits or hosts. */
  #updateRates(): void {
    const now = this.#options.runtime.now();
    const rates = new Map<IncarnationKey, SendRate>();
    this.#limits.state.forEach(({ life: incarnationKey, perSecond }) => {
      if (perSecond !== null) {
        const intervalMs = this.#intervalOf(incarnationKey, perSecond);
        rates.set(incarnationKey, updateInterval(this.rates.get(incarnationKey), intervalMs, now));
      }
    });
    this.replace(rates);
  }
}
