/** Processes and links of the `control-cost` bench. */
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import type { ConfigDelta, HelloMessage } from '../src/protocol/index.js';
import { TransportLink, withParts } from '../src/transport/index.js';
import { waitReady } from '../tools/QuickstartCluster.js';
import { freePorts, type QuickstartProcesses } from '../tools/QuickstartProcess.js';
import { makeManifest, makeMember } from './BenchFixtures.js';
import { readUsage, round } from './BenchReport.js';

/** Folder for the data and logs of the processes of this bench. */
export const FOLDER = fileURLToPath(new URL('../../.quickstart/control-cost', import.meta.url));
/** Path of the daemon's program. */
export const DAEMON = fileURLToPath(new URL('../src/daemon/DaemonMain.js', import.meta.url));
const IDLE_WINDOW_MS = 6_000;

/** A control process started by the bench. */
export interface ControlProcess {
  readonly name: string;
  readonly http: string;
  readonly link: string;
  readonly port: number;
  readonly pid: number;
}

let runs = 0;

/** Starts the only control process of a cluster. */
export async function startControl(processes: QuickstartProcesses): Promise<ControlProcess> {
  const [linkPort = 0, httpPort = 0] = await freePorts(2);
  const link = `127.0.0.1:${linkPort}`;
  const http = `127.0.0.1:${httpPort}`;
  runs += 1;
  const name = `control-${runs}`;
  const child = processes.start(name, DAEMON, [
    ...['control', '--id', 'c1', '--zone', 'az-1', '--http', http, '--link', link],
    ...['--control', `c1=${link}`, '--data-folder', `${FOLDER}/${name}-${process.pid}`],
    ...['--log-level', 'warn'],
  ]);
  await waitReady([http]);
  return { name, http, link, port: linkPort, pid: child.pid ?? 0 };
}

/** Submits a manifest; returns its log index. @throws if it isn't accepted. */
export async function submit(
  { http }: ControlProcess,
  customers: number,
  version: number,
): Promise<number> {
  const response = await request(`http://${http}/v1/manifests`, {
    method: 'POST',
    body: JSON.stringify(makeManifest(customers, version)),
  });
  const body = (await response.body.json()) as { result?: string; index?: number };
  if (body.result !== 'accepted') {
    throw new Error(`manifest not accepted: ${JSON.stringify(body)}`);
  }
  return body.index ?? 0;
}

/** An attached process that is simulated by its link. */
export interface AttachedProcess {
  readonly link: TransportLink;
  index: number;
  appliedAt: number;
}

/** Attaches a simulated process, which consists of its link only. */
export async function attachProcess(
  port: number,
  role: 'entry' | 'endpoint',
  i: number,
): Promise<AttachedProcess> {
  const socket = connect({ host: '127.0.0.1', port });
  await new Promise((resolve) => {
    socket.once('connect', resolve);
  });
  const state = { index: 0, appliedAt: 0 };
  const link = new TransportLink(
    socket,
    'hub',
    withParts({
      config: (delta, from) => {
        state.index = (delta as ConfigDelta).to;
        state.appliedAt = performance.now();
        from.notify('config.applied', { index: state.index });
      },
      directory: () => undefined,
    }),
  );
  const hello: HelloMessage = { record: makeMember(role, i), configIndex: 0 };
  await link.request('member.hello', hello, 20_000);
  return Object.assign(state, { link });
}

/** Bytes sent and received over all links. */
export function bytesOf(all: readonly AttachedProcess[]): number {
  return all.reduce((sum, { link }) => sum + link.bytes.sent + link.bytes.received, 0);
}

/** Usage of an idle process. */
export interface IdleCost {
  readonly cpuPercent: number;
  readonly bytesPerSecond: number;
}

/** Measures the CPU time of a process and its traffic over the idle window. */
export async function measureIdle(pid: number, bytes: () => number): Promise<IdleCost> {
  const before = await readUsage(pid);
  const bytesBefore = bytes();
  await delay(IDLE_WINDOW_MS);
  const after = await readUsage(pid);
  return {
    cpuPercent: round(((after.cpuMs - before.cpuMs) / IDLE_WINDOW_MS) * 100),
    bytesPerSecond: round((bytes() - bytesBefore) / (IDLE_WINDOW_MS / 1000)),
  };
}
