/** `laburnumgauge explain REQUEST [FILE…]`: finds the cause of a request's result in logs. */
import { Command, Option } from 'clipanion';
import { explainRequest, formatExplanation } from './CliExplain.js';
import { reportLogFiles } from './CliLogFiles.js';

/** Exit code if no line has the id. */
const EXIT_UNKNOWN = 1;

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
    return reportLogFiles(this.files, this.context, (log) => {
      const explanation = explainRequest(this.request, log);
      return {
        text: this.json ? JSON.stringify(explanation, null, 2) : formatExplanation(explanation),
        exitCode: explanation.lines.length === 0 ? EXIT_UNKNOWN : 0,
      };
    });
  }
}
