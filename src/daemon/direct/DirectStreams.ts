/** The streams that an entry process is being sent, by endpoint: what tells first that a group stands still. */
import type { OwnStreams } from '../../coordination/index.js';

/** Streams in progress; task state of an entry process. */
export class DirectStreams {
  readonly #streams = new Map<string, OwnStreams>();

  /** An event has come; `begins` where it is a stream's first. */
  onEvent(endpoint: string, begins: boolean, now: number): void {
    const writing = (this.#streams.get(endpoint)?.writing ?? 0) + Number(begins);
    this.#streams.set(endpoint, { writing, eventAt: now });
  }

  /** A stream that had begun is over. */
  onOver(endpoint: string): void {
    const known = this.#streams.get(endpoint);
    if (known !== undefined && known.writing > 1) {
      this.#streams.set(endpoint, { ...known, writing: known.writing - 1 });
    } else {
      this.#streams.delete(endpoint);
    }
  }

  /** Streams at some endpoints, taken together. */
  at(endpoints: readonly string[]): OwnStreams {
    const streams = endpoints.flatMap((endpoint) => this.#streams.get(endpoint) ?? []);
    return {
      writing: streams.reduce((sum, { writing }) => sum + writing, 0),
      eventAt: Math.max(-Infinity, ...streams.map(({ eventAt }) => eventAt)),
    };
  }
}
