/** The record of a case and its exit code. */
import { writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

/** Writes `record.txt` beside the module of a case, and ends the process. */
export async function finish(moduleUrl, lines, exitCode) {
  const file = fileURLToPath(new URL('record.txt', moduleUrl));
  await writeFile(file, `${lines.join('\n')}\n`);
  // Connections of the stand-ins that are still open must not keep the process running.
  // eslint-disable-next-line n/no-process-exit
  process.exit(exitCode);
}
