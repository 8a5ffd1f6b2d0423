/** Stand-in for one rank of a group: reports, expert counts and orders. */

/** Number of experts of the only set. */
export const EXPERTS = 8;

/** One rank of a group. */
export class Rank {
  version = 0;

  highest = 0;

  /** Map that is prepared or being copied; `at` is when its experts have been copied. */
  prepared = null;

  armed = null;

  held = null;

  constructor(group, index) {
    this.group = group;
    this.index = index;
    this.experts = Array.from({ length: EXPERTS }, (_item, e) => e).filter(
      (e) => e % group.size === index,
    );
  }

  begin(step) {
    if (this.armed !== null && this.armed.step <= step && this.prepared !== null) {
      this.version = this.prepared.version;
      this.experts = this.prepared.mapping[0][this.index];
      this.armed = null;
      this.prepared = null;
    }
  }

  get isCopying() {
    return this.prepared !== null && performance.now() < this.prepared.at;
  }

  /** Carries out an order; returns its status. */
  apply({ operation, version, step, mapping, epoch }) {
    const { group } = this;
    if (epoch !== undefined && epoch !== group.epoch) {
      return 409;
    }
    const hasBegun = step !== undefined && step <= group.step;
    const orders = {
      prepare: () => this.#prepare(version, mapping),
      arm: () => {
        if (this.prepared?.version !== version || this.isCopying || hasBegun) {
          return 409;
        }
        this.armed = { version, step };
        return 202;
      },
      disarm: () => {
        if (this.armed?.version !== version) {
          return 409;
        }
        this.armed = null;
        return 202;
      },
      reservation: () => {
        if (hasBegun || (this.held !== null && this.held !== step)) {
          return 409;
        }
        this.held = step;
        return 202;
      },
      go: () => {
        if (this.held !== step) {
          return 200;
        }
        this.held = null;
        group.onRelease();
        return 202;
      },
    };
    return orders[operation]?.() ?? 400;
  }

  #prepare(version, mapping) {
    if (version <= this.highest || this.armed !== null) {
      return 409;
    }
    const added = mapping[0][this.index].filter((expert) => !this.experts.includes(expert));
    this.highest = version;
    const at = performance.now() + added.length * this.group.copyMs;
    this.prepared = { version, mapping, at };
    return 202;
  }

  report(engine) {
    const { group } = this;
    return {
      stage: 'unified',
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: this.isCopying,
      seq: 0,
      queued: 0,
      active: engine.active,
      kvUsed: 0,
      kvTotal: 248_000,
      handles: 0,
      born: engine.born,
      group: { name: group.name, epoch: group.epoch, rank: this.index, state: group.state },
      size: group.size,
      pace: 1,
      step: group.step,
      mapping: this.version,
      preloaded: this.isCopying ? null : (this.prepared?.version ?? null),
      enabled: this.armed,
      held: this.held,
    };
  }

  /** Answers a call of the program on the engine's host. */
  answer(engine, url, body, send) {
    const { group } = this;
    if (url.endsWith('/report')) {
      send(200, this.report(engine));
    } else if (url.includes('lists')) {
      send(200, { mapping: { version: this.version, experts: [this.experts] }, preloaded: null });
    } else if (url.endsWith('/picked')) {
      send(200, { step: group.step, epoch: group.epoch, counts: group.counts });
    } else {
      this.onOrder(JSON.parse(body), send);
    }
  }

  onOrder(order, send) {
    send(this.apply(order), {});
  }
}
