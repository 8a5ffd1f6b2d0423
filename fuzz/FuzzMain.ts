/** `npm run fuzz -- --seed 1 --cases 1000`: runs cases; prints each failed one and the result as a JSON line each. */
import { Command, Option, runExit } from 'clipanion';
import { runFuzz } from './FuzzRun.js';

function parsePositiveInteger(text: string, name: string): number {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value <= 0) {
    throw new Error(`${name}: "${text}" is not a positive integer`);
  }
  return value;
}

class FuzzCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'tests an entry with endpoints whose answers are altered at the byte level',
  });

  seed = Option.String('--seed', '1', { description: 'seed of the first case' });

  cases = Option.String('--cases', '1000', {
    description: 'number of cases, with consecutive seeds',
  });

  jobs = Option.String('--jobs', '16', { description: 'number of cases that run concurrently' });

  failures = Option.String('--failures', '5', {
    description: 'number of failed cases after which the run stops',
  });

  override async execute(): Promise<number> {
    const result = await runFuzz({
      seed: parsePositiveInteger(this.seed, '--seed'),
      cases: parsePositiveInteger(this.cases, '--cases'),
      jobs: parsePositiveInteger(this.jobs, '--jobs'),
      maxFailures: parsePositiveInteger(this.failures, '--failures'),
    });
    const { failures, ...figures } = result;
    failures.forEach((failure) => this.context.stdout.write(`${JSON.stringify(failure)}\n`));
    this.context.stdout.write(`${JSON.stringify({ ...figures, failures: failures.length })}\n`);
    return failures.length === 0 && figures.leaks.length === 0 ? 0 : 1;
  }
}

await runExit(FuzzCommand);
