/** The group of engines of a soak run: they run requests, announce themselves, crash, leave and misbehave. */
import { setTimeout as delay } from 'node:timers/promises';
import type { StandInBehaviour } from '../platform/__tests__/utils/StandInAnswers.js';
import {
  StandInEngine,
  type SeenAnswer,
  type SeenRefusal,
  type SeenRequest,
} from '../platform/__tests__/utils/StandInEngine.js';
import { ENGINE_PORT, type StandInPlatform } from '../platform/__tests__/utils/StandInPlatform.js';
import { StandInGroup } from '../platform/__tests__/utils/StandInGroup.js';
import { StandInRank } from '../platform/__tests__/utils/StandInRank.js';
import { RESTART_DELAY_MS, FATAL_PREFIX } from '../platform/__tests__/utils/StandInFleet.js';
import type { SoakOddity } from './SoakOddities.js';
import { STREAM_EVENTS } from './SoakStream.js';
import type { SoakEngineEnd } from './SoakTypes.js';

/** Pause between two events of a stream, ms. */
const EVENT_MS = 60;

/** Events after which a stream breaks off, in the middle of the next. */
const BREAK_AFTER = 4;

/** Delay of an engine that is late, ms. */
const LATE_MS = 700;

/** The engines. */
export class SoakEngines {
  readonly group: StandInGroup;

  readonly seen: SeenRequest[] = [];

  readonly refusals: SeenRefusal[] = [];

  readonly answers: SeenAnswer[] = [];

  /** Engines that requests ended. */
  readonly ends: SoakEngineEnd[] = [];

  readonly #platform: StandInPlatform;

  readonly #setGone: (n: number, isGone: boolean) => Promise<void>;

  readonly #engines = new Map<number, StandInEngine>();

  #incarnation = 0;

  #isStopped = false;

  /** `setGone` has the port before an engine refuse connections while it is gone. */
  constructor(
    platform: StandInPlatform,
    count: number,
    setGone: (n: number, isGone: boolean) => Promise<void>,
  ) {
    this.#platform = platform;
    this.#setGone = setGone;
    this.group = new StandInGroup(count);
  }

  async start(): Promise<void> {
    const hosts = Array.from({ length: this.group.ranks }, (_item, i) => i + 1);
    await Promise.all(hosts.map(async (n) => this.#startOne(n)));
  }

  stop(): void {
    this.#isStopped = true;
    this.group.stop();
    this.#engines.forEach((engine) => engine.stop());
  }

  /** Ends an engine with all its connections; the group forms anew. A new incarnation comes later. */
  async crash(n: number, forMs: number, wait: (ms: number) => Promise<void>): Promise<void> {
    this.#engines.get(n)?.stop();
    await this.#setGone(n, true);
    this.group.lockstep.restart();
    await wait(forMs);
    await this.#startOne(n);
  }

  /** Says that an engine leaves; its id, and when that was acknowledged; null if it wasn't. */
  async drain(n: number, now: () => number): Promise<{ engine: string; ackedAt: number } | null> {
    const engine = this.#engines.get(n);
    if (engine === undefined) {
      return null;
    }
    engine.state = 'draining';
    const acked = await engine.sendHeartbeatOnce(this.#platform.controls);
    return acked ? { engine: engine.id, ackedAt: now() } : null;
  }

  /** Replaces an engine that has left by a new incarnation. */
  async renew(n: number): Promise<void> {
    await this.#startOne(n);
  }

  setBreaking(n: number, breaks: boolean): void {
    this.#change(n, ({ behaviour }) => {
      Object.assign(behaviour, { breakAfter: breaks ? BREAK_AFTER : null });
    });
  }

  setLate(n: number, late: boolean): void {
    this.#change(n, ({ behaviour }) => {
      Object.assign(behaviour, { delayMs: late ? LATE_MS : 0 });
    });
  }

  setLosingOrders(n: number, loses: boolean): void {
    this.#change(n, ({ rank }) => {
      if (rank !== null) {
        Object.assign(rank, { dropsOrderReplies: loses });
      }
    });
  }

  /** Has an engine give one kind of unusual answers, or no longer. */
  setOdd(n: number, oddity: SoakOddity, isOn: boolean): void {
    this.#change(n, ({ behaviour }) => {
      if (oddity === 'extra' || oddity === 'resetUnframed') {
        Object.assign(behaviour, { [oddity]: isOn });
      } else if (isOn) {
        behaviour.unusual.add(oddity);
      } else {
        behaviour.unusual.delete(oddity);
      }
    });
  }

  /** Has an engine ask for relief in its answers, until the result is called; its id. */
  setNeed(
    n: number,
    need: Partial<StandInBehaviour>,
  ): { readonly engine: string; readonly end: () => void } {
    const engine = this.#engines.get(n);
    Object.assign(engine?.behaviour ?? {}, need);
    const end = (): void => {
      Object.assign(engine?.behaviour ?? {}, { limit: null, retryAfterS: null, leaving: false });
    };
    return { engine: engine?.id ?? '', end };
  }

  #change(n: number, change: (engine: StandInEngine) => void): void {
    const engine = this.#engines.get(n);
    if (engine !== undefined) {
      change(engine);
    }
  }

  /** An engine that a request has ended comes back, unless something else has replaced it meanwhile. */
  async #comeBack(n: number, ended: StandInEngine): Promise<void> {
    await this.#setGone(n, true);
    this.group.lockstep.restart();
    await delay(RESTART_DELAY_MS);
    if (this.#engines.get(n) === ended && !this.#isStopped) {
      await this.#startOne(n);
    }
  }

  /** Starts an engine in the place of whatever is there: two disturbances of one engine may overlap. */
  async #startOne(n: number): Promise<void> {
    this.#engines.get(n)?.stop();
    this.#incarnation += 1;
    const { inside, outside } = this.#platform.engineHost(n);
    const rank = new StandInRank(this.group, n - 1);
    const engine = new StandInEngine(`i-${n}-${this.#incarnation}`, 'writers', rank, this.seen);
    Object.assign(engine.behaviour, {
      events: STREAM_EVENTS,
      pauseMs: EVENT_MS,
      fatalPrefix: FATAL_PREFIX,
    });
    engine.onRefusal = (refusal) => this.refusals.push(refusal);
    engine.onAnswer = (answer) => this.answers.push(answer);
    engine.onCrash = (body) => {
      this.ends.push({ body, engine: engine.id, at: performance.now() });
      this.#comeBack(n, engine).catch(() => undefined);
    };
    this.#engines.set(n, engine);
    const place = { host: inside, port: ENGINE_PORT, reported: outside };
    await engine.start(place, this.#platform.controls);
    await this.#setGone(n, false);
  }
}
