/** Stand-in for a group of ranks: passes in lock-step. */
import { EXPERTS, Rank } from './rank.mjs';

/** Group of ranks; without work it makes no passes. */
export class Group {
  step = 0;

  epoch = 1;

  state = 'open';

  hasWork = true;

  /** Passes that began while ranks had different maps. */
  mixed = [];

  #isWaiting = false;

  constructor(size, { passMs = 45, copyMs = 0, name = 'g-1' } = {}) {
    this.size = size;
    this.name = name;
    this.copyMs = copyMs;
    this.ranks = Array.from({ length: size }, (_item, i) => new Rank(this, i));
    this.counts = Array.from({ length: EXPERTS }, () => 0);
    this.timer = setInterval(() => this.#pass(), passMs);
  }

  stop() {
    clearInterval(this.timer);
  }

  /** A hold was released: a pass that waited for it begins at once. */
  onRelease() {
    if (this.#isWaiting) {
      this.#pass();
    }
  }

  #pass() {
    const next = this.step + 1;
    const isHeld = this.ranks.some(({ held }) => held !== null && held <= next);
    const isDue = this.hasWork && this.state === 'open';
    this.#isWaiting = isDue && isHeld;
    if (!isDue || isHeld) {
      return;
    }
    this.step = next;
    this.ranks.forEach((rank) => rank.begin(next));
    const versions = this.ranks.map(({ version }) => version);
    if (new Set(versions).size > 1) {
      this.mixed.push({ step: next, at: performance.now(), versions });
    }
    // One expert is in demand far more than the others.
    this.counts.forEach((count, expert) => {
      this.counts[expert] = count + (expert === 0 ? 3_000 : 300);
    });
  }
}
