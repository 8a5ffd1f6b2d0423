/** One soak run: starts the real processes, injects the faults of a seed, and checks the record. */
import { monitorEventLoopDelay } from 'node:perf_hooks';
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
import { planColdStarts, SOAK_COLD_SETTINGS } from './SoakCold.js';
import { planDepartures } from './SoakDepartures.js';
import { SoakEngines } from './SoakEngines.js';
import { evacuate, planEvacuations, type SoakEvacuationPlan } from './SoakEvacuations.js';
import { figuresOf } from './SoakFigures.js';
import { planRelief, BACKOFF_S, type SoakReliefPlan } from './SoakRelief.js';
import { planUnusualAnswers } from './SoakUnusualAnswers.js';
import { SoakOperator } from './SoakOperator.js';
import { FATAL_PART, planFatalPart, sendFatalParts } from './SoakParts.js';
import { SOAK_RETRY_SETTINGS } from './SoakRetries.js';
import { FAULT_INJECTORS } from './SoakFaults.js';
import { SoakProxy } from './SoakProxy.js';
import {
  FATAL_INTERVAL_MS,
  planFatalRequests,
  planFaults,
  type SoakFatalRequest,
  type SoakFault,
  type SoakPlanOptions,
} from './SoakSchedule.js';
import type {
  SoakDrain,
  SoakInjectedFault,
  SoakFinding,
  SoakReliefRequest,
  SoakReliefKind,
  SoakRecord,
} from './SoakTypes.js';

const STALL_RESOLUTION_MS = 20;
const NS_PER_MS = 1_000_000;

/** Options of a run. */
export interface SoakOptions extends SoakPlanOptions {
  readonly seed: number;
  readonly callers: number;
  /** Faults in place of the seed's own. */
  readonly faults?: readonly SoakFault[];
  /** Relief requests in place of the seed's own. */
  readonly relief?: readonly SoakReliefPlan[];
  /** Evacuations of a zone in place of the seed's own. */
  readonly evacuations?: readonly SoakEvacuationPlan[];
  /** Requests that crash engines, in place of the seed's own. */
  readonly fatalRequests?: readonly SoakFatalRequest[];
  /**
   * When requests with a part that crashes engines begin, ms, in place of the seed's own; null for never, which is the
   * default if there are `faults`.
   */
  readonly fatalPartFrom?: number | null;
  /** Engines that restart cold, in place of the seed's own; none by default if there are `faults`. */
  readonly coldStarts?: readonly SoakFault[];
  readonly logs?: 'ignore' | 'inherit';
}

/** Result of a run, which `npm run soak` prints; `faults` are those planned. */
export interface SoakResult {
  readonly seed: number;
  readonly findings: readonly SoakFinding[];
  readonly figures: Readonly<Record<string, number>>;
  readonly faults: readonly SoakFault[];
}

/** Time for the entry hosts to become ready again after all faults, ms. */
const RECOVERY_TIMEOUT_MS = 10_000;

/** Time after that in which requests must be served, ms. */
const AFTER_RECOVERY_MS = 2_500;

function now(): number {
  return performance.now();
}

/** Time for a control process to return the newest acknowledged version, ms. */
const READ_BACK_TIMEOUT_MS = 10_000;

/** All faults of a seed, unusual answers of engines included. */
export function planAllFaults(seed: number, options: SoakPlanOptions): readonly SoakFault[] {
  const faults = planFaults(seed, options);
  return [
    ...faults,
    ...planUnusualAnswers(seed, options, faults),
    ...planDepartures(seed, options),
  ];
}

/** Behaviour of a stand-in engine that requests relief, by kind. */
const RELIEF_BEHAVIOUR: Readonly<Record<SoakReliefKind, (perSecond: number) => object>> = {
  limit: (perSecond) => ({ limit: perSecond }),
  rest: () => ({ retryAfterS: BACKOFF_S }),
  leave: () => ({ leaving: true }),
};

/** The processes of one run with their proxy, engines, operator and callers. */
class SoakHarness {
  readonly #platform: StandInPlatform;

  readonly #proxy: SoakProxy;

  readonly #engines: SoakEngines;

  readonly #operator: SoakOperator;

  readonly #options: SoakOptions;

  readonly #injectedFaults: SoakInjectedFault[] = [];

  readonly #drains: SoakDrain[] = [];

  readonly #departures: SoakDrain[] = [];

  readonly #reliefRequests: SoakReliefRequest[] = [];

  readonly #unexpectedExits: string[] = [];

  /** Hosts, links and engines with an exclusive fault in progress, and processes that exited unexpectedly. */
  readonly #busy = new Set<string>();

  constructor(options: SoakOptions, platform: StandInPlatform, proxy: SoakProxy) {
    this.#options = options;
    this.#platform = platform;
    this.#proxy = proxy;
    const ports = platform.proxiedPorts.filter(({ port }) => port === ENGINE_PORT);
    this.#engines = new SoakEngines(platform, options.endpoints, async (n, refuses) => {
      const port = ports.find(({ host }) => host === `endpoint-${n}`);
      await (port && proxy.setRefusing(port, refuses));
    });
    this.#operator = new SoakOperator(platform, now);
  }

  async run(): Promise<SoakResult> {
    const { seed, callers, entries } = this.#options;
    const stalls = monitorEventLoopDelay({ resolution: STALL_RESOLUTION_MS });
    stalls.enable();
    await this.#engines.start();
    await this.#operator.addKey();
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
    const calls = load.run();
    const {
      coldStarts = this.#options.faults === undefined ? planColdStarts(seed, this.#options) : [],
    } = this.#options;
    const faults = [...(this.#options.faults ?? planAllFaults(seed, this.#options)), ...coldStarts];
    const exitWatch = setInterval(() => this.#watchExits(), 100);
    const fatalRequests = this.#options.fatalRequests ?? planFatalRequests(seed, this.#options);
    const plannedPart =
      this.#options.faults === undefined ? planFatalPart(seed, this.#options.durationMs) : null;
    const { fatalPartFrom = plannedPart } = this.#options;
    const reliefPlans = this.#options.relief ?? planRelief(seed, this.#options);
    const evacuationPlans = this.#options.evacuations ?? planEvacuations(seed, this.#options);
    const evacuating = Promise.all(
      evacuationPlans.map(async (plan) => evacuate(plan, this.#platform.controls, now)),
    );
    await Promise.all([
      evacuating,
      this.#injectFaults(faults),
      this.#sendFatalRequests(fatalRequests, load),
      sendFatalParts(fatalPartFrom, this.#options.durationMs, async () => load.callFatalPart()),
      ...reliefPlans.map(async (plan) => this.#requestRelief(plan)),
    ]);
    clearInterval(exitWatch);
    await this.#recover();
    const { lockstep } = this.#engines.group;
    const recoveredAt = now();
    const stepAtRecovery = lockstep.step;
    await delay(AFTER_RECOVERY_MS);
    await Promise.all(fatalRequests.map(async ({ body }) => load.callFatal(body)));
    stop.abort();
    await calls;
    const readBackVersions = await this.#readBack();
    const { attempts } = load;
    stalls.disable();
    const record: SoakRecord = {
      attempts,
      executions: this.#engines.receivedRequests.map(({ id, engine, at, customer, lastEvent }) => ({
        id,
        engine,
        at,
        customer,
        resumed: lastEvent !== undefined,
      })),
      answers: this.#engines.answers,
      revokedKeys: this.#operator.revokedKeys,
      drains: this.#drains,
      departures: this.#departures,
      reliefRequests: this.#reliefRequests,
      evacuations: await evacuating,
      refusals: this.#engines.refusals,
      coldStarts: this.#engines.coldStarts,
      injectedFaults: this.#injectedFaults,
      longestStallMs: Math.round(stalls.max / NS_PER_MS),
      engineCrashes: this.#engines.crashes,
      fatalExecutions: this.#engines.receivedRequests.filter(({ body }) =>
        body.startsWith(FATAL_PREFIX),
      ),
      fatalPartExecutions: this.#engines.receivedRequests.filter(({ parts }) =>
        parts.includes(FATAL_PART),
      ),
      mixedPasses: lockstep.mixedPasses,
      ackedVersion: this.#operator.ackedVersion,
      readBackVersions,
      unexpectedExits: this.#unexpectedExits,
      servedAfterRecovery: attempts.filter(
        ({ sentAt, status }) => sentAt > recoveredAt && status === 200,
      ).length,
      passesAfterRecovery: lockstep.step - stepAtRecovery,
    };
    return { seed, faults, findings: checkRecord(record), figures: figuresOf(record) };
  }

  stop(): void {
    this.#engines.stop();
  }

  async #injectFaults(faults: readonly SoakFault[]): Promise<void> {
    const startedAt = now();
    await Promise.all(
      faults.map(async (fault) => {
        await delay(Math.max(0, startedAt + fault.at - now()));
        await this.#injectFault(fault);
      }),
    );
  }

  /** Sends each request that crashes engines repeatedly, from its start time until the end of the faults. */
  async #sendFatalRequests(
    fatalRequests: readonly SoakFatalRequest[],
    load: SoakCallers,
  ): Promise<void> {
    const startedAt = now();
    const { durationMs } = this.#options;
    await Promise.all(
      fatalRequests.map(async ({ body, at }) => {
        await delay(at);
        while (now() - startedAt < durationMs) {
          // Not awaited: the next one is sent whether or not this one has been answered.
          load.callFatal(body).catch(() => undefined);
          // eslint-disable-next-line no-await-in-loop
          await delay(FATAL_INTERVAL_MS);
        }
      }),
    );
  }

  /** Makes an engine request relief in its answers for the planned time. */
  async #requestRelief({ kind, host, perSecond, at, forMs }: SoakReliefPlan): Promise<void> {
    await delay(at);
    const { engine, end } = this.#engines.startRelief(host, RELIEF_BEHAVIOUR[kind](perSecond));
    const from = now();
    await delay(forMs);
    end();
    this.#reliefRequests.push({ kind, host, engine, perSecond, from, until: now() });
  }

  /** Sets all proxy modes to `pass`, then waits until the entry hosts are ready or the timeout passes. */
  async #recover(): Promise<void> {
    this.#platform.names.forEach((name) => this.#proxy.setMode(name, 'pass'));
    await waitUntil(
      'entry hosts are ready again',
      async () => this.#platform.areReady(),
      RECOVERY_TIMEOUT_MS,
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
            return version !== null && version >= this.#operator.ackedVersion;
          },
          READ_BACK_TIMEOUT_MS,
        ).catch(() => undefined);
        return version;
      }),
    );
  }

  /** Records processes that exited although no fault stopped them. */
  #watchExits(): void {
    this.#platform.names.forEach((name) => {
      const exit = this.#platform.exitOf(name);
      if (exit !== null && !this.#busy.has(name)) {
        this.#busy.add(name);
        this.#unexpectedExits.push(`${name} ended by itself (${exit})`);
      }
    });
  }

  async #injectFault(fault: SoakFault): Promise<void> {
    const { kind, target } = fault;
    const from = now();
    const injected = { kind, target, from, until: Infinity };
    this.#injectedFaults.push(injected);
    await FAULT_INJECTORS[kind]({
      fault,
      platform: this.#platform,
      proxy: this.#proxy,
      engines: this.#engines,
      operator: this.#operator,
      recordDrain: (drain) => this.#drains.push(drain),
      recordDeparture: (departure) => this.#departures.push(departure),
      now,
      runExclusively: async (names, task) => this.#runExclusively(names, task),
    });
    this.#injectedFaults[this.#injectedFaults.indexOf(injected)] = { ...injected, until: now() };
  }

  /** Injects one fault into a target at a time; skips the task if one of its targets is busy. */
  async #runExclusively(names: readonly string[], task: () => Promise<void>): Promise<void> {
    if (names.some((name) => this.#busy.has(name))) {
      return;
    }
    names.forEach((name) => this.#busy.add(name));
    await task();
    names.forEach((name) => this.#busy.delete(name));
  }
}

/** Does one run; all processes and servers that it started have stopped when it resolves. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { entries, endpoints, logs = 'ignore' } = options;
  const platform = await StandInPlatform.start({
    entries,
    endpoints,
    proxied: true,
    logs,
    settings: [...SOAK_COLD_SETTINGS, ...SOAK_RETRY_SETTINGS],
  });
  const proxy = new SoakProxy();
  const harness = new SoakHarness(options, platform, proxy);
  try {
    await proxy.listen(platform.proxiedPorts);
    return await harness.run();
  } finally {
    harness.stop();
    proxy.close();
    await platform.stop();
  }
}
