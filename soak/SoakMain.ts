/** `npm run soak -- --seed 1 --runs 10`: does soak runs and prints one JSON line for each. */
import { Command, Option, runExit } from 'clipanion';
import { runConfigSoak, type SoakConfigResult } from './SoakConfigRun.js';
import { runSoak, type SoakResult } from './SoakRun.js';

/** Control hosts that may be lost at once in a run with `--configuration`. */
const CONFIG_LOSSES_BORNE = 2;

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

  configuration = Option.Boolean('--configuration', false, {
    description: 'lose control hosts and disks, and read the configuration back',
  });

  controls = Option.String('--controls', '6', {
    description: 'control hosts of a run with --configuration, two of which may be lost at once',
  });

  rounds = Option.String('--rounds', '2', {
    description: 'losses of control hosts, one after the other, before power is lost',
  });

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

  async #run(seed: number): Promise<SoakResult | SoakConfigResult> {
    const entries = parsePositive(this.entries, '--entries');
    const logs = this.logs ? 'inherit' : 'ignore';
    if (this.configuration) {
      return runConfigSoak({
        seed,
        controls: parsePositive(this.controls, '--controls'),
        lossesBorne: CONFIG_LOSSES_BORNE,
        entries,
        rounds: parsePositive(this.rounds, '--rounds'),
        logs,
      });
    }
    return runSoak({
      seed,
      entries,
      logs,
      durationMs: parsePositive(this.seconds, '--seconds') * 1_000,
      faultsPerSecond: parsePositive(this.rate, '--rate'),
      endpoints: parsePositive(this.endpoints, '--endpoints'),
      callers: parsePositive(this.callers, '--callers'),
    });
  }
}

await runExit(SoakCommand);
