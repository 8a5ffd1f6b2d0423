/** Send rates of an entry process to cold endpoints. */
import { Counter, Gauge } from 'prom-client';
import {
  applyColdRecord,
  coldPartOf,
  coldPlaceOf,
  coldSendFrom,
  coldTimeOf,
  coldWaitMs,
  doubtWarmth,
  hashText,
  incarnationKeyOf,
  initColdHosts,
  initColdRate,
  isForgottenSender,
  mayStartCold,
  planColdSenders,
  reserveColdSlot,
  startCold,
  updateColdRate,
  updateHosts,
  type ColdKnowledge,
  type ColdPart,
  type ColdRate,
  type ColdTime,
  type IncarnationKey,
  type RecentHosts,
} from '../../coordination/index.js';
import type { ColdBounds, ColdSpec, MemberRecord } from '../../protocol/index.js';
import type { Runtime } from '../DaemonRuntime.js';
import { DIRECT_FLEET } from './DirectDocument.js';

/** Bounds where the settings name none. */
export const DEFAULT_COLD_BOUNDS: ColdBounds = { overshoot: 1.5, slack: 5 };

/** What is known of an endpoint is kept this long after it was last a member: it may only be unreachable. In ms. */
const KNOWLEDGE_RETENTION_MS = 600_000;

/** A rate is kept this long after the end of the cold time, ms, in case that the endpoint becomes cold again. */
const RATE_RETENTION_MS = 2_000;

/** Options of {@link DirectColdEndpoints}. */
export interface DirectColdOptions {
  /** Id of this entry host. */
  readonly self: string;
  readonly runtime: Pick<Runtime, 'now' | 'log' | 'registry'>;
  readonly bounds: ColdBounds;
  /** What a service declares for cold endpoints; undefined for nothing. */
  readonly specOf: (service: string) => ColdSpec | undefined;
  /** When this process was last proven to have contact with the control processes, ms; -Infinity for never. */
  readonly contactAt: () => number;
}

/** An incarnation of an endpoint that is or was a member. */
interface KnownEndpoint {
  readonly service: string;
  readonly zone: string;
  readonly knowledge: ColdKnowledge;
  /** Since when it has not been a member, ms; null for a member. */
  readonly absentSince: number | null;
}

/** Cold endpoints, as one entry process knows them. */
export class DirectColdEndpoints {
  readonly #options: DirectColdOptions;

  readonly #known = new Map<IncarnationKey, KnownEndpoint>();

  /** Rates to cold endpoints, and to some that were cold until recently. */
  readonly #rates = new Map<IncarnationKey, ColdRate>();

  /** Cold endpoints whose begin of the cold time has been logged. */
  readonly #logged = new Map<IncarnationKey, ColdTime>();

  /** Cache of parts, cleared when the hosts change: computing one iterates over all hosts. */
  readonly #parts = new Map<IncarnationKey, { readonly spec: ColdSpec; readonly part: ColdPart }>();

  readonly #heldBack: Counter;

  /** Members of the first complete list since this process started or regained contact; null before. */
  #hosts: RecentHosts | null = null;

  #hashes: ReadonlyMap<string, number> = new Map();

  #members: readonly string[] = [];

  #sendFrom = Infinity;

  constructor(options: DirectColdOptions) {
    this.#options = options;
    const { registry } = options.runtime;
    const count = (): number => this.#logged.size;
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_cold_endpoints',
      help: 'Endpoints that count as cold',
      registers: [registry],
      collect() {
        this.set(count());
      },
    });
    this.#heldBack = new Counter({
      name: 'laburnumgauge_cold_held_back_total',
      help: 'Requests that waited or were held back because an endpoint is cold',
      registers: [registry],
    });
  }

  /** Applies the newest records of members; `isFull` for a complete list. */
  onRecords(records: readonly MemberRecord[], isFull: boolean): void {
    const now = this.#options.runtime.now();
    const isFirstList = this.#hosts === null && isFull;
    const endpoints = records.filter(({ offer }) => offer?.fleet === DIRECT_FLEET);
    endpoints.forEach((record) => {
      const incarnationKey = incarnationKeyOf(record);
      const known = this.#known.get(incarnationKey)?.knowledge;
      this.#known.set(incarnationKey, {
        service: record.offer?.service ?? '',
        zone: record.zone,
        knowledge: applyColdRecord(known, record, isFirstList, now),
        absentSince: record.status === 'gone' ? now : null,
      });
    });
    if (isFirstList) {
      const hosts = records.filter(({ role }) => role === 'entry');
      const members = hosts.filter(({ status }) => status === 'serving').map(({ id }) => id);
      const former = hosts.filter(({ status }) => status !== 'serving').map(({ id }) => id);
      this.#members = [...members, this.#options.self];
      this.#hosts = initColdHosts(this.#members, former, now);
      this.#sendFrom = coldSendFrom(now);
      this.#onHosts();
    }
    // A zone that returns sends hundreds of updates in a row: the other endpoints wait for the next tick.
    endpoints.forEach((record) => this.#refreshEndpoint(incarnationKeyOf(record), now));
  }

  /** Sets the entry hosts that share the rates. */
  setHosts(members: readonly string[]): void {
    this.#members = [...members, this.#options.self];
    this.#updateHosts();
  }

  /** Forgets endpoints that have not been members for long. */
  keep(isKept: (incarnationKey: IncarnationKey) => boolean): void {
    const now = this.#options.runtime.now();
    this.#known.forEach((known, incarnationKey) => {
      const absentSince = known.absentSince ?? (isKept(incarnationKey) ? null : now);
      if (absentSince !== null && now - absentSince > KNOWLEDGE_RETENTION_MS) {
        this.#known.delete(incarnationKey);
      } else if (absentSince !== known.absentSince) {
        this.#known.set(incarnationKey, { ...known, absentSince });
      }
    });
  }

  /** The evacuation of a zone has ended: its endpoints count as cold until they state otherwise. */
  onEvacuationFinished(zone: string): void {
    const now = this.#options.runtime.now();
    this.#known.forEach((known, incarnationKey) => {
      if (known.zone === zone) {
        const knowledge = doubtWarmth(known.knowledge, now);
        this.#known.set(incarnationKey, { ...known, knowledge });
      }
    });
    this.refresh();
  }

  /** Endpoints that accept nothing now. */
  get blocked(): readonly IncarnationKey[] {
    const now = this.#options.runtime.now();
    const isForgotten = this.#isForgotten;
    return [...this.#rates].flatMap(([incarnationKey, rate]) =>
      (isForgotten ? rate.until - now : coldWaitMs(rate, now)) > 0 ? [incarnationKey] : [],
    );
  }

  /** Time until an endpoint accepts a request, ms: the end of its cold time at the latest. */
  waitMs(endpoint: MemberRecord): number {
    return this.#waitMs(incarnationKeyOf(endpoint));
  }

  /** Reserves the next send slot at an endpoint. */
  reserve(endpoint: MemberRecord): void {
    const incarnationKey = incarnationKeyOf(endpoint);
    const rate = this.#rates.get(incarnationKey);
    const now = this.#options.runtime.now();
    if (rate !== undefined && !this.#isForgotten) {
      this.#rates.set(incarnationKey, reserveColdSlot(rate, now));
    }
  }

  /** Counts a request that has to wait for an endpoint, if the endpoint is cold. */
  countWait(endpoint: MemberRecord): void {
    if (this.waitMs(endpoint) > 0) {
      this.#heldBack.inc();
    }
  }

  /** Whether a request that has a send slot may be sent now; records the send. */
  start(endpoint: MemberRecord): boolean {
    const incarnationKey = incarnationKeyOf(endpoint);
    const now = this.#options.runtime.now();
    // Requests that have waited for the configuration may be sent while it is being applied.
    this.#refreshEndpoint(incarnationKey, now);
    const rate = this.#rates.get(incarnationKey);
    if (rate === undefined) {
      return true;
    }
    const mayStart = mayStartCold(rate, now) && (now >= rate.until || !this.#isForgotten);
    if (mayStart) {
      this.#rates.set(incarnationKey, startCold(rate, now));
    } else {
      this.#heldBack.inc();
    }
    return mayStart;
  }

  /** Applies the time that has passed, and what the configuration declares. */
  refresh(): void {
    const now = this.#options.runtime.now();
    this.#known.forEach((_known, incarnationKey) => this.#refreshEndpoint(incarnationKey, now));
    this.#rates.forEach(({ until }, incarnationKey) => {
      if (until + RATE_RETENTION_MS <= now) {
        this.#rates.delete(incarnationKey);
        this.#parts.delete(incarnationKey);
      }
    });
  }

  tick(): void {
    if (this.#hosts !== null && this.#isForgotten) {
      // Once there is contact again, the other hosts have to learn of this one as of a new one.
      this.#sendFrom = coldSendFrom(this.#options.runtime.now());
    }
    this.#updateHosts();
    this.refresh();
  }

  get #isForgotten(): boolean {
    return isForgottenSender(this.#options.contactAt(), this.#options.runtime.now());
  }

  #waitMs(incarnationKey: IncarnationKey): number {
    const rate = this.#rates.get(incarnationKey);
    if (rate === undefined) {
      return 0;
    }
    const now = this.#options.runtime.now();
    return this.#isForgotten ? Math.max(0, rate.until - now) : coldWaitMs(rate, now);
  }

  #refreshEndpoint(incarnationKey: IncarnationKey, now: number): void {
    const known = this.#known.get(incarnationKey);
    if (known === undefined) {
      return;
    }
    const spec = this.#options.specOf(known.service);
    const time = spec === undefined ? null : coldTimeOf(known.knowledge, spec.startMs);
    const isCold = time !== null && time.until > now && known.absentSince === null;
    if (spec !== undefined && isCold) {
      this.#setCold(incarnationKey, spec, time, now);
    } else {
      this.#setWarm(incarnationKey, time, now);
    }
  }

  #setCold(incarnationKey: IncarnationKey, spec: ColdSpec, time: ColdTime, now: number): void {
    const rate = this.#rates.get(incarnationKey);
    const part = this.#partOf(incarnationKey, spec);
    this.#rates.set(
      incarnationKey,
      rate === undefined
        ? initColdRate(part, this.#sendFrom, time.until, now)
        : updateColdRate(rate, part, this.#sendFrom, time.until, now),
    );
    if (this.#logged.get(incarnationKey)?.until !== time.until) {
      this.#logged.set(incarnationKey, time);
      const { source } = time;
      const leftMs = Math.round(time.until - now);
      const { intervalMs } = part;
      this.#options.runtime.log.info(
        { event: 'endpoint_cold', endpoint: incarnationKey, source, leftMs, intervalMs },
        'endpoint is cold',
      );
    }
  }

  #setWarm(incarnationKey: IncarnationKey, time: ColdTime | null, now: number): void {
    const rate = this.#rates.get(incarnationKey);
    if (rate !== undefined && rate.until > now) {
      this.#rates.set(incarnationKey, { ...rate, until: now });
    }
    const before = this.#logged.get(incarnationKey);
    if (before !== undefined) {
      this.#logged.delete(incarnationKey);
      const source = time?.until === before.until ? 'ended' : (time?.source ?? 'configuration');
      const leftMs = Math.max(0, Math.round(before.until - now));
      this.#options.runtime.log.info(
        { event: 'endpoint_warm', endpoint: incarnationKey, source, leftMs },
        'endpoint is warm',
      );
    }
  }

  #partOf(incarnationKey: IncarnationKey, spec: ColdSpec): ColdPart {
    const cached = this.#parts.get(incarnationKey);
    if (cached?.spec.perSecond === spec.perSecond) {
      return cached.part;
    }
    const { bounds, self } = this.#options;
    const { perSecond } = spec;
    const tolerance = { perSecond, maxPerWindow: perSecond * bounds.overshoot + bounds.slack };
    const plan = planColdSenders(tolerance, this.#hashes.size);
    const part = coldPartOf(plan, coldPlaceOf(self, incarnationKey, this.#hashes));
    this.#parts.set(incarnationKey, { spec, part });
    return part;
  }

  #updateHosts(): void {
    if (this.#hosts !== null) {
      const before = this.#hashes;
      this.#hosts = updateHosts(this.#hosts, this.#members, this.#options.runtime.now());
      const hosts = this.#hosts;
      if (hosts.size !== before.size || [...before.keys()].some((id) => !hosts.has(id))) {
        this.#onHosts();
        this.refresh();
      }
    }
  }

  #onHosts(): void {
    const ids = [...(this.#hosts?.keys() ?? [])];
    this.#hashes = new Map(ids.map((id) => [id, this.#hashes.get(id) ?? hashText(id)]));
    this.#parts.clear();
  }
}
