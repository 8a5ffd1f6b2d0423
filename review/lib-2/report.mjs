/** Writes a case's record, and ends the case with its exit code. */
import { writeFile } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

/** Whether the disruption of the case is played. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** How many results have each status; 0 stands for a closed connection, -1 for a client that left. */
export function countStatuses(results) {
  const counts = new Map();
  results.forEach(({ status }) => counts.set(status, (counts.get(status) ?? 0) + 1));
  return `by status ${[...counts].map((pair) => pair.join(': ')).join(', ')}`;
}

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/**
 * Runs a case: `play(log)` resolves with whether the rule was broken, and `stop` ends all processes. The record is
 * written beside the case's module.
 */
export async function runCase(moduleUrl, play, stop) {
  const lines = [`trouble: ${hasTrouble}`];
  const startedAt = performance.now();
  const log = (line) =>
    lines.push(`${String(Math.round(performance.now() - startedAt)).padStart(6)} ${line}`);
  let code = NOT_RUN;
  try {
    code = (await play(log)) ? BROKEN : HELD;
  } catch (err) {
    log(`the case could not run: ${err.stack}`);
  }
  await stop().catch((err) => log(`stop: ${err.message}`));
  log(`exit code ${code}`);
  const folder = path.dirname(fileURLToPath(moduleUrl));
  await writeFile(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  process.stdout.write(`${lines.slice(-12).join('\n')}\n`);
  // Connections of stand-ins may still be open.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
}
