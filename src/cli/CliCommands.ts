/**
 * The commands. Operators change the system by manifests, evacuations and quarantine releases; all other commands only
 * read.
 */
import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { FindingsError, formatFinding, parseManifest } from '../protocol/index.js';
import { callApi, parseAddresses, type ApiReply } from './CliClient.js';
import {
  formatDiff,
  formatEndpoints,
  formatEvacuation,
  formatGroups,
  formatManifest,
  formatQuarantine,
  formatRelease,
  formatStatus,
  formatSubmit,
} from './CliFormat.js';

/** Exit codes: the command failed, or its input is invalid. */
const EXIT_FAILED = 1;
const EXIT_INPUT = 2;

type Formatter = (body: never) => string;

/** Context that a command runs in. */
interface CommandContext {
  /** The command's argument; empty if it takes none. */
  readonly argument: string;
  /** Whether the command's flag is given; false if it has none. */
  readonly flag: boolean;
  readonly call: (method: 'GET' | 'POST', path: string, body?: string) => Promise<ApiReply>;
  /** Prints a body as text or JSON. */
  readonly print: (body: unknown, format: Formatter) => void;
  /** Prints an answer of the API and returns the exit code. */
  readonly finish: (reply: ApiReply, format: Formatter) => number;
}

interface CommandSpec {
  readonly path: readonly string[];
  readonly description: string;
  readonly argument?: string;
  readonly flag?: { readonly name: string; readonly description: string };
  readonly run: (ctx: CommandContext) => Promise<number>;
}

/** Reads and validates a file, so that findings are reported with their location before anything is sent. */
async function readManifest(file: string): Promise<string> {
  const text = await readFile(file, 'utf8');
  parseManifest(text);
  return text;
}

const SPECS: readonly CommandSpec[] = [
  {
    path: ['manifest', 'check'],
    description: 'Check a manifest file locally.',
    argument: 'file',
    run: async ({ argument, print }) => {
      const { fleet, version } = parseManifest(await readManifest(argument));
      print({ fleet, version, ok: true }, () => `${fleet} version ${version}: ok`);
      return 0;
    },
  },
  {
    path: ['manifest', 'diff'],
    description: 'Show what submitting a manifest would change. Changes nothing.',
    argument: 'file',
    run: async ({ argument, call, finish }) =>
      finish(await call('POST', '/v1/manifests/diff', await readManifest(argument)), formatDiff),
  },
  {
    path: ['manifest', 'submit'],
    description: 'Submit a complete manifest. Resending the same content gets the same answer.',
    argument: 'file',
    run: async ({ argument, call, finish }) =>
      finish(await call('POST', '/v1/manifests', await readManifest(argument)), formatSubmit),
  },
  {
    path: ['manifest', 'show'],
    description: 'Show the accepted manifest of a fleet.',
    argument: 'fleet',
    run: async ({ argument, call, finish }) =>
      finish(await call('GET', `/v1/manifests/${argument}`), formatManifest),
  },
  {
    path: ['status'],
    description: 'Show control processes, members and the configuration in force.',
    run: async ({ call, finish }) => finish(await call('GET', '/v1/status'), formatStatus),
  },
  {
    path: ['endpoints'],
    description: 'Show the endpoints that have announced themselves.',
    run: async ({ call, finish }) => finish(await call('GET', '/v1/endpoints'), formatEndpoints),
  },
  {
    path: ['groups'],
    description: 'Show groups of ranks and their coordinators.',
    run: async ({ call, finish }) => finish(await call('GET', '/v1/groups'), formatGroups),
  },
  {
    path: ['evacuate'],
    description: 'Send no more requests to the endpoints of a zone, or end that.',
    argument: 'zone',
    flag: { name: '--finish', description: 'End the evacuation' },
    run: async ({ argument, flag, call, finish }) => {
      const verb = flag ? 'finish' : 'begin';
      const path = `/v1/evacuations/${encodeURIComponent(argument)}/${verb}`;
      return finish(await call('POST', path), formatEvacuation);
    },
  },
  {
    path: ['quarantine', 'list'],
    description: 'Show requests that endpoints crashed on.',
    run: async ({ call, finish }) => finish(await call('GET', '/v1/quarantine'), formatQuarantine),
  },
  {
    path: ['quarantine', 'release'],
    description: 'Release a request from quarantine, by its digest.',
    argument: 'digest',
    run: async ({ argument, call, finish }) =>
      finish(await call('POST', `/v1/quarantine/${argument}/release`), formatRelease),
  },
];

function makeCommand(spec: CommandSpec) {
  return class ApiCommand extends Command {
    static override paths = [[...spec.path]];

    static override usage = Command.Usage({ description: spec.description });

    readonly api = Option.String('--api', {
      env: 'LABURNUMGAUGE_API',
      description: 'Addresses of the administration API, ip:port[,ip:port]',
    });

    readonly json = Option.Boolean('--json', false, { description: 'Print the answer as JSON' });

    readonly argument =
      spec.argument === undefined ? '' : Option.String({ name: spec.argument, required: true });

    readonly flag =
      spec.flag === undefined
        ? false
        : Option.Boolean(spec.flag.name, false, { description: spec.flag.description });

    async execute(): Promise<number> {
      try {
        return await spec.run({
          argument: this.argument,
          flag: this.flag,
          call: async (...args) => this.#call(...args),
          print: (...args) => this.#print(...args),
          finish: (...args) => this.#finish(...args),
        });
      } catch (err) {
        return this.#fail(err as Error);
      }
    }

    async #call(method: 'GET' | 'POST', path: string, body?: string): Promise<ApiReply> {
      return callApi(parseAddresses(this.api), method, path, body);
    }

    #print(body: unknown, format: Formatter): void {
      const text = this.json ? JSON.stringify(body, null, 2) : format(body as never);
      this.context.stdout.write(`${text}\n`);
    }

    #finish({ status, body }: ApiReply, format: Formatter): number {
      if (status === 200) {
        this.#print(body, format);
        return 0;
      }
      if (status === 409 || status === 503) {
        this.#print(body, formatSubmit);
      } else {
        this.context.stderr.write(`${JSON.stringify(body)}\n`);
      }
      return EXIT_FAILED;
    }

    #fail(err: Error): number {
      if (!(err instanceof FindingsError)) {
        this.context.stderr.write(`${err.message}\n`);
        return EXIT_FAILED;
      }
      this.#print({ findings: err.findings }, () =>
        [err.message, ...err.findings.map(formatFinding)].join('\n  '),
      );
      return EXIT_INPUT;
    }
  };
}

/** All commands. */
export const COMMANDS = SPECS.map(makeCommand);
