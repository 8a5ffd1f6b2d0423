/** Cost of group leases at the leading control process. */
import type { QuickstartProcesses } from '../tools/QuickstartProcess.js';
import {
  attachProcess,
  bytesOf,
  startControl,
  submit,
  measureIdle,
} from './BenchControlProcess.js';
import { range, report } from './BenchReport.js';

/** Interval at which a holder renews its lease, ms. */
const RENEW_INTERVAL_MS = 2_000;

/** Cost of the leases of a number of groups. */
export interface GroupsCost {
  readonly groups: number;
  readonly cpuPercent: number;
  readonly bytesPerSecond: number;
}

interface Reply {
  readonly lease?: { readonly token: number };
}

/** Measures a number of groups, each with a holder that renews its lease, all over one link. */
export async function benchGroups(
  processes: QuickstartProcesses,
  groups: number,
  seed: number,
): Promise<GroupsCost> {
  const control = await startControl(processes);
  await submit(control, 10, 1);
  const holder = await attachProcess(control.port, 'endpoint', 0);
  const tokens = new Map<string, number>();
  const renew = async (group: string): Promise<void> => {
    const after = { token: tokens.get(group) ?? 0 };
    const leaseRequest = { group, holder: 'bench', durationMs: 6_000, after, observe: false };
    const reply = (await holder.link.request('lease.ask', leaseRequest)) as Reply;
    tokens.set(group, reply.lease?.token ?? 0);
  };
  const names = range(groups).map((i) => `group-${i}`);
  const timers = names.map((name, i) => {
    const start = setTimeout(
      () => {
        timers.push(setInterval(async () => renew(name).catch(() => undefined), RENEW_INTERVAL_MS));
      },
      (i * RENEW_INTERVAL_MS) / Math.max(1, groups),
    );
    return start;
  });
  await Promise.all(names.map(renew));
  await new Promise((resolve) => {
    setTimeout(resolve, RENEW_INTERVAL_MS * 2);
  });
  const spent = await measureIdle(control.pid, () => bytesOf([holder]));
  timers.forEach((timer) => clearTimeout(timer));
  holder.link.close();
  await processes.stop(control.name);
  const result = { groups, ...spent };
  report('control-cost', { case: 'groups', seed, ...result });
  return result;
}
