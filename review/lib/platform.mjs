/** Starts the project's programs, as the deploy file does, on loopback addresses with a small deployment's settings. */
import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const SETTINGS_VARIABLE = 'LABURNUMGAUGE_SETTINGS';
const CONTROL_PORT = 38_229;
const LINK_PORT = 37_340;

/** Port of every entry process for clients. */
export const CALLER_PORT = 38_227;

const READY_PORT = 38_220;

/** Port of every engine. */
export const ENGINE_PORT = 38_080;

/** Host name of every route. */
export const ROUTE_HOST = 'desk.example';

/** Key of the only tenant. */
export const KEY = 'n2ctnfzs989anu6wsjnb';

/** Third octet of an address by the kind of host. */
const OCTETS = { control: 31, entry: 32, endpoint: 33 };

const CORES = 3;

/** A case that takes longer is ended as one that couldn't run, ms. */
const CASE_TIMEOUT_MS = 110_000;

/** Bounds and other settings as the sheet of the site ikeo-stockdesk gives them. */
const SITE_SETTINGS = [
  'region=lagos-west',
  'zones.ikeja-hall=lagos-west',
  'bootstrap=true',
  'inTolerance=false',
  'discovery=registration',
  'entry=virtual_ip',
  'heartbeatMs=1200',
  'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,experts',
  'faultTolerance.machines=1',
  'faultTolerance.zones=1',
  'faultTolerance.regions=0',
  'bounds.seedLagS=3',
  'bounds.reuseAfterS=2',
  'bounds.contactMs=3000',
  'bounds.ackMs=4000',
  'bounds.catchUpS=4',
  'bounds.drainMs=2000',
  'bounds.graceS=8',
  'bounds.lossSlackMs=200',
  'bounds.configApplyMs=2000',
  'bounds.rollbackSlackMs=250',
  'bounds.partitionMs=5000',
  'bounds.strictRevocation=true',
  'bounds.revokeMs=5000',
  'bounds.retryBudgetRatio=0.2',
  'bounds.retryWindowS=10',
  'bounds.retryExtra=88',
  'bounds.recoveryS=12',
  'bounds.iterationMs=120',
  'bounds.retryAfterS=0',
  'bounds.stall_ms=1500',
  'bounds.fencingRequired=false',
  'configMode=highest',
];

/** Words of a role's command in the deploy file. */
async function commandOf(role) {
  const text = await readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (run === undefined) {
    throw new Error(`the deploy file has no command for ${role}`);
  }
  return run.split(' ');
}

async function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}

/** Second octet of a loopback net in which no port that the processes need is in use. */
async function findNet() {
  const first = 64 + (process.pid % 150);
  for (let net = first; net < 250; net += 1) {
    const needed = [
      [`127.${net}.31.1`, CONTROL_PORT],
      [`127.${net}.32.1`, CALLER_PORT],
      [`127.${net}.33.1`, ENGINE_PORT],
      [`127.${net}.31.1`, LINK_PORT],
    ];
    // eslint-disable-next-line no-await-in-loop
    const free = await Promise.all(needed.map(async ([host, port]) => isFree(host, port)));
    if (free.every(Boolean)) {
      return net;
    }
  }
  throw new Error('no free net on loopback');
}

/** Sends an HTTP call; resolves with its status and text. */
export async function call(host, port, method, url, body = null, timeoutMs = 1_000) {
  return new Promise((resolve, reject) => {
    const headers = body === null ? {} : { 'content-type': 'application/json' };
    const req = request({ host, port, method, path: url, headers, agent: false }, (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('end', () =>
        resolve({ status: res.statusCode, text: Buffer.concat(chunks).toString('utf8') }),
      );
      res.on('error', reject);
    });
    req.setTimeout(timeoutMs, () => req.destroy(new Error('timeout')));
    req.on('error', reject);
    req.end(body ?? undefined);
  });
}

/** Waits until a check resolves to true. Throws after `ms`. */
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
  throw new Error(`not in ${ms} ms: ${what}`);
}

/** The programs of one case. */
export class Platform {
  #folder = '';

  #net = 0;

  #children = new Map();

  /** Exits of processes, in order: name, code and signal. */
  exits = [];

  static async start({ entries, endpoints = 0, service = 'writers' }) {
    const platform = new Platform();
    setTimeout(() => {
      platform
        .stop()
        .catch(() => undefined)
        .finally(() => {
          // eslint-disable-next-line n/no-process-exit
          process.exit(2);
        });
    }, CASE_TIMEOUT_MS).unref();
    platform.#folder = await mkdtemp(path.join(tmpdir(), 'review-'));
    platform.#net = await findNet();
    platform.service = service;
    platform.entries = entries;
    const names = [
      ...Array.from({ length: CORES }, (_item, i) => `control-${i + 1}`),
      ...Array.from({ length: entries }, (_item, i) => `entry-${i + 1}`),
      ...Array.from({ length: endpoints }, (_item, i) => `endpoint-${i + 1}`),
    ];
    await Promise.all(names.map(async (name) => platform.startProcess(name, true)));
    return platform;
  }

  ip(name) {
    const [kind, n] = name.split('-');
    return `127.${this.#net}.${OCTETS[kind]}.${n}`;
  }

  /** Address of an engine's host that runs no program of the project. */
  engineIp(n) {
    return `127.${this.#net}.34.${n}`;
  }

  get controls() {
    return Array.from({ length: CORES }, (_item, i) => this.ip(`control-${i + 1}`));
  }

  /** Starts a process, for the first time or again. */
  async startProcess(name, isFirstStart) {
    const [kind] = name.split('-');
    const ip = this.ip(name);
    const file = path.join(this.#folder, `${name}.conf`);
    const listen = {
      control: [
        'machineClass=core',
        'serves=control_plane',
        `listen.control=${ip}:${CONTROL_PORT}`,
        `dataDir=${path.join(this.#folder, `data-${name}`)}`,
      ],
      entry: [
        'machineClass=edge',
        'serves=edge',
        `listen.frontend=${ip}:${CALLER_PORT}`,
        `listen.readiness=${ip}:${READY_PORT}`,
      ],
      endpoint: [
        'machineClass=side',
        'serves=side',
        `app=${ip}:${ENGINE_PORT}`,
        `service=${this.service}`,
      ],
    };
    const lines = [
      `nodeName=${name}`,
      `role=${kind}`,
      `ip=${ip}`,
      'zone=ikeja-hall',
      `internalPorts=${LINK_PORT},${LINK_PORT + 15}`,
      `seeds=${this.controls.map((host) => `${host}:${CONTROL_PORT}`).join(',')}`,
      ...SITE_SETTINGS.map((line) =>
        line.startsWith('bootstrap=') ? `bootstrap=${isFirstStart}` : line,
      ),
      ...listen[kind],
    ];
    await writeFile(file, `${lines.join('\n')}\n`);
    const [command, ...args] = await commandOf(kind);
    const child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, [SETTINGS_VARIABLE]: file },
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    child.once('exit', (code, signal) =>
      this.exits.push({ name, code, signal, at: performance.now() }),
    );
    this.#children.set(name, child);
  }

  /** Sends a signal to a process that this case has started. */
  signal(name, signal) {
    const child = this.#children.get(name);
    if (child !== undefined && child.exitCode === null && child.signalCode === null) {
      child.kill(signal);
    }
  }

  hasExited(name) {
    const child = this.#children.get(name);
    return child === undefined || child.exitCode !== null || child.signalCode !== null;
  }

  /** Status of a readiness check of an entry process; 0 where there is no answer. */
  async readiness(name) {
    try {
      const { status } = await call(this.ip(name), READY_PORT, 'GET', '/laburnumgauge/readyz');
      return status;
    } catch {
      return 0;
    }
  }

  async allReady() {
    const names = Array.from({ length: this.entries }, (_item, i) => `entry-${i + 1}`);
    const statuses = await Promise.all(names.map(async (name) => this.readiness(name)));
    return statuses.every((status) => status === 200);
  }

  /** Calls the control interface of one control process. */
  async control(n, method, url, body) {
    const host = this.ip(`control-${n}`);
    const text = body === undefined ? null : JSON.stringify(body);
    return call(host, CONTROL_PORT, method, url, text);
  }

  /** Sends a configuration to one control process after another until one acknowledges it; resolves with the time. */
  async configure(config) {
    let attempts = 0;
    await waitUntil(`version ${config.version} is acknowledged`, async () => {
      attempts += 1;
      const n = (attempts % CORES) + 1;
      const { status } = await this.control(n, 'POST', '/laburnumgauge/config/replace', config);
      return status === 200;
    });
    return performance.now();
  }

  /** Kills what still runs, waits for its end, and removes the folder. */
  async stop() {
    const running = [...this.#children.keys()].filter((name) => !this.hasExited(name));
    await Promise.all(
      running.map(async (name) => {
        const child = this.#children.get(name);
        const ended = new Promise((resolve) => {
          child.once('exit', resolve);
        });
        child.kill('SIGKILL');
        await ended;
      }),
    );
    await rm(this.#folder, { recursive: true, force: true });
  }
}

/** A configuration in the form of the pages, with the fields of streaming routes where a route names no others. */
export function configOf(version, routes, services) {
  return {
    version,
    routes: routes.map((route) => ({
      host: ROUTE_HOST,
      type: 'streaming',
      timeoutMs: 8_000,
      sloMs: 401,
      priority: 1,
      maxAttempts: 2,
      anonymous: false,
      sticky: true,
      resumable: true,
      itlTargetMs: 120,
      ...route,
    })),
    services,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'hule930', apiKeys: [KEY], priority: 1 }],
  };
}
