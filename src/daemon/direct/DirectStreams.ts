/** The streams that an entry process is being sent, by endpoint: what tells first that a group stands still. */
import type { OwnStreams } from '../../coordination/index.js';

/**
 * An endpoint that has answered nothing for this long, with a request sent to it, is silent: three of the longest
 * passes, in which a prompt is read too. In ms.
 */
const UNRESPONSIVE_MS = 500;

/** A silent endpoint is tried again this long after the last request there was given up, ms: a caller's patience. */
const AVOID_MS = 2_000;

/** Requests sent to an endpoint that it has not answered. */
interface Unanswered {
  /** When they were sent, oldest first, ms. */
  readonly sentAt: readonly number[];
  /** Until when the endpoint is passed over in any case, ms. */
  readonly avoidedUntil: number;
}

const NONE_UNANSWERED: Unanswered = { sentAt: [], avoidedUntil: -Infinity };

/** Streams in progress; task state of an entry process. */
export class DirectStreams {
  readonly #streams = new Map<string, OwnStreams>();

  readonly #unanswered = new Map<string, Unanswered>();

  onSent(endpoint: string, now: number): void {
    const { sentAt, avoidedUntil } = this.#unanswered.get(endpoint) ?? NONE_UNANSWERED;
    this.#unanswered.set(endpoint, { sentAt: [...sentAt, now], avoidedUntil });
  }

  /** A request is over that had no event; `shuns` where the endpoint, silent, kept it until it was given up. */
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
   * Failure: the host of one rank stands still; its engine goes on with the group and sends nothing. Symptom: one
   * request after the other is sent there, for it has the least work, and waits until its caller leaves. Enough:
   * it is passed over while any other rank is left, until it answers, and then tried with one request now and then.
   * Where all are silent the group stands still, and none of them is to blame.
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

  /** An event has come; `begins` where it is a stream's first. */
  onEvent(endpoint: string, isFirst: boolean, now: number): void {
    const writing = (this.#streams.get(endpoint)?.writingCount ?? 0) + Number(isFirst);
    this.#streams.set(endpoint, { writingCount: writing, lastEventAt: now });
    const { sentAt } = this.#unanswered.get(endpoint) ?? NONE_UNANSWERED;
    const left = isFirst ? sentAt.slice(1) : sentAt;
    if (left.length > 0) {
      this.#unanswered.set(endpoint, { ...NONE_UNANSWERED, sentAt: left });
    } else {
      this.#unanswered.delete(endpoint);
    }
  }

  /** A stream that had begun is over. */
  onFinished(endpoint: string): void {
    const known = this.#streams.get(endpoint);
    if (known !== undefined && known.writingCount > 1) {
      this.#streams.set(endpoint, { ...known, writingCount: known.writingCount - 1 });
    } else {
      this.#streams.delete(endpoint);
    }
  }

  /** Streams at some endpoints, taken together. */
  combined(endpoints: readonly string[]): OwnStreams {
    const streams = endpoints.flatMap((endpoint) => this.#streams.get(endpoint) ?? []);
    return {
      writingCount: streams.reduce((sum, { writingCount }) => sum + writingCount, 0),
      lastEventAt: Math.max(-Infinity, ...streams.map(({ lastEventAt }) => lastEventAt)),
    };
  }
}
