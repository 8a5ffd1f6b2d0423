/** Streams that an entry process receives, by endpoint. They are the first to show that a group has stalled. */
import type { OwnStreams } from '../../coordination/index.js';

/**
 * An endpoint that has answered nothing for this long, with a request sent to it, is unresponsive: three of the
 * longest passes, in which a prompt is read too. In ms.
 */
const UNRESPONSIVE_MS = 500;

/** An unresponsive endpoint is avoided this long after its last request was cancelled, ms: a caller's patience. */
const AVOID_MS = 2_000;

/** Requests that an endpoint has not answered. */
interface Unanswered {
  /** When they were sent, oldest first, ms. */
  readonly sentAt: readonly number[];
  /** Until when the endpoint is avoided in any case, ms. */
  readonly avoidedUntil: number;
}

const NONE_UNANSWERED: Unanswered = { sentAt: [], avoidedUntil: -Infinity };

/** Streams and unanswered requests of one entry process. */
export class DirectStreams {
  readonly #streams = new Map<string, OwnStreams>();

  readonly #unanswered = new Map<string, Unanswered>();

  onSent(endpoint: string, now: number): void {
    const { sentAt, avoidedUntil } = this.#unanswered.get(endpoint) ?? NONE_UNANSWERED;
    this.#unanswered.set(endpoint, { sentAt: [...sentAt, now], avoidedUntil });
  }

  /** Records the end of a request without any event; `avoid` where it was cancelled at an unresponsive endpoint. */
  onUnanswered(endpoint: string, avoid: boolean, now: number): void {
    const { sentAt, avoidedUntil } = this.#unanswered.get(endpoint) ?? NONE_UNANSWERED;
    const until = avoid ? now + AVOID_MS : avoidedUntil;
    if (sentAt.length > 1 || until > now) {
      this.#unanswered.set(endpoint, { sentAt: sentAt.slice(1), avoidedUntil: until });
    } else {
      this.#unanswered.delete(endpoint);
    }
  }

  /**
   * Endpoints of one group that answer nothing while others of it do.
   *
   * If the host of one rank stalls, its engine keeps up with the group but sends nothing. As it has the least work,
   * one request after another would be sent there and wait until its caller leaves. So the endpoint is avoided while
   * any other rank is left, until it answers, and probed with one request now and then. Where no endpoint answers,
   * the whole group has stalled, and none of them counts as unresponsive.
   */
  unresponsiveAmong(endpoints: readonly string[], now: number): readonly string[] {
    const pending = endpoints.filter((endpoint) => this.#unanswered.has(endpoint));
    if (pending.length === 0) {
      return [];
    }
    const groupEventAt = this.combined(endpoints).lastEventAt;
    return pending.filter((endpoint) => {
      const { sentAt, avoidedUntil } = this.#unanswered.get(endpoint) ?? NONE_UNANSWERED;
      const ownEventAt = this.#streams.get(endpoint)?.lastEventAt ?? -Infinity;
      const [oldest = Infinity] = sentAt;
      const isOverdue = groupEventAt - Math.max(oldest, ownEventAt) > UNRESPONSIVE_MS;
      return now < avoidedUntil || isOverdue;
    });
  }

  /** Records an event; `isFirst` for the first of a stream. */
  onEvent(endpoint: string, isFirst: boolean, now: number): void {
    const writingCount = (this.#streams.get(endpoint)?.writingCount ?? 0) + Number(isFirst);
    this.#streams.set(endpoint, { writingCount, lastEventAt: now });
    const { sentAt } = this.#unanswered.get(endpoint) ?? NONE_UNANSWERED;
    const left = isFirst ? sentAt.slice(1) : sentAt;
    if (left.length > 0) {
      this.#unanswered.set(endpoint, { ...NONE_UNANSWERED, sentAt: left });
    } else {
      this.#unanswered.delete(endpoint);
    }
  }

  /** Records the end of a stream from which events were received. */
  onFinished(endpoint: string): void {
    const known = this.#streams.get(endpoint);
    if (known !== undefined && known.writingCount > 1) {
      this.#streams.set(endpoint, { ...known, writingCount: known.writingCount - 1 });
    } else {
      this.#streams.delete(endpoint);
    }
  }

  /** Streams at several endpoints combined. */
  combined(endpoints: readonly string[]): OwnStreams {
    const streams = endpoints.flatMap((endpoint) => this.#streams.get(endpoint) ?? []);
    return {
      writingCount: streams.reduce((sum, { writingCount }) => sum + writingCount, 0),
      lastEventAt: Math.max(-Infinity, ...streams.map(({ lastEventAt }) => lastEventAt)),
    };
  }
}
