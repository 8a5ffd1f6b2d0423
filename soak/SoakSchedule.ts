/** What is done to the system in one run, by its seed. Pure. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { FATAL_PREFIX } from '../platform/__tests__/utils/StandInFleet.js';
import type { SoakOddity } from './SoakOddities.js';

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
  readonly kind: SoakFaultKind | SoakOddity;
  /** Host it is done to, or all. */
  readonly target: string;
  /** ms from the start of load. */
  readonly at: number;
  readonly forMs: number;
}

/** Size of a run. */
export interface SoakShape {
  readonly entries: number;
  readonly endpoints: number;
  /** Length of the disturbed time, ms. */
  readonly lengthMs: number;
  /** Disturbances a second, on average. */
  readonly rate: number;
}

/** Hosts that a kind is done to, how long it lasts at most, and how often it comes. */
const KINDS: Readonly<
  Record<SoakFaultKind, { readonly on: string; readonly mostMs: number; readonly weight: number }>
> = {
  entryKill: { on: 'entry', mostMs: 1_500, weight: 2 },
  entryPause: { on: 'entry', mostMs: 4_000, weight: 2 },
  entryTerm: { on: 'entry', mostMs: 500, weight: 3 },
  controlKill: { on: 'control', mostMs: 1_500, weight: 2 },
  controlPause: { on: 'control', mostMs: 4_000, weight: 2 },
  controlWipe: { on: 'control', mostMs: 1_000, weight: 1 },
  controlKillAll: { on: 'all', mostMs: 500, weight: 0.5 },
  endpointKill: { on: 'endpoint', mostMs: 1_000, weight: 2 },
  endpointPause: { on: 'endpoint', mostMs: 3_000, weight: 2 },
  hangUp: { on: 'entry', mostMs: 100, weight: 1 },
  engineCrash: { on: 'engine', mostMs: 1_000, weight: 2 },
  drain: { on: 'engine', mostMs: 3_500, weight: 2 },
  engineBreak: { on: 'engine', mostMs: 2_000, weight: 2 },
  engineLate: { on: 'engine', mostMs: 2_000, weight: 1 },
  orderLost: { on: 'engine', mostMs: 4_000, weight: 3 },
  linkReset: { on: 'host', mostMs: 100, weight: 2 },
  linkSilent: { on: 'host', mostMs: 100, weight: 1 },
  linkDelay: { on: 'host', mostMs: 3_000, weight: 2 },
  cutInward: { on: 'host', mostMs: 4_000, weight: 2 },
  cutOutward: { on: 'host', mostMs: 4_000, weight: 2 },
  configure: { on: 'all', mostMs: 1, weight: 4 },
  withdraw: { on: 'all', mostMs: 1, weight: 2 },
};

/** Kinds that may take a disk or a majority; two of them at once would lose more than is borne. */
const HEAVY: ReadonlySet<SoakFaultKind> = new Set(['controlWipe', 'controlKill', 'controlKillAll']);

/** Time between two heavy disturbances, ms: an empty host must have caught up before the next loss. */
const HEAVY_GAP_MS = 8_000;

function hostsOf(on: string, { entries, endpoints }: SoakShape): readonly string[] {
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
  return hosts[on] ?? [];
}

/** The disturbances of a seed, in order of time. */
export function planSoak(seed: number, shape: SoakShape): readonly SoakFault[] {
  const rng = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(rng);
  const kinds = Object.entries(KINDS) as [SoakFaultKind, (typeof KINDS)[SoakFaultKind]][];
  const total = kinds.reduce((sum, [, { weight }]) => sum + weight, 0);
  const pick = (): (typeof kinds)[number] | undefined => {
    let left = next() * total;
    return kinds.find(([, { weight }]) => {
      left -= weight;
      return left < 0;
    });
  };
  const faults: SoakFault[] = [];
  let heavyAt = -Infinity;
  for (let at = 500; at < shape.lengthMs; at += (next() * 2_000) / shape.rate) {
    const [kind, { on, mostMs }] = pick() ?? ['configure', KINDS.configure];
    const hosts = hostsOf(on, shape);
    const target = hosts[Math.floor(next() * hosts.length)] ?? 'all';
    const fault = { kind, target, at: Math.round(at), forMs: Math.round(next() * mostMs) };
    const isHeavy = HEAVY.has(kind);
    if (!isHeavy || at - heavyAt > HEAVY_GAP_MS) {
      faults.push(fault);
      heavyAt = isHeavy ? at : heavyAt;
    }
  }
  return faults;
}

/** Requests that end their engines in one run, and how often each is sent, ms. */
const FATAL_REQUESTS = 2;
export const FATAL_PAUSE_MS = 300;

/** A request that ends its engine: from when on it is sent, ms from the start of load. */
export interface SoakFatalRequest {
  readonly body: string;
  readonly at: number;
}

/** Requests that end their engines. Drawn by themselves, so that the disturbances of a seed stay as they are. */
export function planFatal(seed: number, { lengthMs }: SoakShape): readonly SoakFatalRequest[] {
  const rng = xoroshiro128plus(seed);
  return Array.from({ length: FATAL_REQUESTS }, (_item, i) => ({
    body: `${FATAL_PREFIX} ${i + 1}`,
    at: Math.round((uniformFloat64(rng) * lengthMs) / 2),
  }));
}
