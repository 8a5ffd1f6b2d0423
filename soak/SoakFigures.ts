/** Figures that a soak run reports beside its findings. */
import { isHeldSound } from './SoakParts.js';
import { retryTimesOf, worstRetriesOf } from './SoakRetries.js';
import { STREAM_EVENTS } from './SoakStream.js';
import type { SoakRecord } from './SoakTypes.js';

/** Counts requests, faults and what followed from them. */
export function figuresOf(record: SoakRecord): Readonly<Record<string, number>> {
  const { attempts, executions, ackedVersion, injectedFaults } = record;
  const { engineCrashes, refusals, evacuations, coldStarts } = record;
  const worst = worstRetriesOf(record);
  const count = (test: (attempt: (typeof attempts)[number]) => boolean): number =>
    attempts.filter(test).length;
  return {
    attempts: attempts.length,
    whole: count(({ status, outcome }) => status === 200 && outcome === 'whole'),
    refused: count(({ status }) => status === 503),
    failed: count(({ status }) => status >= 500 && status !== 503),
    left: count(({ outcome }) => outcome === 'left'),
    afterLast: count(({ lastEventId, status }) => lastEventId === STREAM_EVENTS && status === 200),
    broken: count(({ outcome }) => outcome === 'broken'),
    deadline: count(({ outcome }) => outcome === 'deadline'),
    runs: executions.length,
    resumed: executions.filter(({ resumed }) => resumed).length,
    versions: ackedVersion,
    faults: injectedFaults.length,
    longestStallMs: record.longestStallMs,
    engineEnds: engineCrashes.length,
    refusals: refusals.length,
    evacuations: evacuations.length,
    departures: record.departures.length,
    cold: coldStarts.flatMap(({ arrivals }) => arrivals).length,
    fatalParts: record.fatalPartExecutions.length,
    heldSound: count(isHeldSound),
    retries: retryTimesOf(record).length,
    retriesWorst: worst.retries,
    retriesAllowed: Math.floor(worst.allowed),
  };
}
