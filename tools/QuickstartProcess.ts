/** Starts and stops the child processes of the quickstart. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import path from 'node:path';

/** A port that is free at the moment. */
export async function freePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      server.close(() => resolve(typeof address === 'object' ? (address?.port ?? 0) : 0));
    });
  });
}

/** Different ports that are free at the moment. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    // eslint-disable-next-line no-await-in-loop
    ports.add(await freePort());
  }
  return [...ports];
}

/** Port of all allocated addresses, below the range that the kernel uses for outgoing connections. */
const LISTEN_PORT = 7_400;

/** Number of addresses that a process allocates before it reuses the first. */
const MAX_ADDRESSES = 250;

let lastAllocated = 0;

/**
 * Allocates loopback addresses, `ip:port`, in a network derived from this process's id. A port that is merely free
 * could be taken by an outgoing connection before the process that it is meant for listens on it.
 */
export function allocateAddresses(count: number): readonly string[] {
  const net = process.pid % 2 ** 14;
  const prefix = `127.${64 + Math.floor(net / 256)}.${net % 256}`;
  return Array.from({ length: count }, () => {
    lastAllocated = (lastAllocated % MAX_ADDRESSES) + 1;
    return `${prefix}.${lastAllocated}:${LISTEN_PORT}`;
  });
}

/** A set of child processes that are stopped together. */
export class QuickstartProcesses {
  readonly #folder: string;

  readonly #children = new Map<string, ChildProcess>();

  constructor(folder: string) {
    this.#folder = folder;
  }

  /** Starts a Node.js program; its output is appended to `NAME.log`. */
  start(name: string, program: string, args: readonly string[]): ChildProcess {
    const log = createWriteStream(path.join(this.#folder, `${name}.log`), { flags: 'a' });
    const child = spawn(process.execPath, [program, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log, { end: false });
    this.#children.set(name, child);
    return child;
  }

  get(name: string): ChildProcess {
    const child = this.#children.get(name);
    if (child === undefined) {
      throw new Error(`no process "${name}"`);
    }
    return child;
  }

  get names(): readonly string[] {
    return [...this.#children.keys()];
  }

  /** The last lines of each process's log. */
  async readLogs(lines: number): Promise<string> {
    const texts = await Promise.all(
      this.names.map(async (name) => {
        const file = path.join(this.#folder, `${name}.log`);
        const text = await readFile(file, 'utf8').catch((err: unknown) => String(err));
        return `--- ${name}\n${text.trimEnd().split('\n').slice(-lines).join('\n')}`;
      }),
    );
    return texts.join('\n');
  }

  /** Sends a signal; resolves with the exit code once the process has exited. */
  async stop(name: string, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    const child = this.get(name);
    if (child.exitCode !== null || child.signalCode !== null) {
      return child.exitCode;
    }
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', resolve);
    });
    child.kill(signal);
    return exited;
  }

  /** Stops all with SIGTERM, and with SIGKILL those that still run after `graceMs`. */
  async stopAll(graceMs: number): Promise<void> {
    const timer = setTimeout(() => {
      this.#children.forEach((child) => child.kill('SIGKILL'));
    }, graceMs);
    await Promise.all(this.names.map(async (name) => this.stop(name)));
    clearTimeout(timer);
  }
}
