/** `npm run quickstart`: starts the whole system on loopback, sends 200 requests and checks every answer. */
import { spawn } from 'node:child_process';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { QuickstartCluster, waitReady, waitUntil, type EndpointSpec } from './QuickstartCluster.js';
import { countRuns, makeCase, runLoad, type LoadResult } from './QuickstartLoad.js';

const REQUESTS = 200;
const CONCURRENCY = 20;
const LEAVING_ENDPOINT = 'stock-narrative-4';
const LEAVE_AFTER_ANSWERS = 80;

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const CLI = path.join(ROOT, 'dist/src/cli/CliMain.js');
const MANIFEST = path.join(ROOT, 'manifests/stockdesk.yaml');
const ZONES = ['ikeja', 'apapa', 'lekki'] as const;

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

const modelEndpoint = (n: number, zone: string, ranks?: string): EndpointSpec => ({
  id: `stock-narrative-${n}`,
  zone,
  service: 'stock-narrative',
  kind: 'engine',
  ...(ranks === undefined ? {} : { group: 'stock-group-1', ranks }),
});

const serviceEndpoint = (service: string, zone: string): EndpointSpec => ({
  id: `${service}-${zone}`,
  zone,
  service,
  kind: 'service',
});

const ENDPOINTS: readonly EndpointSpec[] = [
  modelEndpoint(1, 'ikeja', '0-3'),
  modelEndpoint(2, 'ikeja', '4-7'),
  modelEndpoint(3, 'apapa'),
  modelEndpoint(4, 'lekki'),
  serviceEndpoint('stock-lookup', 'ikeja'),
  serviceEndpoint('stock-lookup', 'lekki'),
  serviceEndpoint('reorder', 'apapa'),
];

async function runCli(args: readonly string[]): Promise<number | null> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [CLI, ...args], { stdio: 'inherit' });
    child.once('exit', resolve);
  });
}

async function fetchStatus(address: string): Promise<{ inForce: number; live: number }> {
  const response = await request(`http://${address}/v1/status`);
  return (await response.body.json()) as { inForce: number; live: number };
}

async function startSystem(cluster: QuickstartCluster): Promise<void> {
  const startedAt = performance.now();
  const since = (): string => `${((performance.now() - startedAt) / 1000).toFixed(1)} s`;
  await cluster.start();
  printLine(`3 control processes are up (${since()})`);
  const { controls, entries } = cluster.addresses;
  const code = await runCli(['manifest', 'submit', MANIFEST, '--api', controls.join(',')]);
  if (code !== 0) {
    throw new Error('the manifest was not accepted');
  }
  await waitReady(entries);
  const expected = entries.length + ENDPOINTS.length;
  await waitUntil('configuration in force everywhere', 15_000, async () => {
    const { inForce, live } = await fetchStatus(controls[0] ?? '');
    return live === expected && inForce === expected;
  });
  printLine(
    `${entries.length} entry and ${ENDPOINTS.length} endpoint processes are ready (${since()})`,
  );
  await runCli(['endpoints', '--api', controls.join(',')]);
}

interface Tally {
  readonly whole: number;
  readonly wrong: number;
  readonly lost: number;
}

async function sendAll(cluster: QuickstartCluster): Promise<Tally> {
  const { entries } = cluster.addresses;
  const tally = { whole: 0, wrong: 0, lost: 0 };
  let answered = 0;
  let exited: Promise<number | null> = Promise.resolve(0);
  const onResult = (i: number, result: LoadResult): void => {
    tally[result.verdict] += 1;
    answered += 1;
    if (result.verdict !== 'whole') {
      printLine(
        `request ${i} (${makeCase(i).path}): ${result.verdict} ${result.status} ${result.detail}`,
      );
    }
    if (answered === LEAVE_AFTER_ANSWERS) {
      printLine(`${LEAVING_ENDPOINT} leaves`);
      exited = cluster.processes.stop(LEAVING_ENDPOINT);
    }
    if (answered % 50 === 0) {
      printLine(`${answered} of ${REQUESTS} answered`);
    }
  };
  await runLoad(entries, REQUESTS, CONCURRENCY, onResult);
  const code = await exited;
  printLine(`${LEAVING_ENDPOINT} has left, exit code ${code}`);
  return code === 0 ? tally : { ...tally, lost: tally.lost + 1 };
}

async function countDoubled(cluster: QuickstartCluster): Promise<number> {
  const runs = await countRuns(Object.values(cluster.addresses.engines));
  return Array.from({ length: REQUESTS }, (_item, i) => makeCase(i)).filter(
    ({ marker, repeatable }) => !repeatable && (runs.get(marker) ?? 0) > 1,
  ).length;
}

function printUsage(cluster: QuickstartCluster): void {
  const { entries, controls } = cluster.addresses;
  const body = '{"model":"stock-narrative","stream":true,"max_tokens":8,"prompt":"shelf 3"}';
  printLine(`entry:   ${entries.join(' ')}`);
  printLine(`control: ${controls.join(' ')}  (export LABURNUMGAUGE_API=${controls.join(',')})`);
  printLine(
    `curl -N http://${entries[0]}/v1/completions -H 'x-customer: kano-pharmacy' -d '${body}'`,
  );
  printLine('stop with Ctrl-C');
}

async function main(): Promise<number> {
  const cluster = new QuickstartCluster({
    folder: path.join(ROOT, '.quickstart'),
    fleet: 'stockdesk',
    zones: ZONES,
    entriesPerZone: 2,
    endpoints: ENDPOINTS,
    engine: [8, 20, 3],
    logLevel: 'info',
  });
  try {
    await startSystem(cluster);
    const { whole, wrong, lost } = await sendAll(cluster);
    const doubled = await countDoubled(cluster);
    await runCli(['groups', '--api', cluster.addresses.controls.join(',')]);
    const line = `${REQUESTS} requests, ${whole} whole, ${wrong} wrong, ${doubled} doubled, ${lost} lost`;
    if (process.argv.includes('--keep')) {
      printUsage(cluster);
      await new Promise((resolve) => {
        process.once('SIGINT', resolve);
        process.once('SIGTERM', resolve);
      });
    }
    await cluster.processes.stopAll(8_000);
    printLine(`quickstart: ${line}`);
    return whole === REQUESTS && doubled === 0 ? 0 : 1;
  } catch (err) {
    printLine(`quickstart failed: ${(err as Error).message}; logs are in .quickstart/`);
    await cluster.processes.stopAll(2_000);
    return 1;
  }
}

process.exitCode = await main();
