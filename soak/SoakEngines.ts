/** The group of stand-in engines of a soak run: they run requests, send heartbeats, crash, drain and misbehave. */
import { setTimeout as delay } from 'node:timers/promises';
import type { StandInBehaviour } from '../platform/__tests__/utils/StandInAnswers.js';
import {
  StandInEngine,
  type SeenAnswer,
  type SeenRefusal,
  type SeenRequest,
} from '../platform/__tests__/utils/StandInEngine.js';
import {
  ENGINE_PORT,
  postDeparture,
  type StandInPlatform,
} from '../platform/__tests__/utils/StandInPlatform.js';
import { StandInGroup } from '../platform/__tests__/utils/StandInGroup.js';
import { StandInRank } from '../platform/__tests__/utils/StandInRank.js';
import { RESTART_DELAY_MS, FATAL_PREFIX } from '../platform/__tests__/utils/StandInFleet.js';
import { FATAL_PART } from './SoakParts.js';
import { zoneOfHost } from './SoakEvacuations.js';
import type { SoakUnusualAnswer } from './SoakUnusualAnswers.js';
import { STREAM_EVENTS } from './SoakStream.js';
import type { SoakColdStart, SoakEngineCrash } from './SoakTypes.js';

/** Interval between two events of a stream, ms. */
const EVENT_INTERVAL_MS = 60;

/** Events after which a breaking engine resets a stream, in the middle of the next event. */
const BREAK_AFTER_EVENTS = 4;

/** Delay of an answer's first byte at a delayed engine, ms. */
const ANSWER_DELAY_MS = 700;

/** The engines, one for each endpoint host; `n` is the number of the host, from 1. */
export class SoakEngines {
  readonly group: StandInGroup;

  readonly receivedRequests: SeenRequest[] = [];

  readonly refusals: SeenRefusal[] = [];

  readonly answers: SeenAnswer[] = [];

  readonly coldStarts: SoakColdStart[] = [];

  /** Engines that requests crashed. */
  readonly crashes: SoakEngineCrash[] = [];

  readonly #platform: StandInPlatform;

  readonly #setRefusing: (n: number, refuses: boolean) => Promise<void>;

  readonly #engines = new Map<number, StandInEngine>();

  #incarnation = 0;

  #isStopped = false;

  /** `setRefusing` makes the proxied port of an engine refuse or accept connections. */
  constructor(
    platform: StandInPlatform,
    count: number,
    setRefusing: (n: number, refuses: boolean) => Promise<void>,
  ) {
    this.#platform = platform;
    this.#setRefusing = setRefusing;
    this.group = new StandInGroup(count);
  }

  async start(): Promise<void> {
    const hosts = Array.from({ length: this.group.ranks }, (_item, i) => i + 1);
    await Promise.all(hosts.map(async (n) => this.#startEngine(n)));
  }

  stop(): void {
    this.#isStopped = true;
    this.group.stop();
    this.#engines.forEach((engine) => engine.stop());
  }

  /** Stops an engine and its connections, and re-forms the group; starts a new incarnation after `forMs`. */
  async crash(
    n: number,
    forMs: number,
    wait: (ms: number) => Promise<void>,
    coldMs = 0,
  ): Promise<void> {
    this.#engines.get(n)?.stop();
    await this.#setRefusing(n, true);
    this.group.lockstep.restart();
    await wait(forMs);
    await this.#startEngine(n, coldMs);
  }

  /** Stops an engine, and starts a new incarnation that is cold for `coldMs`. */
  async restartCold(n: number, coldMs: number, wait: (ms: number) => Promise<void>): Promise<void> {
    await this.crash(n, RESTART_DELAY_MS, wait, coldMs);
    await wait(coldMs);
  }

  /** Reports an engine as draining; its id, and when that was acknowledged, or null if it wasn't. */
  async drain(n: number, now: () => number): Promise<{ engine: string; ackedAt: number } | null> {
    const engine = this.#engines.get(n);
    if (engine === undefined) {
      return null;
    }
    engine.state = 'draining';
    const acked = await engine.sendHeartbeatOnce(this.#platform.controls);
    return acked ? { engine: engine.id, ackedAt: now() } : null;
  }

  /** Ends an engine's heartbeats and deregisters it, at any control process; as {@link drain}. */
  async deregister(
    n: number,
    now: () => number,
  ): Promise<{ engine: string; ackedAt: number } | null> {
    const engine = this.#engines.get(n);
    if (engine === undefined) {
      return null;
    }
    engine.isSilent = true;
    const statuses = await Promise.all(
      this.#platform.controls.map(async (control) =>
        postDeparture(control, engine.id).catch(() => 0),
      ),
    );
    return statuses.includes(200) ? { engine: engine.id, ackedAt: now() } : null;
  }

  /** Sends one more heartbeat of an engine that has deregistered, as one that was delayed. */
  async sendLateHeartbeat(n: number): Promise<void> {
    await this.#engines.get(n)?.sendHeartbeatOnce(this.#platform.controls);
  }

  /** Replaces a drained engine by a new incarnation. */
  async replace(n: number): Promise<void> {
    await this.#startEngine(n);
  }

  setBreakingStreams(n: number, breaks: boolean): void {
    this.#change(n, ({ behaviour }) => {
      Object.assign(behaviour, { breakAfter: breaks ? BREAK_AFTER_EVENTS : null });
    });
  }

  setDelayed(n: number, isDelayed: boolean): void {
    this.#change(n, ({ behaviour }) => {
      Object.assign(behaviour, { delayMs: isDelayed ? ANSWER_DELAY_MS : 0 });
    });
  }

  setDroppingOrderReplies(n: number, drops: boolean): void {
    this.#change(n, ({ rank }) => {
      if (rank !== null) {
        Object.assign(rank, { dropsOrderReplies: drops });
      }
    });
  }

  /** Turns one kind of unusual answers of an engine on or off. */
  setUnusualAnswer(n: number, kind: SoakUnusualAnswer, isOn: boolean): void {
    this.#change(n, ({ behaviour }) => {
      if (kind === 'extra' || kind === 'resetUnframed') {
        Object.assign(behaviour, { [kind]: isOn });
      } else if (isOn) {
        behaviour.unusual.add(kind);
      } else {
        behaviour.unusual.delete(kind);
      }
    });
  }

  /** Makes an engine request relief in its answers until `end` is called; returns its id too. */
  startRelief(
    n: number,
    relief: Partial<StandInBehaviour>,
  ): { readonly engine: string; readonly end: () => void } {
    const engine = this.#engines.get(n);
    Object.assign(engine?.behaviour ?? {}, relief);
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

  /** Restarts an engine that a request crashed, unless it has been replaced meanwhile. */
  async #restart(n: number, crashed: StandInEngine): Promise<void> {
    await this.#setRefusing(n, true);
    this.group.lockstep.restart();
    await delay(RESTART_DELAY_MS);
    if (this.#engines.get(n) === crashed && !this.#isStopped) {
      await this.#startEngine(n);
    }
  }

  /** Starts an engine, and stops the one that it replaces: two faults of one engine may overlap. */
  async #startEngine(n: number, coldMs = 0): Promise<void> {
    this.#engines.get(n)?.stop();
    this.#incarnation += 1;
    const { inside, outside } = this.#platform.engineHost(n);
    const rank = new StandInRank(this.group, n - 1);
    const engine = new StandInEngine(
      `i-${n}-${this.#incarnation}`,
      'writers',
      rank,
      this.receivedRequests,
    );
    engine.zone = zoneOfHost(n);
    Object.assign(engine.behaviour, {
      events: STREAM_EVENTS,
      pauseMs: EVENT_INTERVAL_MS,
      fatalPrefix: FATAL_PREFIX,
      fatalPart: FATAL_PART,
    });
    engine.onRefusal = (refusal) => this.refusals.push(refusal);
    engine.onAnswer = (answer) => this.answers.push(answer);
    engine.onCrash = (body) => {
      this.crashes.push({ body, engine: engine.id, at: performance.now() });
      this.#restart(n, engine).catch(() => undefined);
    };
    if (coldMs > 0) {
      engine.coldUntil = performance.now() + coldMs;
      this.coldStarts.push({ host: n, engine: engine.id, arrivals: engine.coldArrivals });
    }
    this.#engines.set(n, engine);
    const listener = { host: inside, port: ENGINE_PORT, reported: outside };
    await engine.start(listener, this.#platform.controls);
    await this.#setRefusing(n, false);
  }
}
