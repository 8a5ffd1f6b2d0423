/** Overhead of an entry process and a gate on a request, compared with a direct request to the stand-in. */
import { fileURLToPath } from 'node:url';
import { Agent } from 'undici';
import { QuickstartCluster, waitReady } from '../tools/QuickstartCluster.js';
import { readUsage, report, quantiles, round } from './BenchReport.js';

const FOLDER = fileURLToPath(new URL('../../.quickstart/bench', import.meta.url));
const MANIFEST = {
  fleet: 'stockdesk',
  version: 1,
  availabilityZones: [{ name: 'ikeja', region: 'lagos-west' }],
  models: [{ name: 'stock-narrative' }],
  services: [{ name: 'stock-narrative', kind: 'model', model: 'stock-narrative' }],
  customers: [{ name: 'bench', maxInFlight: 10_000 }],
};

const LATENCY_REQUESTS = 2_000;
const STREAMS = 60;
const TOKENS = 1_000;
const TOKEN_MS = 5;

interface RequestTiming {
  readonly ms: number;
  readonly events: number;
  readonly gaps: readonly number[];
}

function countEvents(chunk: Buffer): number {
  return chunk.toString('latin1').split('\n\n').length - 1;
}

async function send(
  agent: Agent,
  address: string,
  tokens: number,
  stream: boolean,
): Promise<RequestTiming> {
  const startedAt = performance.now();
  const response = await agent.request({
    origin: `http://${address}`,
    path: '/v1/completions',
    method: 'POST',
    headers: { 'x-customer': 'bench', 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'stock-narrative', stream, max_tokens: tokens, prompt: 'shelf' }),
  });
  const gaps: number[] = [];
  let events = 0;
  let last = performance.now();
  // eslint-disable-next-line no-restricted-syntax -- a stream has no other way to be read in step
  for await (const chunk of response.body) {
    const now = performance.now();
    gaps.push(now - last);
    last = now;
    events += countEvents(chunk as Buffer);
  }
  if (response.statusCode !== 200) {
    throw new Error(`unexpected status ${response.statusCode}`);
  }
  return { ms: performance.now() - startedAt, events, gaps };
}

async function benchLatency(agent: Agent, address: string): Promise<readonly number[]> {
  const worker = async (count: number): Promise<readonly number[]> => {
    const all: number[] = [];
    for (let i = 0; i < count; i += 1) {
      // eslint-disable-next-line no-await-in-loop
      all.push((await send(agent, address, 1, false)).ms);
    }
    return all;
  };
  await worker(200);
  const parts = await Promise.all(
    Array.from({ length: 4 }, async () => worker(LATENCY_REQUESTS / 4)),
  );
  return parts.flat();
}

interface StreamTiming {
  readonly eventsPerSecond: number;
  readonly gaps: Readonly<Record<string, number>>;
}

async function benchStreams(agent: Agent, address: string): Promise<StreamTiming> {
  const startedAt = performance.now();
  const all = await Promise.all(
    Array.from({ length: STREAMS }, async () => send(agent, address, TOKENS, true)),
  );
  const seconds = (performance.now() - startedAt) / 1000;
  const events = all.reduce((sum, sent) => sum + sent.events, 0);
  return {
    eventsPerSecond: Math.round(events / seconds),
    gaps: quantiles(all.flatMap((sent) => sent.gaps)),
  };
}

async function startCluster(engine: readonly [number, number, number]): Promise<QuickstartCluster> {
  const cluster = new QuickstartCluster({
    folder: FOLDER,
    fleet: 'stockdesk',
    zones: ['ikeja'],
    entriesPerZone: 1,
    endpoints: [{ id: 'engine-1', zone: 'ikeja', service: 'stock-narrative', kind: 'engine' }],
    engine,
    logLevel: 'info',
  });
  await cluster.start();
  const { controls, entries } = cluster.addresses;
  const agent = new Agent();
  await agent.request({
    origin: `http://${controls[0] ?? ''}`,
    path: '/v1/manifests',
    method: 'POST',
    body: JSON.stringify(MANIFEST),
  });
  await waitReady(entries);
  return cluster;
}

async function withCluster(
  engine: readonly [number, number, number],
  run: (cluster: QuickstartCluster, agent: Agent) => Promise<void>,
): Promise<void> {
  const cluster = await startCluster(engine);
  const agent = new Agent({ connections: 256 });
  try {
    await run(cluster, agent);
  } finally {
    await agent.close();
    await cluster.processes.stopAll(5_000);
  }
}

/** Runs the bench. Nothing in it is random; the seed is only printed. */
export async function benchOverhead(seed: number): Promise<void> {
  await withCluster([1_000, 0, 0], async ({ addresses }, agent) => {
    const direct = quantiles(await benchLatency(agent, addresses.engines['engine-1'] ?? ''));
    const through = quantiles(await benchLatency(agent, addresses.entries[0] ?? ''));
    const added = (key: string): number => round((through[key] ?? 0) - (direct[key] ?? 0));
    report('overhead', {
      case: 'latency',
      seed,
      requests: LATENCY_REQUESTS,
      concurrency: 4,
      directMs: direct,
      throughMs: through,
      addedMs: { p50: added('p50'), p99: added('p99') },
    });
  });
  await withCluster([1_000, 0, TOKEN_MS], async ({ addresses, processes }, agent) => {
    const direct = await benchStreams(agent, addresses.engines['engine-1'] ?? '');
    const pids = ['entry-ikeja-1', 'engine-1'].map((name) => processes.get(name).pid ?? 0);
    const before = await Promise.all(pids.map(readUsage));
    const through = await benchStreams(agent, addresses.entries[0] ?? '');
    const after = await Promise.all(pids.map(readUsage));
    const perToken = (i: number): number =>
      round((((after[i]?.cpuMs ?? 0) - (before[i]?.cpuMs ?? 0)) * 1000) / (STREAMS * TOKENS));
    report('overhead', {
      case: 'streams',
      seed,
      streams: STREAMS,
      tokens: TOKENS,
      direct,
      through,
      ratio: round(through.eventsPerSecond / direct.eventsPerSecond),
      entryCpuUsPerToken: perToken(0),
      gateCpuUsPerToken: perToken(1),
      entryResidentMb: after[0]?.residentMb,
      gateResidentMb: after[1]?.residentMb,
    });
  });
}
