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

  constructor(size, { passMs = 45, readPassesMs = [], copyMs = 0, name = 'g-1' } = {}) {
    this.size = size;
    this.name = name;
    this.copyMs = copyMs;
    this.ranks = Array.from({ length: size }, (_item, i) => new Rank(this, i));
    this.counts = Array.from({ length: EXPERTS }, () => 0);
    this.passMs = passMs;
    this.readPassesMs = readPassesMs;
    this.readLeft = [];
    this.#plan(passMs);
  }

  stop() {
    this.hasWork = false;
    clearTimeout(this.timer);
    this.isStopped = true;
  }

  /** A first request comes: its pass begins at once, and the first passes only read its prompt. */
  addWork() {
    this.hasWork = true;
    this.readLeft = [...this.readPassesMs];
    this.#pass();
  }

  #plan(ms) {
    clearTimeout(this.timer);
    if (this.isStopped !== true) {
      this.timer = setTimeout(() => this.#pass(), ms);
    }
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
    this.#plan(this.readLeft.shift() ?? this.passMs);
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
