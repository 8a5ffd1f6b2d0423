/** Reads the logs given to a command, by file name or on standard input. */
import { readFile } from 'node:fs/promises';
import type { Readable, Writable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { parseLog, type LogLine } from './CliExplain.js';

/** Exit code of a command whose arguments or files can't be read. */
export const EXIT_INPUT = 2;

/** Streams of a command. */
interface CommandStreams {
  readonly stdin: Readable;
  readonly stdout: Writable;
  readonly stderr: Writable;
}

/** Reads all log lines of some files, or of standard input if there are none. Rejects if a file can't be read. */
async function readLogFiles(
  files: readonly string[],
  stdin: Readable,
): Promise<readonly LogLine[]> {
  const logs =
    files.length === 0
      ? [await text(stdin)]
      : await Promise.all(files.map(async (file) => readFile(file, 'utf8')));
  return logs.flatMap(parseLog);
}

/** Prints what `report` makes of some log files, or of standard input; resolves with the exit code. */
export async function reportLogFiles(
  files: readonly string[],
  { stdin, stdout, stderr }: CommandStreams,
  report: (log: readonly LogLine[]) => { readonly text: string; readonly exitCode: number },
): Promise<number> {
  let log: readonly LogLine[];
  try {
    log = await readLogFiles(files, stdin);
  } catch (err) {
    stderr.write(`${(err as Error).message}\n`);
    return EXIT_INPUT;
  }
  const { text: out, exitCode } = report(log);
  stdout.write(`${out}\n`);
  return exitCode;
}
