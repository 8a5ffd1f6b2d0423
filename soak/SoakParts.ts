/** Prompts of soak requests: the parts that they share, and one that crashes the engines that answer on it. */
import { setTimeout as delay } from 'node:timers/promises';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { overlapsUnplannedFault } from './SoakFaultOverlap.js';
import type { SoakAttempt, SoakFinding, SoakRecord } from './SoakTypes.js';

/** Id of the part that crashes engines. */
export const FATAL_PART = 'fa7a1';

/** Begin of the bodies of requests with that part; the rest differs. */
export const FATAL_PART_BODY = 'with a fatal part';

/** Parts that all prompts share, before the others. */
const COMMON_PARTS = Array.from({ length: 36 }, (_part, i) => `s${i}`);

const FIRST_PARTS = 5;
const SECOND_PARTS = 11;
const SEND_INTERVAL_MS = 400;

/** Number of crashes after which the part must be held back, the time until it is, ms, and how often it may still run. */
const MAX_CRASHES = 5;
const PROPAGATION_MS = 3_000;
const MAX_LATE_EXECUTIONS = 3;

/** Time after the last of these crashes from which sound streams are served again, ms, and how many are needed to tell. */
const SETTLING_MS = 2 * PROPAGATION_MS;
const MIN_SOUND_STREAMS = 20;

/** The parts of the prompt of the n-th request; the last one is its own. */
export function promptOf(n: number, isFatal: boolean): readonly string[] {
  const shared = isFatal ? FATAL_PART : `b${n % SECOND_PARTS}`;
  return [...COMMON_PARTS, `a${n % FIRST_PARTS}`, shared, `c${n}`];
}

/** When requests with the fatal part begin, ms from the start of load. Has its own generator, like the other plans. */
export function planFatalPart(seed: number, durationMs: number): number {
  return Math.round((uniformFloat64(xoroshiro128plus(seed + 1)) * durationMs) / 2);
}

/**
 * Sends requests with the fatal part from `fromMs` until `untilMs` from now, or none if `fromMs` is null; their answers
 * aren't awaited.
 */
export async function sendFatalParts(
  fromMs: number | null,
  untilMs: number,
  send: () => Promise<unknown>,
): Promise<void> {
  if (fromMs === null) {
    return;
  }
  const startedAt = performance.now();
  await delay(fromMs);
  while (performance.now() - startedAt < untilMs) {
    send().catch(() => undefined);
    // eslint-disable-next-line no-await-in-loop
    await delay(SEND_INTERVAL_MS);
  }
}

/**
 * Whether a request that crashes no engine was held back for parts that it shares with others. One that is resumed may
 * be held for itself, as it may have been in progress at several crashes.
 */
export function isHeldSound({ isFatal, resumedFrom, status, body }: SoakAttempt): boolean {
  return !isFatal && resumedFrom === null && status === 503 && body.includes('"quarantined"');
}

/** When the engines crashed that requests with the fatal part reached, sorted. */
function crashTimesOf({ engineCrashes }: SoakRecord): readonly number[] {
  return engineCrashes
    .filter(({ body }) => body.startsWith(FATAL_PART_BODY))
    .map(({ at }) => at)
    .sort((a, b) => a - b);
}

/** Once the fatal part is held back, most sound streams are not, though they share all parts but that one. */
function checkSoundRequests(record: SoakRecord): readonly SoakFinding[] {
  const lastCrashAt = crashTimesOf(record).slice(0, MAX_CRASHES).at(-1) ?? Infinity;
  const sound = record.attempts.filter(
    ({ kind, isFatal, resumedFrom, sentAt }) =>
      kind === 'stream' && !isFatal && resumedFrom === null && sentAt > lastCrashAt + SETTLING_MS,
  );
  const held = sound.filter(isHeldSound);
  const isBroken = sound.length >= MIN_SOUND_STREAMS && held.length > sound.length / 2;
  const detail = `${held.length} of ${sound.length} streams`;
  return isBroken ? [{ rule: 'sound requests are not held', detail }] : [];
}

/**
 * Requests with a part that crashed five engines soon reach no engine any more. Executions during an unplanned fault or
 * shortly after it don't count.
 */
function checkFatalPart(record: SoakRecord): readonly SoakFinding[] {
  const { injectedFaults, fatalPartExecutions } = record;
  const crashTimes = crashTimesOf(record);
  const boundAt = (crashTimes[MAX_CRASHES - 1] ?? Infinity) + PROPAGATION_MS;
  const late = fatalPartExecutions.filter(
    ({ at }) =>
      at > boundAt &&
      !overlapsUnplannedFault({ injectedFaults, engineCrashes: [] }, { sentAt: at, endedAt: at }),
  );
  const detail = `${late.length} requests ran too late, ${crashTimes.length} engines crashed`;
  return late.length > MAX_LATE_EXECUTIONS
    ? [{ rule: 'a part that ends engines is held', detail }]
    : [];
}

/** Requests with a fatal part are held back, and most others are not. */
export function checkParts(record: SoakRecord): readonly SoakFinding[] {
  return [...checkFatalPart(record), ...checkSoundRequests(record)];
}
