/**
 * Model of entry hosts, endpoints and requests that share parts of their prompts, some of which crash the endpoints that
 * begin to answer on them, with the real sets of suspects and sound parts.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  clearSuspects,
  EMPTY_QUARANTINE,
  findCombination,
  hashText,
  mergeSuspectRecords,
  QUARANTINE_CRASHES,
  quarantinedCombinations,
  recordSuspects,
  SoundParts,
  type PartCombination,
  type QuarantineState,
} from '../src/coordination/index.js';

/** Parameters of a simulation. */
export interface PromptPartsShape {
  readonly entries: number;
  readonly endpoints: number;
  /** Whether the endpoints are ranks of one group, which loses all its requests when any of them crashes. */
  readonly isGroup: boolean;
  /** Requests in progress at each endpoint. */
  readonly inProgress: number;
  /** Different first parts, and different second parts, of the prompts. */
  readonly firstParts: number;
  readonly secondParts: number;
  /** Parts that each request names beside the others, with ids that never come again. */
  readonly forgedParts: number;
  /** Parts that all prompts share. */
  readonly commonParts: number;
  /** Number of parts that crash endpoints. */
  readonly fatalParts: number;
  /** Requests with such a part, per second. */
  readonly fatalPerSecond: number;
  /** Whether a fatal part always comes with the same first part, which sound requests use too. */
  readonly isTied: boolean;
  /** Time from the start until the first request with a fatal part, ms. */
  readonly fatalFromMs: number;
  /** Time from the start until the first request without one, ms. */
  readonly soundFromMs: number;
  /** Whether the parts are suspected at all. */
  readonly isScreened: boolean;
}

/** Result of a simulation. */
export interface PromptPartsOutcome {
  readonly crashes: number;
  /** Requests with a fatal part that reached endpoints 3 s after the fifth crash of that part and later. */
  readonly lateArrivals: number;
  /** Requests without a fatal part, and those of them that were held back. */
  readonly sound: number;
  readonly wronglyHeld: number;
}

const STEP_MS = 50;
const DURATION_MS = 60_000;
const RUN_MS = 1_500;
/** Time from the start of a request to the begin of its answer, and until its parts count as sound, ms. */
const FIRST_EVENT_MS = 100;
const STEADY_MS = 350;
const RESTART_MS = 4_000;
const PROPAGATION_MS = 100;
const CONTACT_MS = 3_000;
const LAST_FREE_CRASH = 5;
const CUSTOMER = 'kano';

interface ModelRequest {
  readonly entry: number;
  readonly parts: readonly string[];
  readonly fatalPart: string | null;
  readonly startedAt: number;
  isSteady: boolean;
}

/** What one entry host knows. */
interface ModelEntry {
  state: QuarantineState;
  readonly sound: SoundParts;
}

/** A running simulation. */
class PromptPartsModel {
  readonly #shape: PromptPartsShape;

  readonly #random: () => number;

  readonly #entries: readonly ModelEntry[];

  readonly #running: ModelRequest[][];

  readonly #downUntil: number[];

  readonly #incarnations: number[];

  /** Quarantined parts by state, as they are asked for with each request. */
  readonly #quarantined = new WeakMap<QuarantineState, readonly PartCombination[]>();

  readonly #crashTimes = new Map<string, number[]>();

  /** States of the entry hosts after the last exchange. */
  #propagated: readonly QuarantineState[] = [];

  #counter = 0;

  #forgedCounter = 0;

  #now = 0;

  readonly #count = { crashes: 0, lateArrivals: 0, sound: 0, wronglyHeld: 0 };

  constructor(shape: PromptPartsShape, seed: number) {
    const rng = xoroshiro128plus(seed);
    this.#shape = shape;
    this.#random = () => uniformFloat64(rng);
    this.#entries = Array.from({ length: shape.entries }, () => ({
      state: EMPTY_QUARANTINE,
      sound: new SoundParts(),
    }));
    this.#running = Array.from({ length: shape.endpoints }, () => []);
    this.#downUntil = Array.from({ length: shape.endpoints }, () => 0);
    this.#incarnations = Array.from({ length: shape.endpoints }, () => 1);
  }

  run(): PromptPartsOutcome {
    for (; this.#now < DURATION_MS; this.#now += STEP_MS) {
      this.#advance();
      this.#sendFatal();
      this.#startRequests();
      if (this.#now % PROPAGATION_MS === 0) {
        this.#propagate();
      }
    }
    return { ...this.#count };
  }

  /** The entry hosts that suspect parts. */
  get #suspected(): readonly ModelEntry[] {
    return this.#shape.isScreened ? this.#entries : [];
  }

  /** A number from 0 on; small ones are drawn more often. */
  #skewed(count: number): number {
    return Math.floor(count * this.#random() ** 2);
  }

  #prompt(fatalPart: string | null): readonly string[] {
    const { firstParts, secondParts, forgedParts, commonParts, isTied } = this.#shape;
    const isCompanion = isTied && fatalPart !== null;
    const first = `first-${isCompanion ? 1 : this.#skewed(firstParts)}`;
    const forged = Array.from({ length: forgedParts }, () => {
      this.#forgedCounter += 1;
      return `forged-${hashText(String(this.#forgedCounter))}`;
    });
    const common = Array.from({ length: commonParts }, (_part, n) => `common-${n}`);
    return [first, ...common, fatalPart ?? `second-${this.#skewed(secondParts)}`, ...forged];
  }

  #quarantinedAt({ state }: ModelEntry): readonly PartCombination[] {
    const { single, group } = QUARANTINE_CRASHES;
    const known = this.#quarantined.get(state);
    const parts = known ?? quarantinedCombinations(state, this.#shape.isGroup ? group : single);
    this.#quarantined.set(state, parts);
    return parts;
  }

  /** Sends a request by a random entry host to a random endpoint, unless one of its parts is quarantined. */
  #send(at: number, fatalPart: string | null): void {
    const entry = Math.floor(this.#random() * this.#entries.length);
    const parts = this.#prompt(fatalPart);
    const held = this.#quarantinedAt(this.#entries[entry] as ModelEntry);
    if (findCombination(held, parts) !== null) {
      this.#count.wronglyHeld += Number(fatalPart === null);
      return;
    }
    const [fifth = Infinity] = (this.#crashTimes.get(fatalPart ?? '') ?? []).slice(
      LAST_FREE_CRASH - 1,
    );
    this.#count.lateArrivals += Number(this.#now > fifth + CONTACT_MS);
    this.#running[at]?.push({ entry, parts, fatalPart, startedAt: this.#now, isSteady: false });
  }

  #isUp(at: number): boolean {
    return this.#shape.isGroup
      ? this.#downUntil.every((until) => until <= this.#now)
      : (this.#downUntil[at] ?? 0) <= this.#now;
  }

  #sendFatal(): void {
    const { fatalParts, fatalPerSecond, fatalFromMs } = this.#shape;
    const isDue = this.#random() < (fatalPerSecond * STEP_MS) / 1_000;
    const up = this.#running.flatMap((_items, at) => (this.#isUp(at) ? [at] : []));
    const at = up[Math.floor(this.#random() * up.length)];
    if (isDue && this.#now >= fatalFromMs && at !== undefined) {
      this.#counter += 1;
      this.#send(at, `fatal-${this.#counter % fatalParts}`);
    }
  }

  /** Sends new requests so that each running endpoint has the given number in progress. */
  #startRequests(): void {
    if (this.#now < this.#shape.soundFromMs) {
      return;
    }
    this.#running.forEach((items, at) => {
      const missing = this.#isUp(at) ? this.#shape.inProgress - items.length : 0;
      for (let i = 0; i < missing; i += 1) {
        this.#count.sound += 1;
        this.#send(at, null);
      }
    });
  }

  /** Requests go on: some are answered steadily or to their end, and those with a fatal part crash their endpoint. */
  #advance(): void {
    this.#running.forEach((items, at) => {
      items.forEach((item) => {
        const ageMs = this.#now - item.startedAt;
        if (!item.isSteady && item.fatalPart === null && ageMs >= STEADY_MS) {
          Object.assign(item, { isSteady: true });
          this.#entries[item.entry]?.sound.add(CUSTOMER, item.parts, this.#now);
          this.#clearSound(this.#entries[item.entry] as ModelEntry);
        }
      });
      const fatal = items.find(
        ({ fatalPart, startedAt }) => fatalPart !== null && this.#now - startedAt >= FIRST_EVENT_MS,
      );
      if (fatal === undefined) {
        this.#running[at] = items.filter(({ startedAt }) => this.#now - startedAt < RUN_MS);
      } else {
        this.#crash(at, fatal.fatalPart ?? '');
      }
    });
  }

  #crash(at: number, fatalPart: string): void {
    this.#count.crashes += 1;
    const times = this.#crashTimes.get(fatalPart) ?? [];
    this.#crashTimes.set(fatalPart, [...times, this.#now]);
    const incarnationKey = `${at}@${this.#incarnations[at] ?? 0}`;
    this.#incarnations[at] = (this.#incarnations[at] ?? 0) + 1;
    this.#suspected.forEach((entry, i) => {
      const lost = (this.#running[at] ?? [])
        .filter((item) => item.entry === i)
        .map(({ parts }) => ({
          digest: `${this.#now} ${parts.join()}`,
          customer: CUSTOMER,
          parts: parts.filter((part) => !entry.sound.has(part, this.#now)),
          request: '',
        }));
      Object.assign(entry, {
        state: recordSuspects(entry.state, incarnationKey, lost, this.#now).state,
      });
    });
    this.#downUntil[at] = this.#now + RESTART_MS;
    this.#running.forEach((_items, i) => {
      if (this.#shape.isGroup || i === at) {
        this.#running[i] = [];
      }
    });
  }

  #clearSound(entry: ModelEntry): void {
    [...entry.state.values()]
      .filter(({ kind, digest }) => kind === 'part' && entry.sound.has(digest, this.#now))
      .forEach(({ digest }) => {
        Object.assign(entry, { state: clearSuspects(entry.state, [digest]).state });
      });
  }

  /** Sends each entry host the suspects of the others, unless nothing has changed since the last time. */
  #propagate(): void {
    if (this.#entries.every(({ state }, i) => state === this.#propagated[i])) {
      return;
    }
    const records = this.#suspected.flatMap(({ state }) =>
      [...state.values()].map(({ lastCrashAt, ...suspect }) => ({
        ...suspect,
        ageMs: this.#now - lastCrashAt,
      })),
    );
    this.#suspected.forEach((entry) => {
      Object.assign(entry, { state: mergeSuspectRecords(entry.state, records, this.#now).state });
    });
    this.#propagated = this.#entries.map(({ state }) => state);
    this.#suspected.forEach((entry) => this.#clearSound(entry));
  }
}

/** Simulates a minute. */
export function simulatePromptParts(shape: PromptPartsShape, seed: number): PromptPartsOutcome {
  return new PromptPartsModel(shape, seed).run();
}
