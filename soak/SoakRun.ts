/** One soak run: starts the real processes, disturbs them by a seed's schedule, and checks what was seen. */
import { setTimeout as delay } from 'node:timers/promises';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import {
  ENGINE_PORT,
  readVersion,
  StandInPlatform,
  waitUntil,
} from '../platform/__tests__/utils/StandInPlatform.js';
import { FATAL_PREFIX } from '../platform/__tests__/utils/StandInFleet.js';
import { SoakCallers } from './SoakCallers.js';
import { checkRecord } from './SoakChecks.js';
import { SoakEngines } from './SoakEngines.js';
import { planNeeds, REST_S, type SoakNeedPlan } from './SoakNeeds.js';
import { planOddities } from './SoakOddities.js';
import { SoakOperator } from './SoakOperator.js';
import { FAULTS } from './SoakFaults.js';
import { SoakProxy } from './SoakProxy.js';
import {
  FATAL_PAUSE_MS,
  planFatal,
  planSoak,
  type SoakFatalRequest,
  type SoakFault,
  type SoakShape,
} from './SoakSchedule.js';
import { STREAM_EVENTS } from './SoakStream.js';
import type {
  SoakDrain,
  SoakEvent,
  SoakFinding,
  SoakNeed,
  SoakNeedKind,
  SoakRecord,
} from './SoakTypes.js';

/** A run. */
export interface SoakOptions extends SoakShape {
  readonly seed: number;
  readonly callers: number;
  /** Disturbances in place of the seed's own. */
  readonly faults?: readonly SoakFault[];
  /** Engines that ask for relief in place of the seed's own. */
  readonly needs?: readonly SoakNeedPlan[];
  /** Requests that end their engines in place of the seed's own. */
  readonly fatal?: readonly SoakFatalRequest[];
  readonly logs?: 'ignore' | 'inherit';
}

/** What came of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly findings: readonly SoakFinding[];
  readonly figures: Readonly<Record<string, number>>;
  readonly faults: readonly SoakFault[];
}

/** After all disturbances the system has this long to serve again, ms. */
const RECOVER_MS = 10_000;

/** Time in which it then has to serve as usual, ms. */
const CALM_MS = 2_500;

function now(): number {
  return performance.now();
}

/** Most time that a control process may need to answer what is newest, ms. */
const READ_BACK_MS = 10_000;

function figuresOf({
  attempts,
  runs,
  acked,
  events,
  engineEnds,
  refusals,
}: SoakRecord): SoakResult['figures'] {
  const count = (test: (attempt: (typeof attempts)[number]) => boolean): number =>
    attempts.filter(test).length;
  return {
    attempts: attempts.length,
    whole: count(({ status, end }) => status === 200 && end === 'whole'),
    refused: count(({ status }) => status === 503),
    failed: count(({ status }) => status >= 500 && status !== 503),
    left: count(({ end }) => end === 'left'),
    afterLast: count(({ after, status }) => after === STREAM_EVENTS && status === 200),
    broken: count(({ end }) => end === 'broken'),
    deadline: count(({ end }) => end === 'deadline'),
    runs: runs.length,
    resumed: runs.filter(({ resumed }) => resumed).length,
    versions: acked,
    faults: events.length,
    engineEnds: engineEnds.length,
    refusals: refusals.length,
  };
}

/** All disturbances of a seed, unusual answers of engines among them. */
export function planAll(seed: number, shape: SoakShape): readonly SoakFault[] {
  const faults = planSoak(seed, shape);
  return [...faults, ...planOddities(seed, shape, faults)];
}

/** What an engine in need says. */
const NEED_BEHAVIOUR: Readonly<Record<SoakNeedKind, (perSecond: number) => object>> = {
  limit: (perSecond) => ({ limit: perSecond }),
  rest: () => ({ retryAfterS: REST_S }),
  leave: () => ({ leaving: true }),
};

/** The system of one run with all that stands around it. */
class SoakWorld {
  readonly #platform: StandInPlatform;

  readonly #proxy: SoakProxy;

  readonly #engines: SoakEngines;

  readonly #operator: SoakOperator;

  readonly #options: SoakOptions;

  readonly #events: SoakEvent[] = [];

  readonly #drains: SoakDrain[] = [];

  readonly #needs: SoakNeed[] = [];

  readonly #ownEnds: string[] = [];

  /** Hosts whose process is being ended, started or paused, and engines that are being changed. */
  readonly #busy = new Set<string>();

  constructor(options: SoakOptions, platform: StandInPlatform, proxy: SoakProxy) {
    this.#options = options;
    this.#platform = platform;
    this.#proxy = proxy;
    const ports = platform.proxiedPorts.filter(({ port }) => port === ENGINE_PORT);
    this.#engines = new SoakEngines(platform, options.endpoints, async (n, isGone) => {
      const port = ports.find(({ host }) => host === `endpoint-${n}`);
      await (port && proxy.setRefusing(port, isGone));
    });
    this.#operator = new SoakOperator(platform, now);
  }

  async run(): Promise<SoakResult> {
    const { seed, callers, entries } = this.#options;
    await this.#engines.start();
    await this.#operator.configure();
    await waitUntil('entry hosts are ready', async () => this.#platform.areReady(), 30_000);
    const rng = xoroshiro128plus(seed);
    const stop = new AbortController();
    const load = new SoakCallers({
      count: callers,
      entries: Array.from({ length: entries }, (_item, i) => ({
        name: `entry-${i + 1}`,
        ...this.#platform.entryAddress(i + 1),
      })),
      keys: () => this.#operator.usableKeys(),
      random: () => uniformFloat64(rng),
      now,
      signal: stop.signal,
    });
    const calling = load.run();
    const faults = this.#options.faults ?? planAll(seed, this.#options);
    const watch = setInterval(() => this.#watchEnds(), 100);
    const fatal = this.#options.fatal ?? planFatal(seed, this.#options);
    const needs = this.#options.needs ?? planNeeds(seed, this.#options);
    await Promise.all([
      this.#disturb(faults),
      this.#sendFatal(fatal, load),
      ...needs.map(async (need) => this.#needRelief(need)),
    ]);
    clearInterval(watch);
    await this.#recover();
    const { lockstep } = this.#engines.group;
    const calmFrom = now();
    const passesFrom = lockstep.step;
    await delay(CALM_MS);
    await Promise.all(fatal.map(async ({ body }) => load.callFatal(body)));
    stop.abort();
    await calling;
    const readBack = await this.#readBack();
    const { attempts } = load;
    const record: SoakRecord = {
      attempts,
      runs: this.#engines.seen.map(({ id, engine, at, customer, lastEvent }) => ({
        id,
        engine,
        at,
        customer,
        resumed: lastEvent !== undefined,
      })),
      answers: this.#engines.answers,
      withdrawals: this.#operator.withdrawals,
      drains: this.#drains,
      needs: this.#needs,
      refusals: this.#engines.refusals,
      events: this.#events,
      engineEnds: this.#engines.ends,
      fatalRuns: this.#engines.seen.filter(({ body }) => body.startsWith(FATAL_PREFIX)),
      mixedPasses: lockstep.mixedPasses,
      acked: this.#operator.acked,
      readBack,
      ownEnds: this.#ownEnds,
      servedAtEnd: attempts.filter(({ sentAt, status }) => sentAt > calmFrom && status === 200)
        .length,
      passesAtEnd: lockstep.step - passesFrom,
    };
    return { seed, faults, findings: checkRecord(record), figures: figuresOf(record) };
  }

  stop(): void {
    this.#engines.stop();
  }

  async #disturb(faults: readonly SoakFault[]): Promise<void> {
    const begun = now();
    await Promise.all(
      faults.map(async (fault) => {
        await delay(Math.max(0, begun + fault.at - now()));
        await this.#carryOut(fault);
      }),
    );
  }

  /** Sends each request that ends its engine again and again, from its time on until the disturbances are over. */
  async #sendFatal(fatal: readonly SoakFatalRequest[], load: SoakCallers): Promise<void> {
    const begun = now();
    const { lengthMs } = this.#options;
    await Promise.all(
      fatal.map(async ({ body, at }) => {
        await delay(at);
        while (now() - begun < lengthMs) {
          // The next is sent whether or not the one before was answered.
          load.callFatal(body).catch(() => undefined);
          // eslint-disable-next-line no-await-in-loop
          await delay(FATAL_PAUSE_MS);
        }
      }),
    );
  }

  /** Has an engine ask for relief in its answers for a while. */
  async #needRelief({ kind, host, perSecond, at, forMs }: SoakNeedPlan): Promise<void> {
    await delay(at);
    const { engine, end } = this.#engines.setNeed(host, NEED_BEHAVIOUR[kind](perSecond));
    const from = now();
    await delay(forMs);
    end();
    this.#needs.push({ kind, host, engine, perSecond, from, until: now() });
  }

  /** Waits until the system serves, after everything that was done to it is undone. */
  async #recover(): Promise<void> {
    this.#platform.names.forEach((name) => this.#proxy.setMode(name, 'pass'));
    await waitUntil(
      'entry hosts are ready again',
      async () => this.#platform.areReady(),
      RECOVER_MS,
    ).catch(() => undefined);
  }

  async #readBack(): Promise<readonly (number | null)[]> {
    return Promise.all(
      this.#platform.controls.map(async (control) => {
        let version: number | null = null;
        await waitUntil(
          'the newest is read back',
          async () => {
            version = await readVersion(control);
            return version !== null && version >= this.#operator.acked;
          },
          READ_BACK_MS,
        ).catch(() => undefined);
        return version;
      }),
    );
  }

  /** Notes processes that have ended though nobody ended them. */
  #watchEnds(): void {
    this.#platform.names.forEach((name) => {
      const end = this.#platform.exitOf(name);
      if (end !== null && !this.#busy.has(name)) {
        this.#busy.add(name);
        this.#ownEnds.push(`${name} ended by itself (${end})`);
      }
    });
  }

  async #carryOut(fault: SoakFault): Promise<void> {
    const { kind, target } = fault;
    const from = now();
    const event = { kind, target, from, until: Infinity };
    this.#events.push(event);
    await FAULTS[kind]({
      fault,
      platform: this.#platform,
      proxy: this.#proxy,
      engines: this.#engines,
      operator: this.#operator,
      drained: (drain) => this.#drains.push(drain),
      now,
      alone: async (names, task) => this.#alone(names, task),
    });
    this.#events[this.#events.indexOf(event)] = { ...event, until: now() };
  }

  /** One thing is done to a process at a time; what would meet a busy one is left out. */
  async #alone(names: readonly string[], task: () => Promise<void>): Promise<void> {
    if (names.some((name) => this.#busy.has(name))) {
      return;
    }
    names.forEach((name) => this.#busy.add(name));
    await task();
    names.forEach((name) => this.#busy.delete(name));
  }
}

/** Plays one run; everything that it started has ended when it resolves. */
export async function playSoak(options: SoakOptions): Promise<SoakResult> {
  const { entries, endpoints, logs = 'ignore' } = options;
  const platform = await StandInPlatform.start({ entries, endpoints, proxied: true, logs });
  const proxy = new SoakProxy();
  const world = new SoakWorld(options, platform, proxy);
  try {
    await proxy.listen(platform.proxiedPorts);
    return await world.run();
  } finally {
    world.stop();
    proxy.close();
    await platform.stop();
  }
}
