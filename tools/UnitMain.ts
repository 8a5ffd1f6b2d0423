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

/** Runs the test files; forwards their output, and returns it with the exit code. */
async function runTests(files: readonly string[]): Promise<{ tap: string; code: number }> {
  const args = ['--import', 'tsx', '--test', `--test-timeout=${TEST_TIMEOUT_MS}`, ...files];
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
const { tap, code } = await runTests(process.argv.slice(2));
const results = parseResults(tap);
const verdict = evaluateResults(results, known);
verdict.lines.forEach((line) => process.stderr.write(`${line}\n`));
// The runner can fail without a failed test, for example on a file that can't be loaded.
const unexplained = code !== 0 && results.failed.size === 0;
process.exitCode = verdict.ok && !unexplained && results.seen.size > 0 ? 0 : 1;
