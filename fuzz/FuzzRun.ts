/** Runs cases against the real entry, several concurrently, and shrinks those that fail. */
import { setTimeout as delay } from 'node:timers/promises';
import { callerRequestOf, runCaller } from './FuzzCaller.js';
import { FuzzEndpoints } from './FuzzEndpoint.js';
import { startEntry } from './FuzzEntry.js';
import { judgeCase, type FuzzOutcome, type FuzzVerdict } from './FuzzOracle.js';
import { drawCase } from './FuzzPlan.js';
import { shrinkCase } from './FuzzShrink.js';
import type { FuzzAnswer, FuzzCase, FuzzRequest } from './FuzzTypes.js';

/** Answer to arrivals for which a request has no scripted answer. */
const VALID_ANSWER: FuzzAnswer = {
  kind: 'plain',
  framing: 'length',
  size: 8,
  head: [],
  edits: [],
  cut: null,
  extras: [],
  splits: [],
  pauseMs: 0,
  end: 'keep',
};

/** Id of the request at index `i` of a case, eight hexadecimal digits. */
function requestIdOf(seed: number, i: number): string {
  const mixed = Math.imul(seed * 8 + i + 1, 0x9e3779b1);
  // eslint-disable-next-line no-bitwise
  return (mixed >>> 0).toString(16).padStart(8, '0');
}

function answerOf({ route, answers }: FuzzRequest, nth: number): FuzzAnswer {
  const kind = route === 'stream' || route === 'fixed' ? 'stream' : 'plain';
  return answers[nth] ?? { ...VALID_ANSWER, kind };
}

/** Runs one case with a new entry and new endpoints, and judges it. */
export async function runCase(plan: FuzzCase, seed: number): Promise<FuzzVerdict> {
  const requests = plan.requests.map((request, i) =>
    callerRequestOf(request, requestIdOf(seed, i)),
  );
  const plans = new Map(requests.map((request) => [request.id, request.plan]));
  const endpoints = new FuzzEndpoints((id, nth) => {
    const request = plans.get(id);
    return request === undefined ? VALID_ANSWER : answerOf(request, nth);
  });
  const ports = await Promise.all(
    Array.from({ length: plan.endpoints }, async () => endpoints.listen()),
  );
  const entry = await startEntry(seed, ports);
  try {
    const transcripts = await runCaller(entry.port, requests);
    return judgeCase({
      transcripts,
      arrivals: endpoints.arrivals,
      errorLines: entry.errorLines,
    });
  } finally {
    entry.close();
    endpoints.close();
  }
}

/** A case that violated a guarantee, shrunk, or that was running when an exception was not caught. */
export interface FuzzFailure {
  readonly seed: number;
  readonly findings: readonly string[];
  readonly plan: FuzzCase;
}

/** Result of a run. */
export interface FuzzResult {
  readonly cases: number;
  readonly outcomes: Readonly<Record<FuzzOutcome, number>>;
  readonly failures: readonly FuzzFailure[];
  /** Resources of this process that the run has not released: their number and kind. */
  readonly leaks: readonly string[];
}

/** Parameters of a run. */
export interface FuzzOptions {
  /** Seed of the first case; the others have the following numbers. */
  readonly seed: number;
  readonly cases: number;
  /** Number of cases that run concurrently. */
  readonly jobs: number;
  /** Number of failures after which no more cases are started. */
  readonly maxFailures: number;
}

/** Time for resources to be released after a run, ms; probes of endpoints end within it. */
const SETTLE_MS = 1_000;

/** Interval at which the remaining resources are counted, ms. */
const SETTLE_POLL_MS = 50;

const RESOURCES = ['TCPSocketWrap', 'TCPServerWrap', 'TCPConnectWrap', 'Timeout', 'Immediate'];

function countResources(): ReadonlyMap<string, number> {
  // The API is experimental; only this tool uses it, no process of the product.
  // eslint-disable-next-line n/no-unsupported-features/node-builtins
  const active = process.getActiveResourcesInfo();
  return new Map(RESOURCES.map((kind) => [kind, active.filter((one) => one === kind).length]));
}

/** Resources in excess of those before the run, after they have had time to be released. */
async function findLeaks(before: ReadonlyMap<string, number>): Promise<readonly string[]> {
  const until = performance.now() + SETTLE_MS;
  for (;;) {
    const leaks = [...countResources()]
      .map(([kind, count]) => ({ kind, count: count - (before.get(kind) ?? 0) }))
      .filter(({ count }) => count > 0)
      .map(({ kind, count }) => `${count} ${kind}`);
    if (leaks.length === 0 || performance.now() > until) {
      return leaks;
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(SETTLE_POLL_MS);
  }
}

async function shrinkFailure(failure: FuzzFailure): Promise<FuzzFailure> {
  const { seed } = failure;
  let { findings } = failure;
  const plan = await shrinkCase(failure.plan, async (smaller) => {
    const verdict = await runCase(smaller, seed);
    findings = verdict.findings.length > 0 ? verdict.findings : findings;
    return verdict.findings.length > 0;
  });
  return { seed, findings, plan };
}

async function runSeeds(
  { seed, cases, jobs, maxFailures }: FuzzOptions,
  runningSeeds: Set<number>,
  uncaught: readonly FuzzFailure[],
): Promise<Omit<FuzzResult, 'leaks'>> {
  const outcomes = { whole: 0, passed: 0, own: 0, notRun: 0, broken: 0 };
  const failures: FuzzFailure[] = [];
  let startedCount = 0;
  const runWorker = async (): Promise<void> => {
    while (startedCount < cases && failures.length < maxFailures && uncaught.length === 0) {
      const caseSeed = seed + startedCount;
      startedCount += 1;
      const plan = drawCase(caseSeed);
      runningSeeds.add(caseSeed);
      // eslint-disable-next-line no-await-in-loop
      const verdict = await runCase(plan, caseSeed);
      runningSeeds.delete(caseSeed);
      verdict.outcomes.forEach((outcome) => {
        outcomes[outcome] += 1;
      });
      if (verdict.findings.length > 0) {
        failures.push({ seed: caseSeed, findings: verdict.findings, plan });
      }
    }
  };
  await Promise.all(Array.from({ length: jobs }, runWorker));
  const shrunk: FuzzFailure[] = [];
  // eslint-disable-next-line no-restricted-syntax -- one at a time: rare failures need an idle machine to be reproduced
  for (const failure of failures) {
    // eslint-disable-next-line no-await-in-loop
    shrunk.push(await shrinkFailure(failure));
  }
  return { cases: startedCount, outcomes, failures: [...shrunk, ...uncaught] };
}

/** Runs cases and looks for leaked resources. */
export async function runFuzz(options: FuzzOptions): Promise<FuzzResult> {
  const before = countResources();
  const runningSeeds = new Set<number>();
  const uncaught: FuzzFailure[] = [];
  const onUncaughtException = (err: unknown): void => {
    const findings = [
      `thrown where nobody awaits, in one of ${[...runningSeeds].join()}: ${String(err)}`,
    ];
    uncaught.push(...[...runningSeeds].map((seed) => ({ seed, findings, plan: drawCase(seed) })));
  };
  process.prependListener('uncaughtException', onUncaughtException);
  try {
    const result = await runSeeds(options, runningSeeds, uncaught);
    return { ...result, leaks: await findLeaks(before) };
  } finally {
    process.off('uncaughtException', onUncaughtException);
  }
}
