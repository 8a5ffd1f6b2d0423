/** Time until a new leader accepts a change, and until a change is in force at all processes. */
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { pack } from 'msgpackr';
import { request } from 'undici';
import { diffEntries, flattenManifest } from '../src/state/index.js';
import { QuickstartCluster, waitReady, waitUntil } from '../tools/QuickstartCluster.js';
import { makeManifest } from './BenchFixtures.js';
import { runSequentially, quantiles, range, report, round } from './BenchReport.js';

const FOLDER = fileURLToPath(new URL('../../.quickstart/recovery', import.meta.url));
const ZONES = ['az-1', 'az-4', 'az-7'] as const;
const CHANGES = 30;
const KILLS = 5;
const CUSTOMERS = 700;

interface Status {
  readonly controls: readonly { readonly name: string; readonly role: string }[];
  readonly inForce: number;
  readonly live: number;
  readonly configIndex: number;
}

async function status(address: string): Promise<Status> {
  const response = await request(`http://${address}/v1/status`);
  return (await response.body.json()) as Status;
}

async function submit(address: string, version: number): Promise<boolean> {
  const response = await request(`http://${address}/v1/manifests`, {
    method: 'POST',
    body: JSON.stringify(makeManifest(CUSTOMERS, version)),
  });
  await response.body.dump();
  return response.statusCode === 200;
}

async function waitInForce(address: string, processes: number): Promise<void> {
  await waitUntil('in force everywhere', 20_000, async () => {
    const { inForce, live } = await status(address);
    return inForce === processes && live === processes;
  });
}

/** Kills the leader; returns the time until another accepts a change, ms. */
async function killLeader(cluster: QuickstartCluster, version: number): Promise<number> {
  const { controls } = cluster.addresses;
  const names = ZONES.map((zone) => QuickstartCluster.controlName(zone));
  const rows = (await status(controls[0] ?? '')).controls;
  const leader = rows.find(({ role }) => role === 'leader')?.name ?? '';
  const other = controls[names.findIndex((name) => name !== leader)] ?? '';
  await cluster.processes.stop(leader, 'SIGKILL');
  const killedAt = performance.now();
  await waitUntil('a new leader', 20_000, async () => submit(other, version));
  const ms = performance.now() - killedAt;
  cluster.restart(leader);
  await waitReady(controls);
  await delay(1_000);
  return ms;
}

/** Runs the bench on a cluster of 3 control, 6 entry and 3 endpoint processes. */
export async function benchRecovery(seed: number): Promise<void> {
  const cluster = new QuickstartCluster({
    folder: FOLDER,
    fleet: 'fleet',
    zones: ZONES,
    entriesPerZone: 2,
    endpoints: ZONES.map((zone, i) => ({
      id: `engine-${zone}`,
      zone,
      service: `model-${i}`,
      kind: 'engine' as const,
    })),
    engine: [8, 5, 1],
    logLevel: 'warn',
  });
  try {
    await cluster.start();
    const [first = ''] = cluster.addresses.controls;
    await submit(first, 1);
    await waitReady(cluster.addresses.entries);
    const processes = cluster.addresses.entries.length + ZONES.length;
    await waitInForce(first, processes);
    const inForceMs = await runSequentially(range(CHANGES), async (i) => {
      const sentAt = performance.now();
      await submit(first, 2 + i);
      await waitInForce(first, processes);
      return performance.now() - sentAt;
    });
    const from = flattenManifest(makeManifest(CUSTOMERS, 1));
    const to = flattenManifest(makeManifest(CUSTOMERS, 2));
    const deltaBytes = pack({ from: 1, to: 2, ...diffEntries(from, to) }).length;
    const wholeBytes = pack({ from: 0, to: 2, set: to, del: [] }).length;
    report('recovery', {
      case: 'in force on all processes',
      seed,
      processes,
      changes: CHANGES,
      customers: CUSTOMERS,
      ms: quantiles(inForceMs),
      deltaBytes,
      wholeBytes,
      ratio: round(wholeBytes / deltaBytes),
    });
    const leaderMs = await runSequentially(range(KILLS), async (i) => killLeader(cluster, 100 + i));
    report('recovery', { case: 'new leader accepts', seed, kills: KILLS, ms: quantiles(leaderMs) });
  } finally {
    await cluster.processes.stopAll(3_000);
  }
}
