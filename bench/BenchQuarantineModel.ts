/** Model of endpoints, callers and requests that end the endpoints that run them, over the real set of suspects. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  clearSuspect,
  EMPTY_QUARANTINE,
  crashCount,
  recordSuspects,
  type QuarantineState,
} from '../src/coordination/index.js';

/** What is played. */
export interface QuarantineShape {
  readonly endpoints: number;
  /** Whether the endpoints are ranks of one group, whose work all ends with any of them. */
  readonly isGroup: boolean;
  /** Requests in progress at each endpoint. */
  readonly inProgress: number;
  /** Different requests that end endpoints. */
  readonly guilty: number;
  /** Endpoints that end for a reason of their own, a minute. */
  readonly ownEnds: number;
}

/** What came of it. */
export interface QuarantineOutcome {
  /** Ends by requests, and by themselves. */
  readonly ends: number;
  readonly ownEnds: number;
  readonly innocent: number;
  /** Innocent requests that were refused since ends were held against them. */
  readonly wronglyHeld: number;
  /** Innocent requests that were never served, wrongly held ones aside. */
  readonly lost: number;
}

const STEP_MS = 100;
const LENGTH_MS = 120_000;
const RUN_MS = 1_500;
const DOWN_MS = 4_000;
/** A caller that lost its request sends it again within this, so often at most; a guilty one comes this often. In ms. */
const RETURN_MS = 2_500;
const MOST_RETURNS = 4;
const GUILTY_MS = 1_000;

interface Item {
  readonly digest: string;
  readonly isGuilty: boolean;
  /** How often it was sent before. */
  readonly returns: number;
  readonly endAt: number;
}

interface Returning {
  readonly digest: string;
  readonly returns: number;
  readonly at: number;
}

/** The model at work. */
class QuarantineModel {
  readonly #shape: QuarantineShape;

  readonly #mostEnds: number;

  readonly #random: () => number;

  readonly #running: Item[][];

  readonly #downUntil: number[];

  readonly #life: number[];

  #returning: readonly Returning[] = [];

  #state: QuarantineState = EMPTY_QUARANTINE;

  #counter = 0;

  readonly #count = { ends: 0, ownEnds: 0, innocent: 0, wronglyHeld: 0, lost: 0 };

  constructor(shape: QuarantineShape, mostEnds: number, seed: number) {
    const rng = xoroshiro128plus(seed);
    this.#shape = shape;
    this.#mostEnds = mostEnds;
    this.#random = () => uniformFloat64(rng);
    this.#running = Array.from({ length: shape.endpoints }, () => []);
    this.#downUntil = Array.from({ length: shape.endpoints }, () => 0);
    this.#life = Array.from({ length: shape.endpoints }, () => 1);
  }

  play(): QuarantineOutcome {
    for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
      this.#step(now);
    }
    return { ...this.#count };
  }

  #step(now: number): void {
    const { endpoints, guilty, ownEnds } = this.#shape;
    this.#running.forEach((_items, at) => this.#finish(at, now));
    const due = this.#returning.filter((item) => item.at <= now);
    this.#returning = this.#returning.filter((item) => item.at > now);
    due.forEach(({ digest, returns }) => this.#send({ digest, isGuilty: false, returns }, now));
    if (now % GUILTY_MS === 0) {
      Array.from({ length: guilty }, (_item, i) => `guilty-${i}`).forEach((digest) =>
        this.#send({ digest, isGuilty: true, returns: 0 }, now),
      );
    }
    this.#fill(now);
    this.#running.forEach((items, at) => {
      if (items.some(({ isGuilty }) => isGuilty)) {
        this.#count.ends += 1;
        this.#end(at, now);
      }
    });
    if (this.#random() < (ownEnds * STEP_MS) / 60_000) {
      this.#count.ownEnds += 1;
      this.#end(Math.floor(this.#random() * endpoints), now);
    }
  }

  /** Requests that are answered whole clear themselves. */
  #finish(at: number, now: number): void {
    const items = this.#running[at] ?? [];
    items
      .filter(({ endAt }) => endAt <= now)
      .forEach(({ digest }) => {
        this.#state = clearSuspect(this.#state, digest).state;
      });
    this.#running[at] = items.filter(({ endAt }) => endAt > now);
  }

  /** Keeps each endpoint at the number in progress with new requests. */
  #fill(now: number): void {
    this.#running.forEach((items, at) => {
      if (!this.#isUp(at, now)) {
        return;
      }
      while (items.length < this.#shape.inProgress) {
        this.#counter += 1;
        this.#count.innocent += 1;
        // The first of all begin at different times.
        const endAt = now + RUN_MS * (now === 0 ? this.#random() : 1);
        items.push({ digest: `r${this.#counter}`, isGuilty: false, returns: 0, endAt });
      }
    });
  }

  #isUp(at: number, now: number): boolean {
    return this.#shape.isGroup
      ? this.#downUntil.every((until) => until <= now)
      : (this.#downUntil[at] ?? 0) <= now;
  }

  #send(item: Omit<Item, 'endAt'>, now: number): void {
    const suspect = this.#state.get(item.digest);
    if (suspect !== undefined && crashCount(suspect) >= this.#mostEnds) {
      this.#count.wronglyHeld += item.isGuilty ? 0 : 1;
      return;
    }
    const up = this.#running.flatMap((_items, at) => (this.#isUp(at, now) ? [at] : []));
    const at = up[Math.floor(this.#random() * up.length)];
    if (at === undefined) {
      this.#comeBack([item], now);
      return;
    }
    this.#running[at]?.push({ ...item, endAt: now + RUN_MS });
  }

  #end(at: number, now: number): void {
    const items = this.#running[at] ?? [];
    const life = `${at}@${this.#life[at] ?? 0}`;
    const suspects = items.map(({ digest }) => ({ digest, customer: '', request: digest }));
    this.#state = recordSuspects(this.#state, life, suspects, now).state;
    this.#life[at] = (this.#life[at] ?? 0) + 1;
    this.#downUntil[at] = now + DOWN_MS;
    const dropped = this.#shape.isGroup ? this.#running.flat() : items;
    this.#comeBack(dropped, now + DOWN_MS);
    this.#running.forEach((_items, i) => {
      if (this.#shape.isGroup || i === at) {
        this.#running[i] = [];
      }
    });
  }

  /** Callers of requests that were lost or found no endpoint return, unless they have given up. */
  #comeBack(items: readonly Omit<Item, 'endAt'>[], from: number): void {
    const innocent = items.filter(({ isGuilty }) => !isGuilty);
    const back = innocent.filter(({ returns }) => returns < MOST_RETURNS);
    this.#count.lost += innocent.length - back.length;
    const returning = back.map(({ digest, returns }) => ({
      digest,
      returns: returns + 1,
      at: from + RETURN_MS * this.#random(),
    }));
    this.#returning = [...this.#returning, ...returning];
  }
}

/** Plays two minutes; requests with so many ends are sent to no endpoint. */
export function playQuarantine(
  shape: QuarantineShape,
  mostEnds: number,
  seed: number,
): QuarantineOutcome {
  return new QuarantineModel(shape, mostEnds, seed).play();
}
