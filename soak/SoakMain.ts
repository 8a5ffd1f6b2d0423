/** `npm run soak -- --seed 1 --runs 10`: does soak runs and prints one JSON line for each. */
import { Command, Option, runExit } from 'clipanion';
import { runSoak, type SoakResult } from './SoakRun.js';

function parsePositive(text: string, name: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) {
    throw new Error(`${name}: "${text}" is not a number above 0`);
  }
  return value;
}

class SoakCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'runs the real processes under randomized faults and checks their guarantees',
  });

  seed = Option.String('--seed', '1', { description: 'seed of the first run' });

  runs = Option.String('--runs', '1', { description: 'number of runs, with consecutive seeds' });

  seconds = Option.String('--seconds', '20', {
    description: 'time during which each run injects faults',
  });

  rate = Option.String('--rate', '2', { description: 'faults per second' });

  entries = Option.String('--entries', '3', { description: 'entry hosts' });

  endpoints = Option.String('--endpoints', '4', {
    description: 'engines, each with an endpoint process',
  });

  callers = Option.String('--callers', '24', { description: 'concurrent callers' });

  jobs = Option.String('--jobs', '1', { description: 'runs in parallel' });

  logs = Option.Boolean('--logs', false, { description: 'print the logs of the processes' });

  override async execute(): Promise<number> {
    const firstSeed = parsePositive(this.seed, '--seed');
    const seeds = Array.from(
      { length: parsePositive(this.runs, '--runs') },
      (_item, i) => firstSeed + i,
    );
    const jobs = parsePositive(this.jobs, '--jobs');
    let failed = 0;
    const runSeeds = async (): Promise<void> => {
      for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        // Each worker does one run at a time.
        // eslint-disable-next-line no-await-in-loop
        const result = await this.#run(seed);
        failed += result.findings.length > 0 ? 1 : 0;
        this.context.stdout.write(`${JSON.stringify(result)}\n`);
      }
    };
    await Promise.all(Array.from({ length: jobs }, runSeeds));
    return failed === 0 ? 0 : 1;
  }

  async #run(seed: number): Promise<SoakResult> {
    return runSoak({
      seed,
      durationMs: parsePositive(this.seconds, '--seconds') * 1_000,
      faultsPerSecond: parsePositive(this.rate, '--rate'),
      entries: parsePositive(this.entries, '--entries'),
      endpoints: parsePositive(this.endpoints, '--endpoints'),
      callers: parsePositive(this.callers, '--callers'),
      logs: this.logs ? 'inherit' : 'ignore',
    });
  }
}

await runExit(SoakCommand);
