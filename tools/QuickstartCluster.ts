/** A whole system on loopback: availability zones with their control, entry and endpoint processes. */
import { mkdir, rm } from 'node:fs/promises';
import path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { allocateAddresses, QuickstartProcesses } from './QuickstartProcess.js';

/** Folder of the built programs, whether this file runs from source or from `dist`. */
const DIST = fileURLToPath(
  new URL(import.meta.url.includes('/dist/') ? '..' : '../dist', import.meta.url),
);
const DAEMON = path.join(DIST, 'src/daemon/DaemonMain.js');
const FAKE = path.join(DIST, 'fakes/FakeMain.js');

/** An engine or plain service with its endpoint process. */
export interface EndpointSpec {
  readonly id: string;
  readonly zone: string;
  readonly service: string;
  readonly kind: 'engine' | 'service';
  readonly group?: string;
  readonly ranks?: string;
}

/** Processes to start, and their settings. */
export interface ClusterSpec {
  readonly folder: string;
  readonly fleet: string;
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  readonly endpoints: readonly EndpointSpec[];
  /** Of each stand-in engine: slots, prefill time in ms, and ms between tokens. */
  readonly engine: readonly [number, number, number];
  readonly logLevel: string;
  readonly extraControlArgs?: readonly string[];
}

/** Addresses of the running processes, `ip:port`; engines by endpoint id. */
export interface ClusterAddresses {
  readonly controls: readonly string[];
  readonly entries: readonly string[];
  readonly engines: Readonly<Record<string, string>>;
}

/** Whether a process reports that it is ready. */
export async function isReady(address: string): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`http://${address}/readyz`);
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}

/** Polls until a check holds. @throws if it doesn't within `limitMs`. */
export async function waitUntil(
  what: string,
  limitMs: number,
  check: () => Promise<boolean>,
): Promise<void> {
  const until = performance.now() + limitMs;
  const poll = async (): Promise<void> => {
    if (await check()) {
      return;
    }
    if (performance.now() > until) {
      throw new Error(`timed out waiting for: ${what}`);
    }
    await delay(50);
    await poll();
  };
  await poll();
}

/** Waits until all processes report that they are ready. */
export async function waitReady(addresses: readonly string[], limitMs = 20_000): Promise<void> {
  await Promise.all(
    addresses.map(async (address) =>
      waitUntil(`${address} ready`, limitMs, async () => isReady(address)),
    ),
  );
}

/** Starts and restarts the processes of a cluster. */
export class QuickstartCluster {
  readonly #spec: ClusterSpec;

  readonly #processes: QuickstartProcesses;

  readonly #arguments = new Map<string, readonly string[]>();

  #addresses: ClusterAddresses = { controls: [], entries: [], engines: {} };

  constructor(spec: ClusterSpec) {
    this.#spec = spec;
    this.#processes = new QuickstartProcesses(spec.folder);
  }

  get addresses(): ClusterAddresses {
    return this.#addresses;
  }

  get processes(): QuickstartProcesses {
    return this.#processes;
  }

  /** Name of the control process of a zone. */
  static controlName(zone: string): string {
    return `control-${zone}`;
  }

  /** Starts control processes, stand-ins and endpoints, then entry processes. */
  async start(): Promise<void> {
    const { folder, zones, entriesPerZone, endpoints } = this.#spec;
    await rm(folder, { recursive: true, force: true });
    await mkdir(folder, { recursive: true });
    const count = zones.length * (2 + entriesPerZone) + endpoints.length * 2;
    const addresses = [...allocateAddresses(count)];
    const takeAddress = (): string => addresses.pop() ?? '';
    const links = zones.map((zone) => `${QuickstartCluster.controlName(zone)}=${takeAddress()}`);
    const control = links.join(',');
    const controls = zones.map((zone, i) =>
      this.#startControl(zone, links[i] ?? '', control, takeAddress()),
    );
    const engines = Object.fromEntries(
      endpoints.map((spec) => [
        spec.id,
        this.#startEndpoint(spec, control, takeAddress(), takeAddress()),
      ]),
    );
    const entries = zones.flatMap((zone) =>
      Array.from({ length: entriesPerZone }, (_item, i) =>
        this.#startEntry(`entry-${zone}-${i + 1}`, zone, control, takeAddress()),
      ),
    );
    this.#addresses = { controls, entries, engines };
    await waitReady(controls);
  }

  /** Starts a process again with its original arguments and further flags. */
  restart(name: string, flags: readonly string[] = []): void {
    this.#processes.start(name, DAEMON, [...(this.#arguments.get(name) ?? []), ...flags]);
  }

  /** Starts the stand-in behind an endpoint, again if it has run before. */
  restartFake(id: string): void {
    const name = `fake-${id}`;
    this.#processes.start(name, FAKE, this.#arguments.get(name) ?? []);
  }

  #daemon(name: string, args: readonly string[]): void {
    const all = [...args, '--log-level', this.#spec.logLevel];
    this.#arguments.set(name, all);
    this.#processes.start(name, DAEMON, all);
  }

  #startControl(zone: string, link: string, control: string, http: string): string {
    const id = QuickstartCluster.controlName(zone);
    const address = link.split('=')[1] ?? '';
    const folder = path.join(this.#spec.folder, 'data', id);
    this.#daemon(id, [
      ...['control', '--id', id, '--zone', zone, '--http', http, '--link', address],
      ...['--control', control, '--data-folder', folder],
      ...(this.#spec.extraControlArgs ?? []),
    ]);
    return http;
  }

  #startEndpoint(spec: EndpointSpec, control: string, http: string, engine: string): string {
    const { id, zone, service, kind, group, ranks } = spec;
    this.#arguments.set(`fake-${id}`, [kind, engine, ...this.#spec.engine.map(String)]);
    this.restartFake(id);
    this.#daemon(id, [
      ...['endpoint', '--id', id, '--zone', zone, '--http', http, '--control', control],
      ...['--zone-control', QuickstartCluster.controlName(zone)],
      ...['--engine', `http://${engine}`, '--fleet', this.#spec.fleet, '--service', service],
      ...['--slots', String(this.#spec.engine[0])],
      ...(group === undefined || ranks === undefined ? [] : ['--group', group, '--ranks', ranks]),
    ]);
    return engine;
  }

  #startEntry(id: string, zone: string, control: string, http: string): string {
    this.#daemon(id, [
      ...['entry', '--id', id, '--zone', zone, '--http', http, '--control', control],
      ...['--zone-control', QuickstartCluster.controlName(zone)],
    ]);
    return http;
  }
}
