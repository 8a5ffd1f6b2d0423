/** State of an engine that orders change, with or without fencing. */

/** An order with the fencing token of its sender. */
export interface FakeOrder {
  readonly order: string;
  readonly token: number;
  readonly value: unknown;
}

/** Reply of an engine to an order; `highest` is the highest token that it has received. */
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

/** Applies orders and keeps the last value of each. */
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

  /** Applies an order of a known name. With fencing, a token lower than the highest received is refused. */
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
