/** Model of endpoints, callers and requests that crash the endpoints that run them, with the real set of suspects. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  clearSuspects,
  EMPTY_QUARANTINE,
  crashCount,
  recordSuspects,
  type QuarantineState,
} from '../src/coordination/index.js';

/** Parameters of a simulation. */
export interface QuarantineShape {
  readonly endpoints: number;
  /** Whether the endpoints are ranks of one group, which loses all its requests when any of them crashes. */
  readonly isGroup: boolean;
  /** Requests in progress at each endpoint. */
  readonly inProgress: number;
  /** Number of different requests that crash endpoints. */
  readonly fatalRequests: number;
  /** Crashes per minute, over all endpoints, that no request causes. */
  readonly crashesPerMinute: number;
}

/** Result of a simulation. */
export interface QuarantineOutcome {
  /** Crashes caused by requests, and crashes for other reasons. */
  readonly ends: number;
  readonly ownEnds: number;
  readonly innocent: number;
  /** Innocent requests that were refused because of the crashes counted against them. */
  readonly wronglyHeld: number;
  /** Innocent requests that were never served, not counting wrongly refused ones. */
  readonly lost: number;
}

const STEP_MS = 100;
const DURATION_MS = 120_000;
const RUN_MS = 1_500;
const RESTART_MS = 4_000;
/** A caller retries a lost request within this, ms, `MAX_RETRIES` times at most; fatal ones have an interval of their own. */
const RETRY_WINDOW_MS = 2_500;
const MAX_RETRIES = 4;
const FATAL_INTERVAL_MS = 1_000;

interface ModelRequest {
  readonly digest: string;
  readonly isFatal: boolean;
  /** Number of times that it was sent before. */
  readonly retries: number;
  readonly endAt: number;
}

interface PendingRetry {
  readonly digest: string;
  readonly retries: number;
  readonly at: number;
}

/** A running simulation. */
class QuarantineModel {
  readonly #shape: QuarantineShape;

  readonly #quarantineCrashes: number;

  readonly #random: () => number;

  readonly #running: ModelRequest[][];

  readonly #downUntil: number[];

  readonly #incarnations: number[];

  #pendingRetries: readonly PendingRetry[] = [];

  #state: QuarantineState = EMPTY_QUARANTINE;

  #counter = 0;

  readonly #count = { ends: 0, ownEnds: 0, innocent: 0, wronglyHeld: 0, lost: 0 };

  constructor(shape: QuarantineShape, quarantineCrashes: number, seed: number) {
    const rng = xoroshiro128plus(seed);
    this.#shape = shape;
    this.#quarantineCrashes = quarantineCrashes;
    this.#random = () => uniformFloat64(rng);
    this.#running = Array.from({ length: shape.endpoints }, () => []);
    this.#downUntil = Array.from({ length: shape.endpoints }, () => 0);
    this.#incarnations = Array.from({ length: shape.endpoints }, () => 1);
  }

  run(): QuarantineOutcome {
    for (let now = 0; now < DURATION_MS; now += STEP_MS) {
      this.#step(now);
    }
    return { ...this.#count };
  }

  #step(now: number): void {
    const { endpoints, fatalRequests, crashesPerMinute } = this.#shape;
    this.#running.forEach((_items, at) => this.#completeRequests(at, now));
    const due = this.#pendingRetries.filter((item) => item.at <= now);
    this.#pendingRetries = this.#pendingRetries.filter((item) => item.at > now);
    due.forEach(({ digest, retries }) => this.#send({ digest, isFatal: false, retries }, now));
    if (now % FATAL_INTERVAL_MS === 0) {
      Array.from({ length: fatalRequests }, (_item, i) => `guilty-${i}`).forEach((digest) =>
        this.#send({ digest, isFatal: true, retries: 0 }, now),
      );
    }
    this.#startRequests(now);
    this.#running.forEach((items, at) => {
      if (items.some(({ isFatal }) => isFatal)) {
        this.#count.ends += 1;
        this.#crash(at, now);
      }
    });
    if (this.#random() < (crashesPerMinute * STEP_MS) / 60_000) {
      this.#count.ownEnds += 1;
      this.#crash(Math.floor(this.#random() * endpoints), now);
    }
  }

  /** Completes requests that are due; a complete answer clears the request as a suspect. */
  #completeRequests(at: number, now: number): void {
    const items = this.#running[at] ?? [];
    items
      .filter(({ endAt }) => endAt <= now)
      .forEach(({ digest }) => {
        this.#state = clearSuspects(this.#state, [digest]).state;
      });
    this.#running[at] = items.filter(({ endAt }) => endAt > now);
  }

  /** Sends new requests so that each running endpoint has the given number in progress. */
  #startRequests(now: number): void {
    this.#running.forEach((items, at) => {
      if (!this.#isUp(at, now)) {
        return;
      }
      while (items.length < this.#shape.inProgress) {
        this.#counter += 1;
        this.#count.innocent += 1;
        // The initial requests end at random times, so that they aren't in step.
        const endAt = now + RUN_MS * (now === 0 ? this.#random() : 1);
        items.push({ digest: `r${this.#counter}`, isFatal: false, retries: 0, endAt });
      }
    });
  }

  #isUp(at: number, now: number): boolean {
    return this.#shape.isGroup
      ? this.#downUntil.every((until) => until <= now)
      : (this.#downUntil[at] ?? 0) <= now;
  }

  #send(item: Omit<ModelRequest, 'endAt'>, now: number): void {
    const suspect = this.#state.get(item.digest);
    if (suspect !== undefined && crashCount(suspect) >= this.#quarantineCrashes) {
      this.#count.wronglyHeld += item.isFatal ? 0 : 1;
      return;
    }
    const up = this.#running.flatMap((_items, at) => (this.#isUp(at, now) ? [at] : []));
    const at = up[Math.floor(this.#random() * up.length)];
    if (at === undefined) {
      this.#scheduleRetries([item], now);
      return;
    }
    this.#running[at]?.push({ ...item, endAt: now + RUN_MS });
  }

  #crash(at: number, now: number): void {
    const items = this.#running[at] ?? [];
    const incarnationKey = `${at}@${this.#incarnations[at] ?? 0}`;
    const suspects = items.map(({ digest }) => ({
      digest,
      customer: '',
      parts: [],
      request: digest,
    }));
    this.#state = recordSuspects(this.#state, incarnationKey, suspects, now).state;
    this.#incarnations[at] = (this.#incarnations[at] ?? 0) + 1;
    this.#downUntil[at] = now + RESTART_MS;
    const dropped = this.#shape.isGroup ? this.#running.flat() : items;
    this.#scheduleRetries(dropped, now + RESTART_MS);
    this.#running.forEach((_items, i) => {
      if (this.#shape.isGroup || i === at) {
        this.#running[i] = [];
      }
    });
  }

  /** Schedules retries of requests that were lost or found no endpoint; drops those without retries left. */
  #scheduleRetries(items: readonly Omit<ModelRequest, 'endAt'>[], from: number): void {
    const innocent = items.filter(({ isFatal }) => !isFatal);
    const retryable = innocent.filter(({ retries }) => retries < MAX_RETRIES);
    this.#count.lost += innocent.length - retryable.length;
    const pendingRetries = retryable.map(({ digest, retries }) => ({
      digest,
      retries: retries + 1,
      at: from + RETRY_WINDOW_MS * this.#random(),
    }));
    this.#pendingRetries = [...this.#pendingRetries, ...pendingRetries];
  }
}

/** Simulates two minutes; requests with `quarantineCrashes` crashes are sent to no endpoint. */
export function simulateQuarantine(
  shape: QuarantineShape,
  quarantineCrashes: number,
  seed: number,
): QuarantineOutcome {
  return new QuarantineModel(shape, quarantineCrashes, seed).run();
}
