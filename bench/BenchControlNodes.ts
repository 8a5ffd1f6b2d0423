/** Cost of the control plane at entry and endpoint processes, by the members and customers they know. */
import { setTimeout as delay } from 'node:timers/promises';
import { waitReady } from '../tools/QuickstartCluster.js';
import { freePorts, type QuickstartProcesses } from '../tools/QuickstartProcess.js';
import { attachProcess, DAEMON, startControl, submit, measureIdle } from './BenchControlProcess.js';
import { ZONES } from './BenchFixtures.js';
import { readUsage, report, type ProcessUsage } from './BenchReport.js';

/** Cost of an entry process that knows a number of members and customers. */
export interface EntryCost {
  readonly members: number;
  readonly customers: number;
  readonly readyMs: number;
  readonly idleCpuPercent: number;
  readonly residentMb: number;
}

/** Measures a real entry process that knows a number of members and customers. */
export async function benchEntry(
  processes: QuickstartProcesses,
  members: number,
  customers: number,
  seed: number,
): Promise<EntryCost> {
  const control = await startControl(processes);
  await submit(control, customers, 1);
  const all = await Promise.all(
    // Multiples of 33 place all members in the entry process's own region, so that it is notified of each.
    Array.from({ length: members }, async (_item, i) =>
      attachProcess(control.port, 'endpoint', i * 33),
    ),
  );
  const [port = 0] = await freePorts(1);
  const http = `127.0.0.1:${port}`;
  const startedAt = performance.now();
  const child = processes.start(`entry-${control.name}`, DAEMON, [
    ...['entry', '--id', 'entry-x', '--zone', ZONES[0]?.name ?? '', '--http', http],
    ...['--control', `c1=${control.link}`, '--log-level', 'warn'],
  ]);
  await waitReady([http], 120_000);
  const readyMs = performance.now() - startedAt;
  await delay(2_000);
  const idle = await measureIdle(child.pid ?? 0, () => 0);
  const usage = await readUsage(child.pid ?? 0);
  const result: EntryCost = {
    members,
    customers,
    readyMs: Math.round(readyMs),
    idleCpuPercent: idle.cpuPercent,
    residentMb: usage.residentMb,
  };
  report('control-cost', { case: 'entry', seed, ...result });
  await processes.stop(`entry-${control.name}`);
  all.forEach(({ link }) => link.close());
  await processes.stop(control.name);
  return result;
}

/** Measures an idle endpoint process. */
export async function benchEndpoint(processes: QuickstartProcesses, seed: number): Promise<void> {
  const control = await startControl(processes);
  await submit(control, 7_300, 1);
  const [port = 0] = await freePorts(1);
  const http = `127.0.0.1:${port}`;
  const child = processes.start('endpoint', DAEMON, [
    ...['endpoint', '--id', 'endpoint-x', '--zone', 'az-1', '--http', http],
    ...['--control', `c1=${control.link}`, '--log-level', 'warn'],
    ...['--engine', 'http://127.0.0.1:1', '--fleet', 'fleet', '--service', 'model-1'],
  ]);
  await waitReady([http]);
  await delay(2_000);
  const idle = await measureIdle(child.pid ?? 0, () => 0);
  const { residentMb } = await readUsage(child.pid ?? 0);
  report('control-cost', {
    case: 'endpoint',
    seed,
    customers: 7_300,
    idleCpuPercent: idle.cpuPercent,
    residentMb,
  });
  await processes.stop('endpoint');
  await processes.stop(control.name);
}

/** Measures the memory of an idle Node.js process, as the base for growth. */
export async function benchEmpty(
  processes: QuickstartProcesses,
  seed: number,
): Promise<ProcessUsage> {
  const child = processes.start('empty', '--eval', ['setInterval(() => undefined, 1000)']);
  await delay(1_000);
  const usage = await readUsage(child.pid ?? 0);
  report('control-cost', { case: 'empty', seed, residentMb: usage.residentMb });
  await processes.stop('empty');
  return usage;
}
