/** Orders that an engine accepts, with fencing on or off. */

/** An order, with the fencing token of who gives it. */
export interface FakeOrder {
  readonly order: string;
  readonly token: number;
  readonly value: unknown;
}

/** What an engine answers to an order. */
export interface FakeOrderReply {
  readonly accepted: boolean;
  readonly highest: number;
}

const KNOWN_ORDERS = new Set([
  'load-model',
  'unload-model',
  'load-adapter',
  'set-version',
  'set-role',
  'import-kv',
]);

/** Takes orders and remembers what was ordered last. */
export class FakeOrders {
  readonly #fencing: boolean;

  readonly #state = new Map<string, unknown>();

  #highest = 0;

  constructor(fencing: boolean) {
    this.#fencing = fencing;
  }

  get state(): Readonly<Record<string, unknown>> {
    return Object.fromEntries(this.#state);
  }

  /** An engine with fencing refuses a token lower than the highest seen; another takes any. */
  apply({ order, token, value }: FakeOrder): FakeOrderReply {
    const stale = this.#fencing && token < this.#highest;
    this.#highest = Math.max(this.#highest, token);
    const accepted = KNOWN_ORDERS.has(order) && !stale;
    if (accepted) {
      this.#state.set(order, value);
    }
    return { accepted, highest: this.#highest };
  }
}
