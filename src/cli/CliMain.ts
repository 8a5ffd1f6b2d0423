/** `laburnumgauge`: the operators' command line; it speaks to the administration API alone. */
import { Builtins, Cli } from 'clipanion';
import { COMMANDS } from './CliCommands.js';

const cli = new Cli({ binaryLabel: 'laburnumgauge', binaryName: 'laburnumgauge' });
COMMANDS.forEach((command) => cli.register(command));
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2));
