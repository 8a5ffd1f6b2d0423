/** `laburnumgauge loss [FILE…]`: what a period of traffic has lost, by cause, from logs alone. */
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { Command, Option } from 'clipanion';
import { parseLog } from './CliExplain.js';
import { formatLoss, splitLoss } from './CliLoss.js';

/** Exit code where no request ends in what was read. */
const EXIT_EMPTY = 1;
const EXIT_INPUT = 2;

const USUAL_WINDOW_S = 2;

export class LossCommand extends Command {
  static override paths = [['loss']];

  static override usage = Command.Usage({
    description:
      'Split what was answered late or not at all by cause, from log files or standard input.',
    examples: [['by windows of ten seconds', 'laburnumgauge loss --window 10 edge-*.log']],
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print the report as JSON' });

  readonly window = Option.String('--window', String(USUAL_WINDOW_S), {
    description: 'Seconds of a window',
  });

  readonly files = Option.Rest({ name: 'file' });

  async execute(): Promise<number> {
    const windowS = Number(this.window);
    if (!(windowS > 0)) {
      this.context.stderr.write(`--window: "${this.window}" is no number of seconds above 0\n`);
      return EXIT_INPUT;
    }
    let logs: readonly string[];
    try {
      logs =
        this.files.length === 0
          ? [await text(this.context.stdin)]
          : await Promise.all(this.files.map(async (file) => readFile(file, 'utf8')));
    } catch (err) {
      this.context.stderr.write(`${(err as Error).message}\n`);
      return EXIT_INPUT;
    }
    const report = splitLoss(logs.flatMap(parseLog), windowS);
    this.context.stdout.write(
      `${this.json ? JSON.stringify(report, null, 2) : formatLoss(report)}\n`,
    );
    return report.requests === 0 ? EXIT_EMPTY : 0;
  }
}
