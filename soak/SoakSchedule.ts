/** Plans the faults of one run from its seed. Pure. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { FATAL_PREFIX } from '../platform/__tests__/utils/StandInFleet.js';
import type { SoakUnusualAnswer } from './SoakUnusualAnswers.js';

/** Kinds of faults; the name says what is done, and to which kind of host. */
export type SoakFaultKind =
  | 'entryKill'
  | 'entryPause'
  | 'entryTerm'
  | 'controlKill'
  | 'controlPause'
  | 'controlWipe'
  | 'controlKillAll'
  | 'endpointKill'
  | 'endpointPause'
  | 'hangUp'
  | 'engineCrash'
  | 'drain'
  | 'engineBreak'
  | 'engineLate'
  | 'orderLost'
  | 'linkReset'
  | 'linkSilent'
  | 'linkDelay'
  | 'cutInward'
  | 'cutOutward'
  | 'configure'
  | 'withdraw';

/** One planned fault. */
export interface SoakFault {
  readonly kind: SoakFaultKind | SoakUnusualAnswer | 'coldStart' | 'deregister';
  /** Name of the host that it is injected into, or `all`. */
  readonly target: string;
  /** Start and duration; ms, the start counted from the start of load. */
  readonly at: number;
  readonly forMs: number;
}

/** Size of the system, and how long and how often faults are injected. */
export interface SoakPlanOptions {
  readonly entries: number;
  readonly endpoints: number;
  /** Time during which faults are injected, ms. */
  readonly durationMs: number;
  /** Average over the run. */
  readonly faultsPerSecond: number;
}

/** Kind of hosts that a fault is injected into, its maximum duration in ms, and its relative frequency. */
const FAULT_KINDS: Readonly<
  Record<
    SoakFaultKind,
    { readonly hostKind: string; readonly maxMs: number; readonly weight: number }
  >
> = {
  entryKill: { hostKind: 'entry', maxMs: 1_500, weight: 2 },
  entryPause: { hostKind: 'entry', maxMs: 4_000, weight: 2 },
  entryTerm: { hostKind: 'entry', maxMs: 500, weight: 3 },
  controlKill: { hostKind: 'control', maxMs: 1_500, weight: 2 },
  controlPause: { hostKind: 'control', maxMs: 4_000, weight: 2 },
  controlWipe: { hostKind: 'control', maxMs: 1_000, weight: 1 },
  controlKillAll: { hostKind: 'all', maxMs: 500, weight: 0.5 },
  endpointKill: { hostKind: 'endpoint', maxMs: 1_000, weight: 2 },
  endpointPause: { hostKind: 'endpoint', maxMs: 3_000, weight: 2 },
  hangUp: { hostKind: 'entry', maxMs: 100, weight: 1 },
  engineCrash: { hostKind: 'engine', maxMs: 1_000, weight: 2 },
  drain: { hostKind: 'engine', maxMs: 3_500, weight: 2 },
  engineBreak: { hostKind: 'engine', maxMs: 2_000, weight: 2 },
  engineLate: { hostKind: 'engine', maxMs: 2_000, weight: 1 },
  orderLost: { hostKind: 'engine', maxMs: 4_000, weight: 3 },
  linkReset: { hostKind: 'host', maxMs: 100, weight: 2 },
  linkSilent: { hostKind: 'host', maxMs: 100, weight: 1 },
  linkDelay: { hostKind: 'host', maxMs: 3_000, weight: 2 },
  cutInward: { hostKind: 'host', maxMs: 4_000, weight: 2 },
  cutOutward: { hostKind: 'host', maxMs: 4_000, weight: 2 },
  configure: { hostKind: 'all', maxMs: 1, weight: 4 },
  withdraw: { hostKind: 'all', maxMs: 1, weight: 2 },
};

/** Kinds that may lose a control host's disk or the majority; two at once would exceed the tolerated losses. */
const CONTROL_LOSS_KINDS: ReadonlySet<SoakFaultKind> = new Set([
  'controlWipe',
  'controlKill',
  'controlKillAll',
]);

/** Minimum time between two of them, ms: a host that restarted empty must have caught up before the next loss. */
const CONTROL_LOSS_GAP_MS = 8_000;

function hostsOf(hostKind: string, { entries, endpoints }: SoakPlanOptions): readonly string[] {
  const named = (kind: string, count: number): readonly string[] =>
    Array.from({ length: count }, (_item, i) => `${kind}-${i + 1}`);
  const hosts: Readonly<Record<string, readonly string[]>> = {
    entry: named('entry', entries),
    control: named('control', 3),
    endpoint: named('endpoint', endpoints),
    engine: named('engine', endpoints),
    host: [...named('control', 3), ...named('entry', entries), ...named('endpoint', endpoints)],
    all: ['all'],
  };
  return hosts[hostKind] ?? [];
}

/** The faults of a seed, in order of time. */
export function planFaults(seed: number, options: SoakPlanOptions): readonly SoakFault[] {
  const rng = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(rng);
  const kinds = Object.entries(FAULT_KINDS) as [
    SoakFaultKind,
    (typeof FAULT_KINDS)[SoakFaultKind],
  ][];
  const total = kinds.reduce((sum, [, { weight }]) => sum + weight, 0);
  const pick = (): (typeof kinds)[number] | undefined => {
    let remaining = next() * total;
    return kinds.find(([, { weight }]) => {
      remaining -= weight;
      return remaining < 0;
    });
  };
  const faults: SoakFault[] = [];
  let lastControlLossAt = -Infinity;
  for (let at = 500; at < options.durationMs; at += (next() * 2_000) / options.faultsPerSecond) {
    const [kind, { hostKind, maxMs }] = pick() ?? ['configure', FAULT_KINDS.configure];
    const hosts = hostsOf(hostKind, options);
    const target = hosts[Math.floor(next() * hosts.length)] ?? 'all';
    const fault = { kind, target, at: Math.round(at), forMs: Math.round(next() * maxMs) };
    const isControlLoss = CONTROL_LOSS_KINDS.has(kind);
    if (!isControlLoss || at - lastControlLossAt > CONTROL_LOSS_GAP_MS) {
      faults.push(fault);
      lastControlLossAt = isControlLoss ? at : lastControlLossAt;
    }
  }
  return faults;
}

/** Requests per run that crash the engines that run them, and the interval at which each is sent, ms. */
const FATAL_REQUEST_COUNT = 2;
export const FATAL_INTERVAL_MS = 300;

/** A request that crashes every engine that runs it; `at` is when it is first sent, ms from the start of load. */
export interface SoakFatalRequest {
  readonly body: string;
  readonly at: number;
}

/** Requests that crash engines. They have their own generator, so that the faults of a seed don't change. */
export function planFatalRequests(
  seed: number,
  { durationMs }: SoakPlanOptions,
): readonly SoakFatalRequest[] {
  const rng = xoroshiro128plus(seed);
  return Array.from({ length: FATAL_REQUEST_COUNT }, (_item, i) => ({
    body: `${FATAL_PREFIX} ${i + 1}`,
    at: Math.round((uniformFloat64(rng) * durationMs) / 2),
  }));
}
