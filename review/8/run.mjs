/** All processes are killed together, twice; a request that had been held then crashes servers anew. */
import { setTimeout as delay } from 'node:timers/promises';
import { openAgent, send } from '../lib-2/client.mjs';
import { configOf, plainService, route } from '../lib-2/config.mjs';
import { ENGINE_PORT, Machines, waitUntil } from '../lib-2/machines.mjs';
import { countStatuses, hasTrouble, runCase } from '../lib-2/report.mjs';
import { answerPlain, StandInServer } from '../lib-2/server.mjs';

const SERVERS = 6;

/** A crashed server is back after this time, and a killed process, ms. */
const SERVER_DOWN_MS = 3_000;
const DOWN_MS = 700;

const DEADLY = 'a body that crashes its server';
const DEADLY_INTERVAL_MS = 5_000;
const SOUND_INTERVAL_MS = 100;

/** Times that the request comes between two kills, and how many kills there are. */
const DEADLY_PER_LIFE = 4;
const KILLS = 2;

const CONTACT_MS = 3_000;

/** Crashes after which the request must cease to reach servers, and how many retries may still do. */
const CRASHES = 3;
const MOST_AFTER = 3;

const machines = new Machines({ core: 3, edge: 2 });
const live = new Map();

async function play(log) {
  await machines.start();
  const state = { isOver: false, lives: 0 };
  const crashes = [];
  const startServer = async (n) => {
    state.lives += 1;
    const id = `desk-${state.lives}`;
    const answer = async (req, res, head, body) => {
      if (body.toString() !== DEADLY) {
        await answerPlain(req, res, head);
        return;
      }
      crashes.push({ at: performance.now(), id: head['attempt-id'] });
      log(`${head['attempt-id']} crashes ${id}`);
      await delay(10);
      live.get(n)?.stop();
      await delay(SERVER_DOWN_MS);
      if (!state.isOver) {
        await startServer(n);
      }
    };
    const host = machines.ip(`server-${n}`);
    const server = new StandInServer({ id, service: 'desk', host, port: ENGINE_PORT, answer });
    live.set(n, server);
    await server.start(machines.controls);
  };
  for (let n = 1; n <= SERVERS; n += 1) {
    // eslint-disable-next-line no-await-in-loop
    await startServer(n);
  }
  const routes = [route('ask', 'idempotent', 'desk', { timeoutMs: 1_500, sloMs: 122 })];
  await machines.replaceConfig(configOf(1, routes, [plainService('desk')]));
  await waitUntil('all edge machines are ready', async () => machines.areReady());
  await delay(4_000);

  const sound = [];
  const deadly = [];
  const agent = openAgent();
  const edges = machines.names('edge').map((name) => machines.frontend(name));
  let turn = 0;
  const sendOne = (body, list) => {
    turn += 1;
    send({
      agent,
      at: edges[Math.floor(turn / 2) % edges.length],
      path: '/ask/stock',
      method: 'POST',
      body,
      deadlineMs: 1_510,
    })
      .then((result) => list.push(result))
      .catch((err) => log(err.message));
  };
  const timer = setInterval(() => sendOne(`question ${turn}`, sound), SOUND_INTERVAL_MS);
  /** When the processes last started or were killed, ms; each is followed by contactMs out of touch. */
  const disturbedAt = [];
  const killAll = async () => {
    const all = [...machines.names('core'), ...machines.names('edge')];
    log('all processes are killed');
    disturbedAt.push(performance.now());
    await Promise.all(all.map(async (name) => machines.signal(name, 'SIGKILL')));
    await delay(DOWN_MS);
    await Promise.all(all.map(async (name) => machines.startMachine(name)));
    disturbedAt.push(performance.now());
    log('all processes are started again');
  };
  for (let life = 0; life <= KILLS; life += 1) {
    for (let i = 0; i < DEADLY_PER_LIFE; i += 1) {
      // eslint-disable-next-line no-await-in-loop
      await delay(DEADLY_INTERVAL_MS);
      sendOne(DEADLY, deadly);
    }
    if (hasTrouble && life < KILLS) {
      // eslint-disable-next-line no-await-in-loop
      await delay(300);
      // eslint-disable-next-line no-await-in-loop
      await killAll();
    }
  }
  await delay(2_000);
  clearInterval(timer);
  await delay(2_000);
  state.isOver = true;

  const thirdAt = crashes[CRASHES - 1]?.at ?? Infinity;
  const isInTouch = (at) => disturbedAt.every((since) => at < since || at - since > CONTACT_MS);
  const late = crashes.filter(({ at }) => at > thirdAt + CONTACT_MS && isInTouch(at));
  log(`sound: sent ${sound.length}; ${countStatuses(sound)}`);
  log(`the request: sent ${deadly.length}; ${countStatuses(deadly)}; crashes: ${crashes.length}`);
  log(`of these by machines in touch, later than contactMs after the third: ${late.length}`);
  return late.length > MOST_AFTER;
}

await runCase(import.meta.url, play, async () => {
  live.forEach((server) => server.stop());
  await machines.stop();
});
