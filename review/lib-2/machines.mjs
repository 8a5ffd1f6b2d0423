/** Starts the project's programs on loopback addresses, with the commands of the deploy file and small settings. */
import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { fetch } from 'undici';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

const CONTROL_PORT = 18229;
const CALLER_PORT = 18227;
const READY_PORT = 18220;
const LINK_PORT = 17340;
/** Port of every engine. */
export const ENGINE_PORT = 18080;

/** Third octet of a machine's address, by its class. */
const OCTETS = { core: 31, edge: 32, side: 33, server: 34 };

/** Role in the deploy file, and limit of the memory of a process in MB, by class of machine. */
const ROLES = { core: 'control', edge: 'entry', side: 'endpoint' };
export const MEMORY_MB = { core: 346, edge: 350, side: 218 };

const ZONES = ['z1', 'z2', 'z3'];

/** The command of a role, as the deploy file names it. */
async function commandOf(role) {
  const text = await readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const command = /run = "([^"]+)"/.exec(section)?.[1] ?? '';
  return command.split(' ');
}

async function isFree(host, port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}

/** A net, the second octet of all addresses of a run, in which no other run listens. */
async function findNet() {
  for (let i = 0; i < 100; i += 1) {
    const net = 64 + ((process.pid * 7 + i) % 190);
    // eslint-disable-next-line no-await-in-loop
    const free = await Promise.all([
      isFree(`127.${net}.${OCTETS.core}.1`, CONTROL_PORT),
      isFree(`127.${net}.${OCTETS.edge}.1`, CALLER_PORT),
      isFree(`127.${net}.${OCTETS.server}.1`, ENGINE_PORT),
    ]);
    if (free.every(Boolean)) {
      return net;
    }
  }
  throw new Error('no free addresses on loopback');
}

/** Waits until `check` resolves to true; throws after `ms`. */
export async function waitUntil(what, check, ms = 20_000) {
  const end = performance.now() + ms;
  while (performance.now() < end) {
    // eslint-disable-next-line no-await-in-loop
    if (await Promise.resolve(check()).catch(() => false)) {
      return;
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(50);
  }
  throw new Error(`not within ${ms} ms: ${what}`);
}

/** The machines of one run. */
export class Machines {
  #folder = '';

  #net = 0;

  #children = new Map();

  #counts;

  #settings;

  #bootstrap = true;

  constructor({ core = 3, edge = 2, side = 0, settings = [] }) {
    this.#counts = { core, edge, side };
    this.#settings = settings;
  }

  /** Starts all machines. */
  async start() {
    this.#folder = await mkdtemp(path.join(os.tmpdir(), 'review-2-'));
    this.#net = await findNet();
    const all = ['core', 'edge', 'side'].flatMap((kind) => this.names(kind));
    await Promise.all(all.map(async (name) => this.startMachine(name)));
    this.#bootstrap = false;
  }

  names(kind) {
    return Array.from({ length: this.#counts[kind] }, (_item, i) => `${kind}-${i + 1}`);
  }

  ip(name) {
    const [kind, n] = name.split('-');
    return `127.${this.#net}.${OCTETS[kind]}.${n}`;
  }

  get controls() {
    return this.names('core').map((name) => `${this.ip(name)}:${CONTROL_PORT}`);
  }

  /** Address of an edge machine for clients. */
  frontend(name) {
    return { host: this.ip(name), port: CALLER_PORT };
  }

  async startMachine(name) {
    const [kind, n] = name.split('-');
    const ip = this.ip(name);
    const seeds = this.names('core')
      .slice(0, 3)
      .map((core) => `${this.ip(core)}:${CONTROL_PORT}`);
    const own = {
      core: [`listen.control=${ip}:${CONTROL_PORT}`, `dataDir=${this.#folder}/data-${n}`],
      edge: [`listen.frontend=${ip}:${CALLER_PORT}`, `listen.readiness=${ip}:${READY_PORT}`],
      side: [`app=${ip}:${ENGINE_PORT}`, 'service=writers'],
    };
    const lines = [
      `nodeName=${name}`,
      `machineClass=${kind}`,
      `ip=${ip}`,
      `zone=${ZONES[(Number(n) - 1) % ZONES.length]}`,
      'region=r1',
      ...ZONES.map((zone) => `zones.${zone}=r1`),
      `internalPorts=${LINK_PORT},${LINK_PORT + 15}`,
      `seeds=${seeds.join(',')}`,
      `bootstrap=${this.#bootstrap}`,
      `limits.memoryMb=${MEMORY_MB[kind]}`,
      'heartbeatMs=1200',
      'faultTolerance.machines=1',
      'faultTolerance.zones=1',
      'bounds.contactMs=3000',
      'bounds.drainMs=2000',
      'bounds.graceS=8',
      'bounds.configApplyMs=2000',
      'bounds.strictRevocation=true',
      'bounds.revokeMs=5000',
      'bounds.retryBudgetRatio=0.2',
      'bounds.retryWindowS=10',
      'bounds.retryExtra=88',
      'bounds.stall_ms=1500',
      'configMode=highest',
      ...this.#settings,
      ...own[kind],
    ];
    const file = path.join(this.#folder, `${name}.conf`);
    await writeFile(file, `${lines.join('\n')}\n`);
    const [program, ...args] = await commandOf(ROLES[kind]);
    const command = program === 'node' ? process.execPath : program;
    const child = spawn(command, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        LABURNUMGAUGE_SETTINGS: file,
      },
      stdio: ['ignore', process.env.LOGS === '1' ? 'inherit' : 'ignore', 'inherit'],
    });
    this.#children.set(name, child);
  }

  /** Deletes the disk folder of a core machine. */
  async wipe(name) {
    await rm(path.join(this.#folder, `data-${name.split('-')[1]}`), { recursive: true });
  }

  /** Version of the configuration that a control machine reads; null if it answers otherwise or not within a second. */
  async readVersion(name) {
    const url = `http://${this.ip(name)}:${CONTROL_PORT}/laburnumgauge/config/read`;
    const res = await fetch(url, { signal: AbortSignal.timeout(1_000) }).catch(() => null);
    const text = await res?.text().catch(() => '');
    return res?.status === 200 ? JSON.parse(text).version : null;
  }

  /** Sends a signal; after SIGKILL, waits for the end of the process. */
  async signal(name, signal) {
    const child = this.#children.get(name);
    if (child === undefined || this.hasEnded(name)) {
      return;
    }
    child.kill(signal);
    if (signal === 'SIGKILL') {
      await new Promise((resolve) => {
        child.once('exit', resolve);
      });
    }
  }

  hasEnded(name) {
    const child = this.#children.get(name);
    return child === undefined || child.exitCode !== null || child.signalCode !== null;
  }

  /** Resident memory of a process, MB; 0 if it has ended. */
  async memoryMb(name) {
    const pid = this.#children.get(name)?.pid;
    const text = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
    return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? 0) / 1024;
  }

  /** Whether an edge machine answers its readiness check with 200 within a second. */
  async isReady(name) {
    const url = `http://${this.ip(name)}:${READY_PORT}/laburnumgauge/readyz`;
    const res = await fetch(url, { signal: AbortSignal.timeout(1_000) });
    await res.arrayBuffer();
    return res.status === 200;
  }

  async areReady() {
    const ready = await Promise.all(this.names('edge').map(async (name) => this.isReady(name)));
    return ready.every(Boolean);
  }

  /** Sends a configuration until a control machine acknowledges it; the time of the acknowledgement, ms. */
  async replaceConfig(config) {
    let turn = 0;
    await waitUntil(`configuration ${config.version} is acknowledged`, async () => {
      turn += 1;
      const control = this.controls[turn % this.controls.length];
      const res = await fetch(`http://${control}/laburnumgauge/config/replace`, {
        method: 'POST',
        body: JSON.stringify(config),
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(1_000),
      });
      await res.arrayBuffer();
      return res.status === 200;
    });
    return performance.now();
  }

  /** Ends all processes, and removes their files. */
  async stop() {
    await Promise.all([...this.#children.keys()].map(async (name) => this.signal(name, 'SIGKILL')));
    await rm(this.#folder, { recursive: true, force: true });
  }
}
