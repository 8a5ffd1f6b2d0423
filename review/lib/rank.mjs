/** Stand-in for one rank of a group: reports, expert counts and orders. */

/** Number of experts of the only set. */
export const EXPERTS = 8;

/** One rank of a group. */
export class Rank {
  version = 0;

  highest = 0;

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

  /** Carries out an order; returns its status. */
  apply({ operation, version, step, mapping, epoch }) {
    const { group } = this;
    if (epoch !== undefined && epoch !== group.epoch) {
      return 409;
    }
    const isLate = step !== undefined && step <= group.step;
    const orders = {
      prepare: () => {
        if (version <= this.highest || this.armed !== null) {
          return 409;
        }
        this.highest = version;
        this.prepared = { version, mapping };
        return 202;
      },
      arm: () => {
        if (this.prepared?.version !== version || isLate) {
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
        return 200;
      },
      reservation: () => {
        if (isLate || (this.held !== null && this.held !== step)) {
          return 409;
        }
        this.held = step;
        return 202;
      },
      go: () => {
        if (this.held === step) {
          this.held = null;
        }
        return 200;
      },
    };
    return orders[operation]?.() ?? 400;
  }

  report(engine) {
    const { group } = this;
    return {
      stage: 'unified',
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: false,
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
      preloaded: this.prepared?.version ?? null,
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
