/** `laburnumgauged`: one daemon, whose role is its subcommand. */
import { Builtins, Cli, Command, Option, type BaseContext } from 'clipanion';
import { FindingsError, formatFinding, type Role } from '../protocol/index.js';
import { waitForAbort, createRuntime, type Runtime } from './DaemonRuntime.js';
import {
  checkSettings,
  envName,
  settingNames,
  type RawSettings,
  type SettingsOf,
} from './DaemonSettings.js';

/** Exit code for invalid settings. */
const EXIT_SETTINGS = 2;

type Run<R extends Role> = (
  cfg: SettingsOf[R],
  runtime: Runtime,
  signal: AbortSignal,
) => Promise<void>;

/** Each role is imported only when it runs, to save memory in each process. */
const ROLES: { readonly [R in Role]: () => Promise<Run<R>> } = {
  control: async () => (await import('./DaemonControl.js')).runControl,
  entry: async () => (await import('./DaemonEntry.js')).runEntry,
  endpoint: async () => (await import('./DaemonEndpoint.js')).runEndpoint,
};

function onSignals(): AbortSignal {
  const abort = new AbortController();
  (['SIGTERM', 'SIGINT'] as const).forEach((name) => process.once(name, () => abort.abort()));
  return abort.signal;
}

async function start<R extends Role>(
  role: R,
  raw: RawSettings,
  stderr: BaseContext['stderr'],
): Promise<number> {
  let cfg: SettingsOf[R];
  try {
    cfg = checkSettings(role, raw);
  } catch (err) {
    if (!(err instanceof FindingsError)) {
      throw err;
    }
    const lines = [err.message, ...err.findings.map(formatFinding)];
    stderr.write(`${lines.join('\n  ')}\n`);
    return EXIT_SETTINGS;
  }
  const signal = onSignals();
  const runtime = createRuntime(cfg.id, role, cfg['log-level']);
  const run = await ROLES[role]();
  await run(cfg, runtime, signal);
  if (!signal.aborted) {
    await waitForAbort(signal);
  }
  runtime.log.info({ event: 'stop' }, 'stopped');
  return Number(process.exitCode ?? 0);
}

/** Creates the command of a role: each setting is a flag, or else an environment variable. */
function makeCommand(role: Role) {
  const names = settingNames(role);
  return class RoleCommand extends Command {
    static override paths = [[role]];

    static override usage = Command.Usage({ description: `Run a process of role ${role}.` });

    constructor() {
      super();
      const options = names.map((setting) => [
        setting,
        Option.String(`--${setting}`, { env: envName(setting) }),
      ]);
      Object.assign(this, Object.fromEntries(options));
    }

    async execute(): Promise<number> {
      const given = this as unknown as RawSettings;
      const raw = Object.fromEntries(names.map((setting) => [setting, given[setting]]));
      return start(role, raw, this.context.stderr);
    }
  };
}

const cli = new Cli({ binaryLabel: 'laburnumgauged', binaryName: 'laburnumgauged' });
(['control', 'entry', 'endpoint'] as const).forEach((role) => cli.register(makeCommand(role)));
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2));
// All work is done; idle keep-alive connections of callers must not keep the process running.
// eslint-disable-next-line n/no-process-exit
process.exit();
