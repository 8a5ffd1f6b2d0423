/** A configuration moves the routes of a model service to another one while requests wait for a slot at the first. */
import { setTimeout as delay } from 'node:timers/promises';
import { ask } from '../lib/client.mjs';
import { Engine } from '../lib/engine.mjs';
import { CALLER_PORT, configOf, Platform, waitUntil } from '../lib/platform.mjs';
import { finish } from '../lib/record.mjs';
import { Group } from '../lib/group.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const TIMEOUT_MS = 3_000;
const OBJECTIVE_MS = 1_000;
const PATIENCE_MS = 4 * OBJECTIVE_MS;
const LATE_MS = 500;
const ENTRIES = 3;
const REQUESTS = 360;
const RANKS = 2;

const MODEL = {
  name: 'writers',
  healthPath: '/healthz',
  maxConns: 338,
  protocol: 'h1',
  tls: false,
  engine: {
    slots: 8,
    kvCapacity: 248_000,
    linkMbps: 44_000,
    stride: 5,
    models: [{ name: 'm' }],
    step_ms: 5.85,
    per_seq_ms: 0.5325,
    context_per_k: 0.054,
    read_per_s: 61_200,
    pairs_per_m: 0.325,
    chunk: 512,
    report_lag_ms: 200,
    usual: { prompt: 835, answer: 138 },
    sets: 1,
    experts: 8,
    placements: 5,
    spares: 2,
    expertMb: 780,
    expertFraction: 0.85,
    form_ms: 600,
  },
};
const PLAIN = { name: 'backup', healthPath: '/healthz', maxConns: 338, protocol: 'h1', tls: false };

const lines = [];
const log = (text) => lines.push(text);
const platform = await Platform.start({ entries: ENTRIES, endpoints: RANKS });
const group = new Group(RANKS);
const engines = [
  ...group.ranks.map(
    (rank, i) =>
      new Engine(platform, `i-${i + 1}`, 'writers', platform.ip(`endpoint-${i + 1}`), {
        events: 28,
        pauseMs: 40,
        rank,
      }),
  ),
  new Engine(platform, 'i-9', 'backup', platform.engineIp(9), { events: 28, pauseMs: 30 }),
];
const route = (service) => ({
  name: 'r-1',
  pathPrefix: '/lohu930/',
  service,
  timeoutMs: TIMEOUT_MS,
  sloMs: OBJECTIVE_MS,
});
let exitCode = 2;
try {
  await Promise.all(engines.map(async (engine) => engine.start()));
  await platform.configure(configOf(1, [route('writers')], [MODEL, PLAIN]));
  await waitUntil('the entry process is ready', async () => platform.allReady());
  await delay(4_000);
  const startedAt = performance.now();
  const asked = Array.from({ length: REQUESTS }, async (_item, i) =>
    ask(platform.ip(`entry-${(i % ENTRIES) + 1}`), CALLER_PORT, {
      id: `a-${i}`,
      path: '/lohu930/2f',
      deadlineMs: 8_022,
      patienceMs: PATIENCE_MS,
      headers: { model: 'm', 'token-count': '835,40', 'prefix-hash': `5c1e07a2:40,${i}abc:795` },
    }),
  );
  await delay(150);
  if (hasTrouble) {
    const services = process.env.KEEP === '1' ? [MODEL, PLAIN] : [PLAIN];
    const acknowledgedAt = await platform.configure(configOf(2, [route('backup')], services));
    log(`version 2 acknowledged at ${Math.round(acknowledgedAt - startedAt)} ms`);
  }
  const answers = await Promise.all(asked);
  const ran = new Set(engines.flatMap(({ runs }) => runs.map(({ id }) => id)));
  answers.forEach(({ id, status, events, whole, left, firstAt, endedAt }) =>
    log(
      `${id}: ${ran.has(id) ? 'run' : 'not run'}, status ${status}, ${events} events, ` +
        `${whole ? 'complete' : 'not complete'}${left ? ', the client left' : ''}, ` +
        `first byte at ${firstAt === undefined ? 'none' : Math.round(firstAt - startedAt)}, ` +
        `end at ${Math.round(endedAt - startedAt)} ms`,
    ),
  );
  const openAfter = (ms) => answers.filter((answer) => answer.endedAt - answer.startedAt > ms);
  const open = openAfter(TIMEOUT_MS);
  const late = openAfter(TIMEOUT_MS + LATE_MS);
  log(`unanswered at the timeout: ${open.length}; 0.5 s later: ${late.length}`);
  exitCode = late.length >= 8 && late.length * 2 > open.length ? 1 : 0;
} catch (err) {
  log(`could not run: ${err.stack}`);
} finally {
  group.stop();
  engines.forEach((engine) => engine.stop());
  await platform.stop();
}
await finish(import.meta.url, lines, exitCode);
