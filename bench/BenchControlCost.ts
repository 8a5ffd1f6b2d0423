/**
 * Cost of the control plane as slopes over size: a real control process with a number of attached processes
 * (links of the bench), and real entry and endpoint processes that know a number of members and customers.
 */
import { mkdir } from 'node:fs/promises';
import { QuickstartProcesses } from '../tools/QuickstartProcess.js';
import { benchGroups } from './BenchControlGroups.js';
import { benchHub, benchSubmit, type HubCost } from './BenchControlHub.js';
import { benchEmpty, benchEndpoint, benchEntry } from './BenchControlNodes.js';
import { FOLDER } from './BenchControlProcess.js';
import { benchRoute, benchSubset } from './BenchControlPure.js';
import { fitLine, runSequentially, report } from './BenchReport.js';

/** Numbers of members and customers that an entry process knows. */
const ENTRY_SIZES: readonly (readonly [number, number])[] = [
  [10, 10],
  [10, 2_000],
  [10, 7_300],
  [150, 10],
  [300, 10],
  [300, 7_300],
];

type Points = readonly (readonly [number, number])[];

function toPoints<T>(items: readonly T[], x: keyof T, y: keyof T): Points {
  return items.map((item) => [Number(item[x]), Number(item[y])]);
}

function reportSlope(seed: number, of: string, per: string, points: Points): void {
  report('control-cost', { case: 'slope', seed, of, per, points, ...fitLine(points) });
}

/** Runs all cases, then prints the slopes. */
export async function benchControlCost(seed: number): Promise<void> {
  const processes = new QuickstartProcesses(FOLDER);
  await mkdir(FOLDER, { recursive: true });
  benchSubset(seed);
  const routes = [8, 33, 66, 132, 264].map((count) => benchRoute(count, seed));
  await benchEmpty(processes, seed);
  const submits = await runSequentially([70, 700, 2_000, 7_300], async (customers) =>
    benchSubmit(processes, customers, seed),
  );
  const groups = await runSequentially([0, 90, 180, 359], async (count) =>
    benchGroups(processes, count, seed),
  );
  const hubs = await runSequentially([25, 100, 200, 350], async (count) =>
    benchHub(processes, count, seed),
  );
  const entries = await runSequentially(ENTRY_SIZES, async ([members, customers]) =>
    benchEntry(processes, members, customers, seed),
  );
  await benchEndpoint(processes, seed);
  reportSlope(seed, 'routing decision, us', 'endpoint of the service', routes);
  reportSlope(seed, 'submission, ms', 'customer', toPoints(submits, 'customers', 'medianMs'));
  reportSlope(seed, 'submission CPU, ms', 'customer', toPoints(submits, 'customers', 'cpuMs'));
  reportSlope(seed, 'leases CPU, % of a core', 'group', toPoints(groups, 'groups', 'cpuPercent'));
  reportSlope(seed, 'leases bytes/s', 'group', toPoints(groups, 'groups', 'bytesPerSecond'));
  const reportHubSlope = (name: string, value: keyof HubCost): void =>
    reportSlope(seed, name, 'process attached', toPoints(hubs, 'attached', value));
  reportHubSlope('hub idle CPU, % of a core', 'idleCpuPercent');
  reportHubSlope('hub idle bytes/s', 'idleBytesPerSecond');
  reportHubSlope('hub growth, MB', 'grownMb');
  reportHubSlope('hub CPU ms a change', 'cpuMsPerChange');
  reportHubSlope('hub in force, ms', 'inForceMs');
  const byCustomers = entries.filter(({ members }) => members === 10);
  const byMembers = entries.filter(({ customers }) => customers === 10);
  reportSlope(
    seed,
    'entry resident, MB',
    'customer',
    toPoints(byCustomers, 'customers', 'residentMb'),
  );
  reportSlope(seed, 'entry resident, MB', 'member', toPoints(byMembers, 'members', 'residentMb'));
  reportSlope(seed, 'entry ready, ms', 'customer', toPoints(byCustomers, 'customers', 'readyMs'));
  await processes.stopAll(3_000);
}
