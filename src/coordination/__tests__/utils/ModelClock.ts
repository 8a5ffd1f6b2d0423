/** The clocks of a simulated host. */
import type { ClockReading } from '../../index.js';

/** Clocks that run at their own rate; the monotonic one stops while the host is suspended. */
export class ModelClock {
  readonly #rate: number;

  #monotonic: number;

  #wallOffset: number;

  constructor(random: () => number) {
    this.#rate = 1 + (random() - 0.5) * 0.01;
    this.#monotonic = random() * 1e6;
    this.#wallOffset = random() * 100;
  }

  advance(ms: number): void {
    this.#monotonic += ms * this.#rate;
  }

  set(ms: number): void {
    this.#wallOffset += ms;
  }

  read(now: number): ClockReading {
    return { monotonic: this.#monotonic, wall: now * this.#rate + this.#wallOffset };
  }
}
