/** Cost of a control process with a number of attached processes, and of submissions. */
import { setTimeout as delay } from 'node:timers/promises';
import { waitUntil } from '../tools/QuickstartCluster.js';
import type { QuickstartProcesses } from '../tools/QuickstartProcess.js';
import {
  attachProcess,
  bytesOf,
  startControl,
  submit,
  measureIdle,
} from './BenchControlProcess.js';
import { runSequentially, range, readUsage, report, round } from './BenchReport.js';

const CHANGES = 20;
const CHANGE_PAUSE_MS = 100;
const CUSTOMERS = 700;
const SUBMISSIONS = 10;

/** Cost of a control process with a number of attached processes. */
export interface HubCost {
  readonly attached: number;
  readonly joinMs: number;
  readonly idleCpuPercent: number;
  readonly idleBytesPerSecond: number;
  readonly residentMb: number;
  readonly grownMb: number;
  readonly cpuMsPerChange: number;
  readonly bytesPerChangePerProcess: number;
  readonly inForceMs: number;
}

/** Cost of submitting a manifest with a number of customers. */
export interface SubmitCost {
  readonly customers: number;
  readonly medianMs: number;
  readonly cpuMs: number;
  readonly residentMb: number;
}

/** Measures a control process with `count` attached processes, idle and under changes. */
export async function benchHub(
  processes: QuickstartProcesses,
  count: number,
  seed: number,
): Promise<HubCost> {
  const control = await startControl(processes);
  await submit(control, CUSTOMERS, 1);
  const empty = await readUsage(control.pid);
  const roles = (i: number): 'entry' | 'endpoint' => (i % 4 === 0 ? 'entry' : 'endpoint');
  const joinedAt = performance.now();
  const all = await Promise.all(
    Array.from({ length: count }, async (_item, i) => attachProcess(control.port, roles(i), i)),
  );
  await waitUntil('all hold the configuration', 60_000, async () =>
    all.every(({ index }) => index > 0),
  );
  const joinMs = performance.now() - joinedAt;
  await delay(1_000);
  const idle = await measureIdle(control.pid, () => bytesOf(all));
  const before = await readUsage(control.pid);
  const bytesBefore = bytesOf(all);
  const changeAt = performance.now();
  const latencies = await runSequentially(range(CHANGES), async (i) => {
    const sentAt = performance.now();
    const index = await submit(control, CUSTOMERS, 2 + i);
    await waitUntil('in force everywhere', 20_000, async () =>
      all.every((attached) => attached.index >= index),
    );
    const ms = Math.max(...all.map(({ appliedAt }) => appliedAt)) - sentAt;
    await delay(CHANGE_PAUSE_MS);
    return ms;
  });
  const seconds = (performance.now() - changeAt) / 1000;
  const after = await readUsage(control.pid);
  const idleBytes = idle.bytesPerSecond * seconds;
  const idleCpu = (idle.cpuPercent / 100) * seconds * 1000;
  const result: HubCost = {
    attached: count,
    joinMs: Math.round(joinMs),
    idleCpuPercent: idle.cpuPercent,
    idleBytesPerSecond: idle.bytesPerSecond,
    residentMb: after.residentMb,
    grownMb: round(after.residentMb - empty.residentMb),
    cpuMsPerChange: round((after.cpuMs - before.cpuMs - idleCpu) / CHANGES),
    bytesPerChangePerProcess: round((bytesOf(all) - bytesBefore - idleBytes) / CHANGES / count),
    inForceMs: round(Math.max(...latencies)),
  };
  report('control-cost', { case: 'hub', seed, ...result });
  all.forEach(({ link }) => link.close());
  await processes.stop(control.name);
  return result;
}

/** Measures submissions of a whole manifest that each change one customer. */
export async function benchSubmit(
  processes: QuickstartProcesses,
  customers: number,
  seed: number,
): Promise<SubmitCost> {
  const control = await startControl(processes);
  await submit(control, customers, 1);
  const before = await readUsage(control.pid);
  const times = await runSequentially(range(SUBMISSIONS), async (i) => {
    const startedAt = performance.now();
    await submit(control, customers, 2 + i);
    return performance.now() - startedAt;
  });
  const after = await readUsage(control.pid);
  const result: SubmitCost = {
    customers,
    medianMs: round([...times].sort((a, b) => a - b)[5] ?? 0),
    cpuMs: round((after.cpuMs - before.cpuMs) / times.length),
    residentMb: after.residentMb,
  };
  report('control-cost', { case: 'submit', seed, ...result });
  await processes.stop(control.name);
  return result;
}
