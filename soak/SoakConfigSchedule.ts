/** Plans the losses of control hosts in one run of the configuration soak from its seed. Pure. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** What happens to a control host: killed, paused, its disk lost, or replaced by an empty one at another address. */
export type SoakLossKind = 'kill' | 'pause' | 'wipe' | 'replace';

/** The loss of one control host; `position` is its place among those that run. */
export interface SoakLoss {
  readonly kind: SoakLossKind;
  readonly position: number;
  /** Delay from the begin of its round, and how long the host is gone; ms. */
  readonly afterMs: number;
  readonly forMs: number;
}

/** Losses that overlap; the next round begins once all of their hosts must count again. */
export type SoakLossRound = readonly SoakLoss[];

/**
 * A planned replacement: a host is added, then another one is stopped with SIGTERM for good, and others lose their disks.
 * Hosts are named by their places among those that run.
 */
export interface SoakReplacement {
  readonly left: number;
  readonly wiped: readonly number[];
  /** Time from the end of the process that leaves until the disks are lost, and how long their hosts are gone; ms. */
  readonly afterMs: number;
  readonly forMs: number;
}

/** The end of a run: all processes are killed, and some control hosts lose their disks. */
export interface SoakPowerLoss {
  readonly wiped: readonly number[];
  readonly darkMs: number;
  /** Maximum delay of each process's start after that, ms. */
  readonly spreadMs: number;
}

/** All losses of one run, in order. Later power losses meet what the earlier ones have left. */
export interface SoakConfigPlan {
  readonly rounds: readonly SoakLossRound[];
  readonly replacements: readonly SoakReplacement[];
  readonly powerLosses: readonly SoakPowerLoss[];
}

/** Size of the plan. */
export interface SoakConfigPlanOptions {
  readonly controls: number;
  /** Number of control hosts that may be lost at once. */
  readonly lossesBorne: number;
  readonly rounds: number;
}

const KINDS: readonly SoakLossKind[] = ['kill', 'pause', 'wipe', 'replace'];

/** Number of power losses at the end of a run: what the first one leaves must tolerate the second. */
const POWER_LOSSES = 2;

/** Number of planned replacements in a run. */
const REPLACEMENTS = 1;

/** An unreachable voter is removed after 3 s, so that later losses show nothing new. */
const MAX_PAUSE_MS = 3_000;

const MAX_LOSS_MS = 4_000;
const MAX_LOSS_DELAY_MS = 1_000;
const MAX_DARK_MS = 1_000;
const MAX_SPREAD_MS = 600;

/** The plan of a seed. */
export function planConfigLosses(
  seed: number,
  { controls, lossesBorne, rounds }: SoakConfigPlanOptions,
): SoakConfigPlan {
  const rng = xoroshiro128plus(seed);
  const below = (limit: number): number => Math.floor(uniformFloat64(rng) * limit);
  const pickPositions = (count: number): readonly number[] => {
    const left = Array.from({ length: controls }, (_item, i) => i);
    return Array.from({ length: count }, () => left.splice(below(left.length), 1)[0] ?? 0);
  };
  const planRound = (): SoakLossRound =>
    pickPositions(1 + below(lossesBorne)).map((position) => ({
      kind: KINDS[below(KINDS.length)] ?? 'kill',
      position,
      afterMs: below(MAX_LOSS_DELAY_MS),
      forMs: below(MAX_LOSS_MS),
    }));
  const planReplacement = (): SoakReplacement => {
    const [left = 0, ...wiped] = pickPositions(1 + lossesBorne);
    return { left, wiped, afterMs: below(MAX_PAUSE_MS), forMs: below(MAX_LOSS_DELAY_MS) };
  };
  const plannedRounds = Array.from({ length: rounds }, planRound);
  const powerLosses = Array.from({ length: POWER_LOSSES }, () => ({
    wiped: pickPositions(below(lossesBorne + 1)),
    darkMs: below(MAX_DARK_MS),
    spreadMs: below(MAX_SPREAD_MS),
  }));
  const replacements = Array.from({ length: REPLACEMENTS }, planReplacement);
  return { rounds: plannedRounds, replacements, powerLosses };
}
