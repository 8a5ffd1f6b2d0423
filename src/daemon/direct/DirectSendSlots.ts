/**
 * Decides when endpoints that are cold, or have a limit or a backoff, accept a request from this entry process: consulted
 * before an endpoint is chosen, and right before each send.
 */
import {
  endpointIdOf,
  incarnationKeyOf,
  type IncarnationKey,
  type LimitTimestamp,
} from '../../coordination/index.js';
import type { AnswerHead, MemberRecord } from '../../protocol/index.js';
import { DirectColdEndpoints, type DirectColdOptions } from './DirectColdEndpoints.js';
import { DirectLimits, type DirectLimitsOptions } from './DirectLimits.js';
import { DirectRefusals } from './DirectRefusals.js';
import { DirectBackoffs } from './DirectBackoffs.js';

/** A leaving endpoint that isn't a member any more is remembered this long, ms. */
const LEAVING_RETENTION_MS = 600_000;

/** An endpoint, and the time until it accepts a request, ms; infinite if it never will. */
export interface SendSlot {
  readonly endpoint: MemberRecord;
  readonly waitMs: number;
}

/** Options of {@link DirectSendSlots}. */
export interface DirectSendSlotsOptions extends DirectLimitsOptions {
  /** The endpoint with an id; undefined if it isn't serving. */
  readonly serving: (id: string) => MemberRecord | undefined;
  /** Whether an endpoint may be sent requests at all, whatever its limits. */
  readonly mayReceive: (endpoint: MemberRecord) => boolean;
  readonly cold: Pick<DirectColdOptions, 'bounds' | 'specOf' | 'contactAt'>;
}

/** Send slots of one entry process. */
export class DirectSendSlots {
  readonly limits: DirectLimits;

  readonly refusals: DirectRefusals;

  readonly cold: DirectColdEndpoints;

  readonly #backoffs: DirectBackoffs;

  /**
   * Endpoints that have announced that they leave, with the time of their last announcement, ms; they accept nothing
   * any more.
   */
  readonly #leaving = new Map<IncarnationKey, number>();

  readonly #runtime: DirectLimitsOptions['runtime'];

  readonly #serving: (id: string) => MemberRecord | undefined;

  readonly #mayReceive: (endpoint: MemberRecord) => boolean;

  constructor(options: DirectSendSlotsOptions) {
    this.#mayReceive = options.mayReceive;
    this.#serving = options.serving;
    this.#runtime = options.runtime;
    this.limits = new DirectLimits(options);
    this.#backoffs = new DirectBackoffs(options.runtime);
    this.refusals = new DirectRefusals(options.runtime);
    const { self, runtime, cold } = options;
    this.cold = new DirectColdEndpoints({ self, runtime, ...cold });
  }

  /** Applies what the head of an endpoint's answer requests; `sent` is the timestamp of its request. */
  onAnswer(endpoint: MemberRecord, head: AnswerHead, request: string, sent: LimitTimestamp): void {
    if (!head.wrongInstance) {
      this.limits.onAnswer(endpoint, sent, head.limit, request);
      this.#backoffs.onAnswer(endpoint, head.restMs, request);
      this.refusals.onAnswer(endpoint, head, request);
      this.#onLeaving(endpoint, head.isLeaving, request);
    }
  }

  /**
   * Forgets leaving endpoints that aren't members any more, after a delay: one that is only unreachable comes back
   * earlier.
   */
  keep(isKept: (incarnationKey: IncarnationKey) => boolean): void {
    this.cold.keep(isKept);
    const old = this.#runtime.now() - LEAVING_RETENTION_MS;
    [...this.#leaving]
      .filter(([incarnationKey, at]) => at < old && !isKept(incarnationKey))
      .forEach(([incarnationKey]) => this.#leaving.delete(incarnationKey));
  }

  /**
   * Whether a request may be sent to an endpoint now. Takes a send slot there, unless `hasSlot`: then one was
   * reserved before. A cold endpoint is checked in any case: a reserved request may be late, and too close to the
   * next one.
   */
  start(endpoint: MemberRecord, hasSlot: boolean): boolean {
    if (!this.#mayReceive(endpoint)) {
      return false;
    }
    if (this.#backoffs.isBackedOff(endpoint) || this.#leaving.has(incarnationKeyOf(endpoint))) {
      return false;
    }
    const isFree = (hasSlot || this.#waitMs(endpoint) === 0) && this.cold.start(endpoint);
    if (isFree && !hasSlot) {
      this.#reserve(endpoint);
    }
    return isFree;
  }

  /** Ids of endpoints that must not be chosen: those given, and the blocked ones. */
  withBlocked(exclude: readonly string[]): readonly string[] {
    const blocked = this.#blocked();
    return blocked.length === 0 ? exclude : [...exclude, ...blocked.map(({ id }) => id)];
  }

  /** Reserves the next send slot at a blocked endpoint of the service; null if there is none in time. */
  reserveNext(service: string, exclude: readonly string[], withinMs: number): SendSlot | null {
    const next = this.next(service, exclude);
    if (next === null || next.waitMs > withinMs) {
      return null;
    }
    this.cold.countWait(next.endpoint);
    this.#reserve(next.endpoint);
    return next;
  }

  /** The next send slot at a blocked endpoint of the service; null if there is none. */
  next(service: string, exclude: readonly string[]): SendSlot | null {
    return this.#blocked()
      .filter(({ id, offer }) => offer?.service === service && !exclude.includes(id))
      .map((endpoint): SendSlot => ({ endpoint, waitMs: this.#waitMs(endpoint) }))
      .filter(({ waitMs }) => waitMs < Infinity)
      .reduce<SendSlot | null>((a, b) => (a === null || b.waitMs < a.waitMs ? b : a), null);
  }

  /** Whether the endpoint of a send slot still serves. */
  isServing({ endpoint }: SendSlot): boolean {
    return this.#serving(endpoint.id)?.incarnation === endpoint.incarnation;
  }

  tick(): void {
    this.limits.tick();
    this.#backoffs.tick();
    this.cold.tick();
    this.refusals.tick();
  }

  #onLeaving(endpoint: MemberRecord, isLeaving: boolean, request: string): void {
    if (!isLeaving) {
      return;
    }
    const { log, now } = this.#runtime;
    const incarnationKey = incarnationKeyOf(endpoint);
    if (!this.#leaving.has(incarnationKey)) {
      log.info(
        { event: 'endpoint_leaves', endpoint: incarnationKey, request },
        'endpoint is leaving',
      );
    }
    this.#leaving.set(incarnationKey, now());
  }

  #waitMs(endpoint: MemberRecord): number {
    if (this.#leaving.has(incarnationKeyOf(endpoint))) {
      return Infinity;
    }
    return Math.max(
      this.limits.waitMs(endpoint),
      this.#backoffs.waitMs(endpoint),
      this.cold.waitMs(endpoint),
    );
  }

  #reserve(endpoint: MemberRecord): void {
    this.limits.reserve(endpoint);
    this.#backoffs.reserve(endpoint);
    this.cold.reserve(endpoint);
  }

  /** Endpoints that accept nothing now. */
  #blocked(): readonly MemberRecord[] {
    const limited = [...this.limits.blocked, ...this.#backoffs.blocked].map(
      ([incarnationKey]) => incarnationKey,
    );
    const incarnationKeys = new Set([...limited, ...this.cold.blocked, ...this.#leaving.keys()]);
    return [...incarnationKeys].flatMap((incarnationKey) => {
      const endpoint = this.#serving(endpointIdOf(incarnationKey));
      return endpoint !== undefined && incarnationKeyOf(endpoint) === incarnationKey
        ? [endpoint]
        : [];
    });
  }
}
