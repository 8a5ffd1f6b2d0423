/** A part of long prompts crashes each server that answers on it; requests with that part go on crashing servers. */
import { setTimeout as delay } from 'node:timers/promises';
import { openAgent, send } from '../lib-2/client.mjs';
import { configOf, plainService, route } from '../lib-2/config.mjs';
import { ENGINE_PORT, Machines, waitUntil } from '../lib-2/machines.mjs';
import { countStatuses, hasTrouble, runCase } from '../lib-2/report.mjs';
import { StandInServer } from '../lib-2/server.mjs';

const SERVERS = 6;

/** A crashed server is back after this time, ms. */
const DOWN_MS = 3_000;

/** Parts of each prompt, and the place of the one that crashes servers, from 0. */
const PARTS = 40;
const DEADLY_PLACE = Number(process.env.PLACE ?? 35);

const DEADLY_INTERVAL_MS = 3_400;
const SOUND_INTERVAL_MS = 100;
const CONTACT_MS = 3_000;
const LENGTH_MS = 50_000;

/** Crashes after which requests with the part must cease to reach servers, and how many may still do. */
const CRASHES = 5;
const MOST_AFTER = 3;

const machines = new Machines({ core: 3, edge: 2 });
const live = new Map();

/** The list of parts of a request's prompt; the last one is its own. */
function partsOf(count, isDeadly) {
  const shared = Array.from({ length: PARTS - 1 }, (_item, place) =>
    isDeadly && place === DEADLY_PLACE ? 'dead0001' : `5c1e${place.toString(16).padStart(4, '0')}`,
  );
  return [...shared, `e4${count.toString(16).padStart(6, '0')}`].map((id) => `${id}:20`).join(',');
}

async function play(log) {
  await machines.start();
  const state = { isOver: false, lives: 0 };
  const crashes = [];
  const startServer = async (n) => {
    state.lives += 1;
    const life = state.lives;
    const answer = async (req, res, head) => {
      res.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
      if (String(req.headers['prefix-hash']).includes('dead0001')) {
        crashes.push({ at: performance.now(), id: head['attempt-id'], server: life });
        log(`${head['attempt-id']} crashes writers-${life}`);
        live.get(n)?.stop();
        await delay(DOWN_MS);
        if (!state.isOver) {
          await startServer(n);
        }
        return;
      }
      for (let id = 1; id <= 20; id += 1) {
        // eslint-disable-next-line no-await-in-loop
        await delay(20);
        res.write(`id: ${id}\ndata: part\n\n`);
      }
      res.end();
    };
    const server = new StandInServer({
      id: `writers-${life}`,
      service: 'writers',
      host: machines.ip(`server-${n}`),
      port: ENGINE_PORT,
      answer,
    });
    live.set(n, server);
    await server.start(machines.controls);
  };
  for (let n = 1; n <= SERVERS; n += 1) {
    // eslint-disable-next-line no-await-in-loop
    await startServer(n);
  }
  const routes = [
    route('write', 'streaming', 'writers', {
      timeoutMs: 8_000,
      sloMs: 401,
      resumable: true,
      sticky: true,
      itlTargetMs: 120,
    }),
  ];
  await machines.replaceConfig(configOf(1, routes, [plainService('writers')]));
  await waitUntil('all edge machines are ready', async () => machines.areReady());
  await delay(4_000);

  const sound = [];
  const deadly = [];
  const agent = openAgent();
  const edges = machines.names('edge').map((name) => machines.frontend(name));
  let turn = 0;
  const sendOne = (isDeadly) => {
    turn += 1;
    send({
      agent,
      at: edges[Math.floor(turn / 2) % edges.length],
      path: '/write/note',
      method: 'POST',
      body: `note ${turn}`,
      deadlineMs: 8_022,
      patienceMs: 8_022,
      headers: { model: 'm', 'token-count': '800,100', 'prefix-hash': partsOf(turn, isDeadly) },
    })
      .then((result) => (isDeadly ? deadly : sound).push(result))
      .catch((err) => log(err.message));
  };
  const timers = [setInterval(() => sendOne(false), SOUND_INTERVAL_MS)];
  await delay(3_000);
  if (hasTrouble) {
    timers.push(setInterval(() => sendOne(true), DEADLY_INTERVAL_MS));
  }
  await delay(LENGTH_MS);
  timers.forEach((timer) => clearInterval(timer));
  await delay(3_000);
  state.isOver = true;

  const fifthAt = crashes[CRASHES - 1]?.at ?? Infinity;
  const late = new Set(crashes.filter(({ at }) => at > fifthAt + CONTACT_MS).map(({ id }) => id));
  log(`sound: sent ${sound.length}; ${countStatuses(sound)}`);
  log(`with the part: sent ${deadly.length}; ${countStatuses(deadly)}; crashes: ${crashes.length}`);
  log(
    `requests with the part that reached servers later than contactMs after the fifth crash: ${late.size}`,
  );
  return late.size > MOST_AFTER;
}

await runCase(import.meta.url, play, async () => {
  live.forEach((server) => server.stop());
  await machines.stop();
});
