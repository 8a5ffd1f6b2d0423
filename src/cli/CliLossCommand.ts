/** `laburnumgauge loss [FILE…]`: attributes late and missing answers to causes, from logs. */
import { Command, Option } from 'clipanion';
import { EXIT_INPUT, reportLogFiles } from './CliLogFiles.js';
import { formatLoss, splitLoss } from './CliLoss.js';

/** Exit code if no request ends in the logs. */
const EXIT_EMPTY = 1;

const DEFAULT_WINDOW_S = 2;

export class LossCommand extends Command {
  static override paths = [['loss']];

  static override usage = Command.Usage({
    description: 'Attribute late and missing answers to causes, from log files or standard input.',
    examples: [['by windows of ten seconds', 'laburnumgauge loss --window 10 edge-*.log']],
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print the report as JSON' });

  readonly window = Option.String('--window', String(DEFAULT_WINDOW_S), {
    description: 'Length of a window in seconds',
  });

  readonly files = Option.Rest({ name: 'file' });

  async execute(): Promise<number> {
    const windowS = Number(this.window);
    if (!(windowS > 0)) {
      this.context.stderr.write(`--window: "${this.window}" is not a positive number of seconds\n`);
      return EXIT_INPUT;
    }
    return reportLogFiles(this.files, this.context, (log) => {
      const report = splitLoss(log, windowS);
      return {
        text: this.json ? JSON.stringify(report, null, 2) : formatLoss(report),
        exitCode: report.requests === 0 ? EXIT_EMPTY : 0,
      };
    });
  }
}
