/** Runs the test files given as arguments; failures listed in KNOWN-RED.txt are reported but don't fail the run. */
import { spawn } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import {
  evaluateResults,
  parseKnownFailures,
  parseResults,
  type KnownFailure,
} from './UnitResults.js';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';

/** A test that takes longer counts as hung, ms. */
const TEST_TIMEOUT_MS = 120_000;

async function readKnownFailures(): Promise<readonly KnownFailure[]> {
  try {
    return parseKnownFailures(await readFile(KNOWN_RED_FILE, 'utf8'));
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'ENOENT') {
      return [];
    }
    throw err;
  }
}

/** Files of tests that measure the memory of processes; they run one at a time, after all others. */
const SERIAL_SUFFIX = 'Crowd.test.ts';

/** Output and exit code of a run. */
interface TestRun {
  readonly tap: string;
  readonly code: number;
}

/** Runs test files; forwards their output, and returns it with the exit code. */
async function runTests(files: readonly string[], flags: readonly string[]): Promise<TestRun> {
  if (files.length === 0) {
    return { tap: '', code: 0 };
  }
  const timeout = `--test-timeout=${TEST_TIMEOUT_MS}`;
  const args = ['--import', 'tsx', '--test', timeout, ...flags, ...files];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  const chunks: Buffer[] = [];
  child.stdout.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
    process.stdout.write(chunk);
  });
  const code = await new Promise<number>((resolve) => {
    child.once('close', (status) => resolve(status ?? 1));
  });
  return { tap: Buffer.concat(chunks).toString('utf8'), code };
}

const known = await readKnownFailures();
const files = process.argv.slice(2);
const parallel = await runTests(
  files.filter((file) => !file.endsWith(SERIAL_SUFFIX)),
  [],
);
const serial = await runTests(
  files.filter((file) => file.endsWith(SERIAL_SUFFIX)),
  ['--test-concurrency=1'],
);
const results = parseResults(`${parallel.tap}\n${serial.tap}`);
const verdict = evaluateResults(results, known);
verdict.lines.forEach((line) => process.stderr.write(`${line}\n`));
// The runner can fail without a failed test, for example on a file that can't be loaded.
const unexplained = [parallel, serial].some(
  ({ tap, code }) => code !== 0 && parseResults(tap).failed.size === 0,
);
process.exitCode = verdict.ok && !unexplained && results.seen.size > 0 ? 0 : 1;
