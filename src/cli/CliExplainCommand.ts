/** `laburnumgauge explain REQUEST [FILE…]`: finds the cause of a request's result in logs. */
import { Command, Option } from 'clipanion';
import { explainRequest, formatExplanation, type LogLine } from './CliExplain.js';
import { readLogFiles } from './CliLogFiles.js';

/** Exit code if no line has the id. */
const EXIT_UNKNOWN = 1;
const EXIT_INPUT = 2;

export class ExplainCommand extends Command {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'Explain the result of a request, from log files or standard input.',
    examples: [['from files', 'laburnumgauge explain 39a5dde180d777f3 *.log']],
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print the answer as JSON' });

  readonly request = Option.String({ name: 'request', required: true });

  readonly files = Option.Rest({ name: 'file' });

  async execute(): Promise<number> {
    let log: readonly LogLine[];
    try {
      log = await readLogFiles(this.files, this.context.stdin);
    } catch (err) {
      this.context.stderr.write(`${(err as Error).message}\n`);
      return EXIT_INPUT;
    }
    const explanation = explainRequest(this.request, log);
    const out = this.json ? JSON.stringify(explanation, null, 2) : formatExplanation(explanation);
    this.context.stdout.write(`${out}\n`);
    return explanation.lines.length === 0 ? EXIT_UNKNOWN : 0;
  }
}
