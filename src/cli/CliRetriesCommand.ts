/** `laburnumgauge retries [FILE…]`: how near the retries of each service came to the allowance, from logs. */
import { Command, Option } from 'clipanion';
import { reportLogFiles } from './CliLogFiles.js';
import { formatRetries, reportRetries } from './CliRetries.js';

/** Exit code if the logs name no allowance. */
const EXIT_EMPTY = 1;

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
    return reportLogFiles(this.files, this.context, (log) => {
      const report = reportRetries(log);
      return {
        text: this.json ? JSON.stringify(report, null, 2) : formatRetries(report),
        exitCode: report.allowance === null ? EXIT_EMPTY : 0,
      };
    });
  }
}
