/** What is done to the system in one run, by its seed. Pure. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { FATAL_PREFIX } from '../platform/__tests__/utils/StandInFleet.js';
import type { SoakUnusualAnswer } from './SoakUnusualAnswers.js';

/** Kinds of disturbances; the name says what is done, and to which kind of host. */
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

/** One disturbance. */
export interface SoakFault {
  readonly kind: SoakFaultKind | SoakUnusualAnswer;
  /** Host it is done to, or all. */
  readonly target: string;
  /** ms from the start of load. */
  readonly at: number;
  readonly forMs: number;
}

/** Size of a run. */
export interface SoakPlanOptions {
  readonly entries: number;
  readonly endpoints: number;
  /** Length of the disturbed time, ms. */
  readonly durationMs: number;
  /** Disturbances a second, on average. */
  readonly faultsPerSecond: number;
}

/** Hosts that a kind is done to, how long it lasts at most, and how often it comes. */
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

/** Kinds that may take a disk or a majority; two of them at once would lose more than is borne. */
const CONTROL_LOSS_KINDS: ReadonlySet<SoakFaultKind> = new Set([
  'controlWipe',
  'controlKill',
  'controlKillAll',
]);

/** Time between two heavy disturbances, ms: an empty host must have caught up before the next loss. */
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

/** The disturbances of a seed, in order of time. */
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

/** Requests that end their engines in one run, and how often each is sent, ms. */
const FATAL_REQUEST_COUNT = 2;
export const FATAL_INTERVAL_MS = 300;

/** A request that ends its engine: from when on it is sent, ms from the start of load. */
export interface SoakFatalRequest {
  readonly body: string;
  readonly at: number;
}

/** Requests that end their engines. Drawn by themselves, so that the disturbances of a seed stay as they are. */
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
