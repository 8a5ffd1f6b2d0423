/** Requests refused wrongly because they ran beside a request that crashes endpoints, and the cost of the screening. */
import {
  EMPTY_QUARANTINE,
  hashQuarantine,
  recordSuspects,
  mergeSuspectRecords,
  SUSPECT_LIMITS,
  toQuarantineUpdates,
} from '../src/coordination/index.js';
import { digestRequest } from '../src/protocol/index.js';
import { report, round } from './BenchReport.js';
import { simulateQuarantine } from './BenchQuarantineModel.js';

const IN_PROGRESS = [1, 10, 100];
const QUARANTINE_CRASHES = [2, 3, Infinity];
const SEEDS = 5;

const BODY_BYTES = [0, 1_024, 65_536, 4_194_304];

function benchNeighbours(seed: number): void {
  [true, false].forEach((isGroup) => {
    IN_PROGRESS.forEach((inProgress) => {
      QUARANTINE_CRASHES.forEach((quarantineCrashes) => {
        const shape = { endpoints: 12, isGroup, inProgress, fatalRequests: 2, crashesPerMinute: 1 };
        const outcomes = Array.from({ length: SEEDS }, (_item, i) =>
          simulateQuarantine(shape, quarantineCrashes, seed + i),
        );
        const sum = (key: keyof (typeof outcomes)[number]): number =>
          outcomes.reduce((total, outcome) => total + outcome[key], 0);
        report('quarantine-neighbours', {
          seed,
          runs: SEEDS,
          isGroup,
          inProgress,
          mostEnds: String(quarantineCrashes),
          ends: sum('ends'),
          ownEnds: sum('ownEnds'),
          innocent: sum('innocent'),
          wronglyHeld: sum('wronglyHeld'),
          lost: sum('lost'),
        });
      });
    });
  });
}

/** Median time of a task, us. */
function medianUs(task: () => void): number {
  const times = Array.from({ length: 101 }, () => {
    const begun = performance.now();
    task();
    return (performance.now() - begun) * 1_000;
  }).sort((a, b) => a - b);
  return round(times[50] ?? 0);
}

function benchCost(seed: number): void {
  BODY_BYTES.forEach((bytes) => {
    const body = Buffer.alloc(bytes, 'x');
    const identity = { customer: 'kano', method: 'POST', host: 'desk.example', path: '/a/b', body };
    report('quarantine-digest', { seed, bytes, us: medianUs(() => digestRequest(identity)) });
  });
  const lost = Array.from({ length: SUSPECT_LIMITS.request.total }, (_item, i) => {
    const digest = i.toString(16).padStart(32, '0');
    return { digest, customer: `c${i % 8}`, parts: [], request: digest };
  });
  const { state } = recordSuspects(EMPTY_QUARANTINE, 'i-0123456789@1790000000000', lost, 0);
  const messages = toQuarantineUpdates(state, [...state.values()], 0);
  const records = messages.flatMap((message) => message.records);
  report('quarantine-set', {
    seed,
    suspects: state.size,
    bytes: JSON.stringify(records).length,
    hashUs: medianUs(() => hashQuarantine(state)),
    mergeUs: medianUs(() => mergeSuspectRecords(state, records, 0)),
  });
}

/** Prints one line per case. */
export async function benchQuarantine(seed: number): Promise<void> {
  benchNeighbours(seed);
  benchCost(seed);
}
