/**
 * One run of the configuration soak: control hosts are lost in series while operators submit and read, then all
 * processes are killed and disks are lost. What was acknowledged must be read back at each control host.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { DOCUMENT_KEY, versionPath } from '../platform/__tests__/utils/StandInDocuments.js';
import {
  callerHeaders,
  StandInPlatform,
  waitUntil,
} from '../platform/__tests__/utils/StandInPlatform.js';
import { SoakConfigOperator } from './SoakConfigOperator.js';
import {
  planConfigLosses,
  type SoakConfigPlan,
  type SoakConfigPlanOptions,
  type SoakLoss,
  type SoakLossKind,
  type SoakLossRound,
  type SoakPowerLoss,
  type SoakReplacement,
} from './SoakConfigSchedule.js';
import type { SoakFinding } from './SoakTypes.js';

/** Options of a run. */
export interface SoakConfigOptions extends SoakConfigPlanOptions {
  readonly seed: number;
  readonly entries: number;
  /** Losses in place of the seed's own. */
  readonly plan?: SoakConfigPlan;
  readonly logs?: 'ignore' | 'inherit';
}

/** Result of a run. */
export interface SoakConfigResult {
  readonly seed: number;
  readonly findings: readonly SoakFinding[];
  readonly figures: Readonly<Record<string, number>>;
  readonly plan: SoakConfigPlan;
}

/** A lost control host counts again this long after its return or its successor's start, ms. */
const CATCH_UP_MS = 6_000;

/** Time after a power loss within which everything must work again, ms. */
const RECOVERY_MS = 15_000;

const CALL_DEADLINE_MS = 2_000;

async function inSequence<T>(items: readonly T[], task: (item: T) => Promise<void>): Promise<void> {
  await items.reduce(async (before, item) => {
    await before;
    await task(item);
  }, Promise.resolve());
}

/** The processes and operators of one run. */
class SoakConfigHarness {
  readonly #options: SoakConfigOptions;

  readonly #platform: StandInPlatform;

  readonly #operator: SoakConfigOperator;

  readonly #random: () => number;

  readonly #findings: SoakFinding[] = [];

  /** Numbers of the control hosts that exist. */
  #hosts: readonly number[];

  #slowestReadBackMs = 0;

  constructor(options: SoakConfigOptions, platform: StandInPlatform) {
    const rng = xoroshiro128plus(options.seed);
    this.#options = options;
    this.#platform = platform;
    this.#random = () => uniformFloat64(rng);
    this.#hosts = Array.from({ length: options.controls }, (_item, i) => i + 1);
    this.#operator = new SoakConfigOperator({
      controls: () => this.#hosts.map((n) => platform.controlAddress(n)),
      random: this.#random,
    });
  }

  async run(): Promise<SoakConfigResult> {
    const { seed } = this.#options;
    const plan = this.#options.plan ?? planConfigLosses(seed, this.#options);
    const isAccepted = async (): Promise<boolean> => {
      await this.#operator.submit();
      return this.#operator.acked > 0;
    };
    await waitUntil('a first document is accepted', isAccepted, RECOVERY_MS);
    await delay(CATCH_UP_MS);
    await inSequence(plan.rounds, async (round) => this.#runRound(round));
    await inSequence(plan.replacements, async (replacement) => this.#replace(replacement));
    await inSequence(plan.powerLosses, async (powerLoss) => this.#losePower(powerLoss));
    const findings = [...this.#findings, ...this.#operator.findings];
    const figures = {
      acked: this.#operator.ackCount,
      slowestReadBackMs: Math.round(this.#slowestReadBackMs),
    };
    return { seed, findings, figures, plan };
  }

  async #runRound(round: SoakLossRound): Promise<void> {
    await this.#whileOperating(async () => {
      const hosts = this.#hosts;
      await Promise.all(round.map(async (loss) => this.#lose(loss, hosts[loss.position] ?? 0)));
      await delay(CATCH_UP_MS);
    });
  }

  /** Replaces a host as planned; each host must read the newest back after others have lost their disks. */
  async #replace({ left, wiped, afterMs, forMs }: SoakReplacement): Promise<void> {
    const hostAt = (position: number): number => this.#hosts[position] ?? 0;
    const leaving = hostAt(left);
    const losing = wiped.map(hostAt);
    await this.#whileOperating(async () => {
      const successor = await this.#startSuccessor(leaving);
      await delay(CATCH_UP_MS);
      await this.#platform.signal(`control-${leaving}`, 'SIGTERM');
      await delay(afterMs);
      await Promise.all(
        losing.map(async (host) =>
          this.#lose({ kind: 'wipe', position: 0, afterMs: 0, forMs }, host),
        ),
      );
      await Promise.all([successor, ...losing].map(async (host) => this.#checkReadBack(host)));
      await delay(CATCH_UP_MS);
    });
  }

  /** Starts an empty host at another address that takes the place of a host. */
  async #startSuccessor(host: number): Promise<number> {
    const successor = Math.max(...this.#hosts) + 1;
    this.#hosts = this.#hosts.map((n) => (n === host ? successor : n));
    await this.#platform.startControl(successor, false);
    return successor;
  }

  async #whileOperating(task: () => Promise<void>): Promise<void> {
    const stop = new AbortController();
    const operating = this.#operator.run(stop.signal);
    await task();
    stop.abort();
    await operating;
  }

  async #lose({ kind, afterMs, forMs }: SoakLoss, host: number): Promise<void> {
    const name = `control-${host}`;
    const handlers: Readonly<Record<SoakLossKind, () => Promise<void>>> = {
      kill: async () => {
        await this.#platform.signal(name, 'SIGKILL');
        await delay(forMs);
        await this.#platform.restart(name);
      },
      pause: async () => {
        await this.#platform.signal(name, 'SIGSTOP');
        await delay(forMs);
        await this.#platform.signal(name, 'SIGCONT');
      },
      wipe: async () => {
        await this.#platform.signal(name, 'SIGKILL');
        await this.#platform.wipeData(host);
        await delay(forMs);
        await this.#platform.restart(name);
      },
      replace: async () => {
        await this.#platform.signal(name, 'SIGKILL');
        await delay(forMs);
        await this.#startSuccessor(host);
      },
    };
    await delay(afterMs);
    await handlers[kind]();
  }

  /** Kills all processes right after an acknowledgement, and starts them again without some of the disks. */
  async #losePower({ wiped, darkMs, spreadMs }: SoakPowerLoss): Promise<void> {
    const before = this.#operator.ackCount;
    await waitUntil('one more document is accepted', async () => {
      await this.#operator.submit();
      return this.#operator.ackCount > before;
    });
    const { entries } = this.#options;
    const names = [
      ...this.#hosts.map((n) => `control-${n}`),
      ...Array.from({ length: entries }, (_item, i) => `entry-${i + 1}`),
    ];
    await Promise.all(names.map(async (name) => this.#platform.signal(name, 'SIGKILL')));
    const lost = wiped.map((position) => this.#hosts[position] ?? 0);
    await Promise.all(lost.map(async (n) => this.#platform.wipeData(n)));
    await delay(darkMs);
    await Promise.all(
      names.map(async (name) => {
        await delay(this.#random() * spreadMs);
        await this.#platform.restart(name);
      }),
    );
    await Promise.all([
      ...this.#hosts.map(async (n) => this.#checkReadBack(n)),
      ...Array.from({ length: entries }, async (_item, i) => this.#checkEntry(i + 1)),
    ]);
    await delay(CATCH_UP_MS);
  }

  async #checkReadBack(host: number): Promise<void> {
    const startedAt = performance.now();
    let version: number | null = null;
    const isRead = async (): Promise<boolean> => {
      version = await this.#operator.read(this.#platform.controlAddress(host));
      return version !== null && version >= this.#operator.acked;
    };
    await waitUntil('the newest is read back', isRead, RECOVERY_MS).catch(() =>
      this.#findings.push({
        rule: 'read back',
        detail: `control-${host} returned ${version}, ${this.#operator.acked} was acknowledged`,
      }),
    );
    this.#slowestReadBackMs = Math.max(this.#slowestReadBackMs, performance.now() - startedAt);
  }

  /** An entry host must become ready to decide on requests, and know the route that the newest version has added. */
  async #checkEntry(n: number): Promise<void> {
    const { host, port } = this.#platform.entryAddress(n);
    const control = this.#platform.controlAddress(this.#hosts[0] ?? 1);
    let status = 0;
    const isKnown = async (): Promise<boolean> => {
      const version = (await this.#operator.read(control)) ?? this.#operator.acked;
      const res = await request(`http://${host}:${port}${versionPath(version)}x`, {
        headers: callerHeaders(`read-${version}`, DOCUMENT_KEY, CALL_DEADLINE_MS),
        signal: AbortSignal.timeout(2 * CALL_DEADLINE_MS),
      });
      status = res.statusCode;
      const text = await res.body.text();
      return status === 503 && !text.includes('not_ready');
    };
    await waitUntil('an entry host serves the newest', isKnown, RECOVERY_MS).catch(() =>
      this.#findings.push({ rule: 'added route', detail: `entry-${n} answered ${status}` }),
    );
  }
}

/** Does one run; all processes that it started have stopped when it resolves. */
export async function runConfigSoak(options: SoakConfigOptions): Promise<SoakConfigResult> {
  const { controls, lossesBorne, entries, logs = 'ignore' } = options;
  const platform = await StandInPlatform.start({ controls, lossesBorne, entries, logs });
  try {
    return await new SoakConfigHarness(options, platform).run();
  } finally {
    await platform.stop();
  }
}
