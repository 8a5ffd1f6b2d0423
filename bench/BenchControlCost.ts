/**
 * What control costs, as slopes: a real control process with so many processes attached (links from
 * the bench), and real entry and endpoint processes with so many members and customers known.
 */
import { mkdir } from 'node:fs/promises';
import { QuickstartProcesses } from '../tools/QuickstartProcess.js';
import { benchGroups } from './BenchControlGroups.js';
import { benchHub, benchSubmit, type HubCost } from './BenchControlHub.js';
import { benchEmpty, benchEndpoint, benchEntry } from './BenchControlNodes.js';
import { FOLDER } from './BenchControlProcess.js';
import { benchRoute, benchSubset } from './BenchControlPure.js';
import { fitLine, inTurn, report } from './BenchReport.js';

/** Members and customers that an entry process knows. */
const ENTRY_SIZES: readonly (readonly [number, number])[] = [
  [10, 10],
  [10, 2_000],
  [10, 7_300],
  [150, 10],
  [300, 10],
  [300, 7_300],
];

type Points = readonly (readonly [number, number])[];

function pick<T>(items: readonly T[], x: keyof T, y: keyof T): Points {
  return items.map((item) => [Number(item[x]), Number(item[y])]);
}

function slope(seed: number, of: string, per: string, points: Points): void {
  report('control-cost', { case: 'slope', seed, of, per, points, ...fitLine(points) });
}

/** Runs the bench; slopes come last. */
export async function benchControlCost(seed: number): Promise<void> {
  const processes = new QuickstartProcesses(FOLDER);
  await mkdir(FOLDER, { recursive: true });
  benchSubset(seed);
  const routes = [8, 33, 66, 132, 264].map((count) => benchRoute(count, seed));
  await benchEmpty(processes, seed);
  const submits = await inTurn([70, 700, 2_000, 7_300], async (customers) =>
    benchSubmit(processes, customers, seed),
  );
  const groups = await inTurn([0, 90, 180, 359], async (count) =>
    benchGroups(processes, count, seed),
  );
  const hubs = await inTurn([25, 100, 200, 350], async (count) => benchHub(processes, count, seed));
  const entries = await inTurn(ENTRY_SIZES, async ([members, customers]) =>
    benchEntry(processes, members, customers, seed),
  );
  await benchEndpoint(processes, seed);
  slope(seed, 'routing decision, us', 'endpoint of the service', routes);
  slope(seed, 'submission, ms', 'customer', pick(submits, 'customers', 'medianMs'));
  slope(seed, 'submission CPU, ms', 'customer', pick(submits, 'customers', 'cpuMs'));
  slope(seed, 'leases CPU, % of a core', 'group', pick(groups, 'groups', 'cpuPercent'));
  slope(seed, 'leases bytes/s', 'group', pick(groups, 'groups', 'bytesPerSecond'));
  const attached = (name: string, value: keyof HubCost): void =>
    slope(seed, name, 'process attached', pick(hubs, 'attached', value));
  attached('hub idle CPU, % of a core', 'idleCpuPercent');
  attached('hub idle bytes/s', 'idleBytesPerSecond');
  attached('hub growth, MB', 'grownMb');
  attached('hub CPU ms a change', 'cpuMsPerChange');
  attached('hub in force, ms', 'inForceMs');
  const byCustomers = entries.filter(({ members }) => members === 10);
  const byMembers = entries.filter(({ customers }) => customers === 10);
  slope(seed, 'entry resident, MB', 'customer', pick(byCustomers, 'customers', 'residentMb'));
  slope(seed, 'entry resident, MB', 'member', pick(byMembers, 'members', 'residentMb'));
  slope(seed, 'entry ready, ms', 'customer', pick(byCustomers, 'customers', 'readyMs'));
  await processes.stopAll(3_000);
}
