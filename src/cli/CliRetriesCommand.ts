/** `laburnumgauge retries [FILE…]`: how near the retries of each service came to the allowance, from logs. */
import { Command, Option } from 'clipanion';
import type { LogLine } from './CliExplain.js';
import { readLogFiles } from './CliLogFiles.js';
import { formatRetries, reportRetries } from './CliRetries.js';

/** Exit code if the logs name no allowance. */
const EXIT_EMPTY = 1;
const EXIT_INPUT = 2;

export class RetriesCommand extends Command {
  static override paths = [['retries']];

  static override usage = Command.Usage({
    description:
      'Compare the retries of all entry hosts with the allowance, from log files or standard input.',
    examples: [['of one zone and the others', 'laburnumgauge retries edge-*.log']],
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print the report as JSON' });

  readonly files = Option.Rest({ name: 'file' });

  async execute(): Promise<number> {
    let log: readonly LogLine[];
    try {
      log = await readLogFiles(this.files, this.context.stdin);
    } catch (err) {
      this.context.stderr.write(`${(err as Error).message}\n`);
      return EXIT_INPUT;
    }
    const report = reportRetries(log);
    this.context.stdout.write(
      `${this.json ? JSON.stringify(report, null, 2) : formatRetries(report)}\n`,
    );
    return report.allowance === null ? EXIT_EMPTY : 0;
  }
}
