/** Evacuations of a zone in a soak run: their plan, the orders of an operator, and the check of what engines observe. */
import { setTimeout as delay } from 'node:timers/promises';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { EVACUATE_MS, orderEvacuation } from '../platform/__tests__/utils/StandInPlatform.js';
import { hadFault } from './SoakRelief.js';
import type { SoakPlanOptions } from './SoakSchedule.js';
import type { SoakEvacuation, SoakExecution, SoakFinding, SoakRecord } from './SoakTypes.js';

/** Minimum duration of an evacuation, ms: after the bound, some seconds are left in which requests count. */
const MIN_EVACUATION_MS = EVACUATE_MS + 3_000;

/** Share of the run in which the evacuation begins. */
const BEGIN_SHARE = 0.3;

const ZONES = ['z1', 'z2'] as const;

/** A planned evacuation; ms, the start counted from the start of load. */
export interface SoakEvacuationPlan {
  readonly zone: string;
  readonly at: number;
  readonly forMs: number;
}

/** Zone of the engine on a host; hosts of both zones take turns. */
export function zoneOfHost(n: number): string {
  return ZONES[(n - 1) % ZONES.length] ?? ZONES[0];
}

/** The evacuation of a run. It has its own generator, so that the faults of a seed don't change. */
export function planEvacuations(
  seed: number,
  { durationMs }: SoakPlanOptions,
): readonly SoakEvacuationPlan[] {
  const rng = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(rng);
  return [
    {
      zone: ZONES[Math.floor(next() * ZONES.length)] ?? ZONES[0],
      at: Math.round(next() * BEGIN_SHARE * durationMs),
      forMs: MIN_EVACUATION_MS + Math.round(next() * MIN_EVACUATION_MS),
    },
  ];
}

/** Orders a planned evacuation and later its end; resolves once that is acknowledged. */
export async function evacuate(
  { zone, at, forMs }: SoakEvacuationPlan,
  controls: readonly string[],
  now: () => number,
): Promise<SoakEvacuation> {
  await delay(at);
  await orderEvacuation(controls, zone, 'begin');
  const ackedAt = now();
  await delay(forMs);
  const withdrawnAt = now();
  await orderEvacuation(controls, zone, 'finish');
  return { zone, ackedAt, withdrawnAt };
}

/** Number of the host of an engine, which its id names, as in `i-2-7`. */
function hostOf(engine: string): number {
  return Number(engine.split('-')[1]);
}

/** Whether faults of control hosts may have left no quorum with which an entry host was in contact. */
function mayLackQuorum(record: SoakRecord, from: number, until: number): boolean {
  const lost = ['control-1', 'control-2', 'control-3'].filter((name) =>
    hadFault(record, name, from, until),
  );
  return lost.length > 1 || hadFault(record, 'all', from, until);
}

/**
 * Leaves out requests shortly after a fault of the entry host, which has the whole time again from its renewed contact
 * on, of the link to the engine, which may hold back what was sent, or of the control hosts' majority.
 */
function isLate(
  record: SoakRecord,
  { zone, ackedAt, withdrawnAt }: SoakEvacuation,
  { engine, at }: SoakExecution,
  entry: string,
): boolean {
  const from = at - EVACUATE_MS;
  const host = hostOf(engine);
  return (
    zoneOfHost(host) === zone &&
    at > ackedAt + EVACUATE_MS &&
    at < withdrawnAt &&
    !hadFault(record, entry, from, at) &&
    !hadFault(record, `endpoint-${host}`, from, at) &&
    !mayLackQuorum(record, from, at)
  );
}

/** No request reaches an engine of an evacuated zone later than the bound after the acknowledgement. */
export function checkEvacuations(record: SoakRecord): readonly SoakFinding[] {
  const entryOf = new Map(record.attempts.map(({ id, entry }) => [id, entry]));
  return record.evacuations.flatMap((evacuation) =>
    record.executions
      .filter((execution) => isLate(record, evacuation, execution, entryOf.get(execution.id) ?? ''))
      .map(({ id, engine, at }) => ({
        rule: 'an evacuated zone gets nothing',
        detail: `${id} by ${entryOf.get(id)} at ${engine} ${Math.round(at - evacuation.ackedAt)} ms after`,
      })),
  );
}
