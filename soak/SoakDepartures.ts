/**
 * Engines that deregister, and whose last heartbeat arrives late, around restarts of all control processes: their plan,
 * and the check of what reaches them. Pure.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { hadFault } from './SoakRelief.js';
import type { SoakFault, SoakPlanOptions } from './SoakSchedule.js';
import type { SoakFinding, SoakRecord } from './SoakTypes.js';

/** An engine must get no new request later than this after its deregistration was acknowledged, ms. */
export const MAX_DEPARTURE_MS = 2_000;

/** Entry and control hosts without a fault for this long are in touch, ms. */
const CONTACT_MS = 3_000;

/** Time from the deregistration to the late heartbeat, ms: the control processes are in touch again by then. */
const MIN_LATE_MS = 4_500;
const MAX_LATE_MS = 6_000;

/** Time from a deregistration until all control processes are killed, and until they are restarted, ms. */
const KILL_AFTER_MS = 400;
const DOWN_MS = 300;

/** Share of the run in which engines deregister. */
const BEGIN_SHARE = 0.4;

/** The departures of a seed. They have their own generator, so that the faults of a seed don't change. */
export function planDepartures(
  seed: number,
  { endpoints, entries, durationMs }: SoakPlanOptions,
): readonly SoakFault[] {
  const rng = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(rng);
  const at = Math.round(next() * BEGIN_SHARE * durationMs);
  return [
    {
      kind: 'deregister',
      target: `engine-${1 + Math.floor(next() * endpoints)}`,
      at,
      forMs: Math.round(MIN_LATE_MS + next() * (MAX_LATE_MS - MIN_LATE_MS)),
    },
    { kind: 'controlKillAll', target: 'all', at: at + KILL_AFTER_MS, forMs: DOWN_MS },
    // An entry process that runs on remembers the departure by itself.
    {
      kind: 'entryKill',
      target: `entry-${1 + Math.floor(next() * entries)}`,
      at: at + KILL_AFTER_MS,
      forMs: DOWN_MS,
    },
  ];
}

/** Whether a fault was injected into a control process, or a link of one, in the interval. */
function hadControlFault(record: SoakRecord, from: number, until: number): boolean {
  const names = ['control-1', 'control-2', 'control-3', 'all'];
  return names.some((name) => hadFault(record, name, from, until));
}

/** Requests that reached an engine late, by entry hosts in touch. */
export function checkDepartures(record: SoakRecord): readonly SoakFinding[] {
  const { attempts, departures, executions } = record;
  const entryOf = new Map(attempts.map(({ id, entry }) => [id, entry]));
  return departures.flatMap(({ engine, ackedAt }) =>
    executions
      .filter(({ engine: ranAt, at }) => ranAt === engine && at > ackedAt + MAX_DEPARTURE_MS)
      .filter(({ id, at }) => !hadFault(record, entryOf.get(id) ?? '', at - CONTACT_MS, at))
      .filter(({ at }) => !hadControlFault(record, at - CONTACT_MS, at))
      .map(({ id, at }) => ({
        rule: 'a departed engine gets nothing new',
        detail: `${id} at ${engine} after ${Math.round(at - ackedAt)} ms`,
      })),
  );
}
