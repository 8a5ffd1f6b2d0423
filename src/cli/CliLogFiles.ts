/** Reads the logs given to a command, by file name or on standard input. */
import { readFile } from 'node:fs/promises';
import type { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { parseLog, type LogLine } from './CliExplain.js';

/** Reads all log lines of some files, or of standard input if there are none. Rejects if a file can't be read. */
export async function readLogFiles(
  files: readonly string[],
  stdin: Readable,
): Promise<readonly LogLine[]> {
  const logs =
    files.length === 0
      ? [await text(stdin)]
      : await Promise.all(files.map(async (file) => readFile(file, 'utf8')));
  return logs.flatMap(parseLog);
}
