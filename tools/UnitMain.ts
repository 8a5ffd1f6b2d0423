/** Runs the tests given as arguments; those in KNOWN-RED.txt are reported and passed over. */
import { spawn } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import {
  evaluateResults,
  parseKnownFailures,
  parseResults,
  type KnownFailure,
} from './UnitResults.js';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';

/** A test that takes longer has hung, ms. */
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

/** Runs the files, passes the output on, and gives it back with the exit code. */
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
// A runner that failed without a failed test, as on a file that can't be loaded, has failed.
const unexplained = code !== 0 && results.failed.size === 0;
process.exitCode = verdict.ok && !unexplained && results.seen.size > 0 ? 0 : 1;
