/** A core machine is replaced as planned, and another one loses its disk; no configuration can be read any more. */
import { setTimeout as delay } from 'node:timers/promises';
import { openAgent, send } from '../lib-2/client.mjs';
import { configOf, plainService, route } from '../lib-2/config.mjs';
import { ENGINE_PORT, Machines, waitUntil } from '../lib-2/machines.mjs';
import { countStatuses, hasTrouble, runCase } from '../lib-2/report.mjs';
import { answerPlain, StandInServer } from '../lib-2/server.mjs';

const SERVERS = 3;
const INTERVAL_MS = 100;

/** Time that the new machine has before the old one is removed, ms; catchUpS is 4 s. */
const CATCH_UP_MS = 8_000;

/** Time from the end of the old machine until another one loses its disk, and until that one is back, ms. */
const PAUSE_MS = Number(process.env.PAUSE ?? 1_000);
const DOWN_MS = 700;

/** How long the configuration is read at the end, ms; recoveryS is 12 s. */
const READ_MS = 40_000;
const READ_INTERVAL_MS = 500;

const ADDED = 'core-4';
const REMOVED = 'core-2';
const WIPED = 'core-3';

const machines = new Machines({ core: 3, edge: 2 });
const servers = [];

async function play(log) {
  await machines.start();
  for (let n = 1; n <= SERVERS; n += 1) {
    const host = machines.ip(`server-${n}`);
    const id = `desk-${n}`;
    servers.push(
      new StandInServer({ id, service: 'desk', host, port: ENGINE_PORT, answer: answerPlain }),
    );
  }
  await Promise.all(servers.map(async (server) => server.start(machines.controls)));
  const routes = [route('ask', 'idempotent', 'desk', { timeoutMs: 1_500, sloMs: 122 })];
  const services = [plainService('desk')];
  await machines.replaceConfig(configOf(1, routes, services));
  await waitUntil('all edge machines are ready', async () => machines.areReady());
  await delay(3_000);

  const sent = [];
  const agent = openAgent();
  const edges = machines.names('edge').map((name) => machines.frontend(name));
  let turn = 0;
  const timer = setInterval(() => {
    turn += 1;
    send({ agent, at: edges[turn % edges.length], path: '/ask/stock', deadlineMs: 1_510 })
      .then((result) => sent.push(result))
      .catch((err) => log(err.message));
  }, INTERVAL_MS);

  await machines.startMachine(ADDED);
  log(`${ADDED} is started, with an empty disk`);
  await delay(CATCH_UP_MS);
  await machines.replaceConfig(configOf(4, routes, services));
  log('version 4 is acknowledged');
  await machines.signal(REMOVED, 'SIGTERM');
  await waitUntil(`${REMOVED} has ended`, async () => machines.hasEnded(REMOVED));
  log(`${REMOVED} has ended after SIGTERM, and is removed for good`);
  await delay(PAUSE_MS);
  if (hasTrouble) {
    await machines.signal(WIPED, 'SIGKILL');
    await machines.wipe(WIPED);
    await delay(DOWN_MS);
    await machines.startMachine(WIPED);
    log(`${WIPED} has lost its disk, and is started again`);
  }
  const disturbedAt = performance.now();
  const left = ['core-1', WIPED, ADDED];
  let answered = 0;
  let newest = null;
  const end = performance.now() + READ_MS;
  while (performance.now() < end) {
    // eslint-disable-next-line no-await-in-loop
    const versions = await Promise.all(left.map(async (name) => machines.readVersion(name)));
    const found = versions.filter((version) => version !== null);
    if (found.length > 0 && answered === 0) {
      log(`first read: version ${found.join(', ')}`);
    }
    answered += found.length;
    newest = found.length > 0 ? Math.max(...found) : newest;
    // eslint-disable-next-line no-await-in-loop
    await delay(READ_INTERVAL_MS);
  }
  clearInterval(timer);
  await delay(2_000);
  const late = sent.filter(({ sentAt }) => sentAt > disturbedAt + 12_000);
  const early = sent.filter(({ sentAt }) => sentAt < disturbedAt - 3_000);
  log(`requests before: ${countStatuses(early)}`);
  log(`requests later than recoveryS after: ${countStatuses(late)}`);
  log(
    `reads of the configuration answered in ${READ_MS} ms: ${answered}; newest version: ${newest}`,
  );
  return newest === null || newest < 4;
}

await runCase(import.meta.url, play, async () => {
  servers.forEach((server) => server.stop());
  await machines.stop();
});
