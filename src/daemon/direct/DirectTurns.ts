/**
 * When endpoints that have asked for relief take a request from this entry process: asked before an endpoint is chosen,
 * and right before each send.
 */
import { endpointIdOf, incarnationKeyOf, type IncarnationKey, type LimitTimestamp } from '../../coordination/index.js';
import type { AnswerHead, MemberRecord } from '../../protocol/index.js';
import { DirectLimits, type DirectLimitsOptions } from './DirectLimits.js';
import { DirectRefusals } from './DirectRefusals.js';
import { DirectRests } from './DirectRests.js';

/** An endpoint that leaves, and is no member any more, is remembered this long, ms. */
const LEAVING_MS = 600_000;

/** An endpoint that takes a request after a time, ms; infinite for none to come. */
export interface Turn {
  readonly endpoint: MemberRecord;
  readonly waitMs: number;
}

/** What the task needs. */
export interface DirectTurnsOptions extends DirectLimitsOptions {
  /** The endpoint with an id, as long as it serves. */
  readonly serving: (id: string) => MemberRecord | undefined;
}

/** Task of one entry process. */
export class DirectTurns {
  readonly limits: DirectLimits;

  readonly refusals: DirectRefusals;

  readonly #rests: DirectRests;

  /** Endpoints that have said that they leave, with when they last did, ms: they take nothing any more. */
  readonly #leaving = new Map<IncarnationKey, number>();

  readonly #runtime: DirectLimitsOptions['runtime'];

  readonly #serving: (id: string) => MemberRecord | undefined;

  constructor(options: DirectTurnsOptions) {
    this.#serving = options.serving;
    this.#runtime = options.runtime;
    this.limits = new DirectLimits(options);
    this.#rests = new DirectRests(options.runtime);
    this.refusals = new DirectRefusals(options.runtime);
  }

  /** Takes what the head of an endpoint's answer asks for; `sent` marks its request. */
  onAnswer(endpoint: MemberRecord, head: AnswerHead, request: string, sent: LimitTimestamp): void {
    if (!head.wrongInstance) {
      this.limits.onAnswer(endpoint, sent, head.limit, request);
      this.#rests.onAnswer(endpoint, head.restMs, request);
      this.refusals.onAnswer(endpoint, head, request);
      this.#onLeaving(endpoint, head.isLeaving, request);
    }
  }

  /** Forgets lives that are over: one that is only out of reach comes back within a time. */
  keep(isKept: (life: IncarnationKey) => boolean): void {
    const old = this.#runtime.now() - LEAVING_MS;
    [...this.#leaving]
      .filter(([life, at]) => at < old && !isKept(life))
      .forEach(([life]) => this.#leaving.delete(life));
  }

  /** Whether a request may be sent to an endpoint now; `hasTurn` where its turn was taken before. */
  start(endpoint: MemberRecord, hasTurn: boolean): boolean {
    if (this.#rests.isResting(endpoint) || this.#leaving.has(incarnationKeyOf(endpoint))) {
      return false;
    }
    const isFree = hasTurn || this.#waitMs(endpoint) === 0;
    if (isFree && !hasTurn) {
      this.#reserve(endpoint);
    }
    return isFree;
  }

  /** Ids of endpoints that must not be chosen: these, and those that take nothing now. */
  without(exclude: readonly string[]): readonly string[] {
    const held = this.#held();
    return held.length === 0 ? exclude : [...exclude, ...held.map(({ endpoint }) => endpoint.id)];
  }

  /** Takes the next turn at an endpoint of the service; null where none comes in time. */
  take(service: string, exclude: readonly string[], withinMs: number): Turn | null {
    const next = this.next(service, exclude);
    if (next === null || next.waitMs > withinMs) {
      return null;
    }
    this.#reserve(next.endpoint);
    return next;
  }

  /** The next turn at an endpoint of the service that takes nothing now; null where none will come. */
  next(service: string, exclude: readonly string[]): Turn | null {
    return this.#held()
      .filter(({ endpoint }) => endpoint.offer?.service === service)
      .filter(({ endpoint, waitMs }) => !exclude.includes(endpoint.id) && waitMs < Infinity)
      .reduce<Turn | null>((a, b) => (a === null || b.waitMs < a.waitMs ? b : a), null);
  }

  /** Whether the endpoint of a turn still serves. */
  isServing({ endpoint }: Turn): boolean {
    return this.#serving(endpoint.id)?.incarnation === endpoint.incarnation;
  }

  tick(): void {
    this.limits.tick();
    this.#rests.tick();
    this.refusals.tick();
  }

  #onLeaving(endpoint: MemberRecord, isLeaving: boolean, request: string): void {
    if (!isLeaving) {
      return;
    }
    const { log, now } = this.#runtime;
    const life = incarnationKeyOf(endpoint);
    if (!this.#leaving.has(life)) {
      log.info({ event: 'endpoint_leaves', endpoint: life, request }, 'an endpoint leaves');
    }
    this.#leaving.set(life, now());
  }

  #waitMs(endpoint: MemberRecord): number {
    if (this.#leaving.has(incarnationKeyOf(endpoint))) {
      return Infinity;
    }
    return Math.max(this.limits.waitMs(endpoint), this.#rests.waitMs(endpoint));
  }

  #reserve(endpoint: MemberRecord): void {
    this.limits.reserve(endpoint);
    this.#rests.reserve(endpoint);
  }

  /** Endpoints that take nothing now. */
  #held(): readonly Turn[] {
    const paced = [...this.limits.heldBack, ...this.#rests.heldBack].map(([life]) => life);
    const lives = new Set([...paced, ...this.#leaving.keys()]);
    return [...lives].flatMap((life) => {
      const endpoint = this.#serving(endpointIdOf(life));
      return endpoint !== undefined && incarnationKeyOf(endpoint) === life
        ? [{ endpoint, waitMs: this.#waitMs(endpoint) }]
        : [];
    });
  }
}
