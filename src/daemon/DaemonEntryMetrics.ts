/** Metrics of an entry process, whether its requests go through gates or directly to endpoints. */
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

/** Bucket bounds for the time to the first byte, s, around the objectives of 0.12 s to 0.63 s. */
const FIRST_BYTE_BUCKETS = [0.01, 0.05, 0.1, 0.2, 0.4, 0.63, 1, 2, 5];

/** Counts requests by outcome, and measures the time to their first byte. */
export class EntryMetrics {
  readonly #requests: Counter<'outcome'>;

  readonly #replies: Counter<'head'>;

  readonly #firstByte: Histogram;

  readonly endpointCrashes: Counter;

  readonly #registers: readonly Registry[];

  /** `inProgress` is called each time the metrics are read. */
  constructor(registry: Registry, inProgress: () => number) {
    const registers = [registry];
    this.#registers = registers;
    this.#requests = new Counter({
      name: 'laburnumgauge_requests_total',
      help: 'Requests ended, by outcome',
      labelNames: ['outcome'],
      registers,
    });
    this.#replies = new Counter({
      name: 'laburnumgauge_replies_total',
      help: 'Requests ended, by whose head the answer bore: endpoint, own, library, none for no answer',
      labelNames: ['head'],
      registers,
    });
    this.#firstByte = new Histogram({
      name: 'laburnumgauge_first_byte_seconds',
      help: 'Time to the first byte of the answer',
      buckets: FIRST_BYTE_BUCKETS,
      registers,
    });
    this.endpointCrashes = new Counter({
      name: 'laburnumgauge_endpoint_ends_total',
      help: 'Ends of endpoints under requests of this process',
      registers,
    });
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_requests_in_progress',
      help: 'Requests in progress',
      registers,
      collect() {
        this.set(inProgress());
      },
    });
  }

  /** `suspects` is called each time the metrics are read. */
  addSuspects(suspects: () => number): void {
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_suspect_requests',
      help: 'Requests that ends of endpoints are held against',
      registers: [...this.#registers],
      collect() {
        this.set(suspects());
      },
    });
  }

  /** `forgotten` is called each time the metrics are read. */
  addForgottenParts(forgotten: () => number): void {
    // eslint-disable-next-line no-new
    new Gauge({
      name: 'laburnumgauge_forgotten_prompt_parts',
      help: 'Parts of prompts with a recent answer that were forgotten early, as there were too many',
      registers: [...this.#registers],
      collect() {
        this.set(forgotten());
      },
    });
  }

  onEnded(outcome: string): void {
    this.#requests.inc({ outcome });
  }

  onReply(head: string): void {
    this.#replies.inc({ head });
  }

  /** Records the time to a first byte, ms. */
  onFirstByte(ms: number): void {
    this.#firstByte.observe(ms / 1_000);
  }
}
