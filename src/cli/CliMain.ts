/** `laburnumgauge`: the operators' command line, which calls the administration API or reads logs. */
import { Builtins, Cli } from 'clipanion';
import { COMMANDS } from './CliCommands.js';
import { ExplainCommand } from './CliExplainCommand.js';
import { LossCommand } from './CliLossCommand.js';
import { RetriesCommand } from './CliRetriesCommand.js';

const cli = new Cli({ binaryLabel: 'laburnumgauge', binaryName: 'laburnumgauge' });
COMMANDS.forEach((command) => cli.register(command));
cli.register(ExplainCommand);
cli.register(LossCommand);
cli.register(RetriesCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2));
