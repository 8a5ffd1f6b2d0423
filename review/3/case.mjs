/** Processes are killed together shortly after the deregistration of an engine was acknowledged; a heartbeat is late. */
import { setTimeout as delay } from 'node:timers/promises';
import { ask } from '../lib/client.mjs';
import { Engine } from '../lib/engine.mjs';
import { CALLER_PORT, configOf, Platform, waitUntil } from '../lib/platform.mjs';
import { finish } from '../lib/record.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
const ENTRIES = 6;
const KILLED = ['control-1', 'control-2', 'control-3', 'entry-1', 'entry-2'];
/** Time from the acknowledgement until the kill, and from there until the processes are back. */
const KILL_AFTER_MS = 500;
const RESTART_AFTER_MS = 500;
/** How late the last heartbeat before the deregistration arrives. */
const HEARTBEAT_DELAY_MS = 5_000;
const ASK_UNTIL_MS = 9_000;
/** Requests that reach one entry process at about the same time. */
const TOGETHER = 4;

const lines = [];
const log = (text) => lines.push(text);
const platform = await Platform.start({ entries: ENTRIES });
const engines = [1, 2, 3].map(
  (n) => new Engine(platform, `i-${n}`, 'lookups', platform.engineIp(n), { workMs: 21, slots: 6 }),
);
const [leaving] = engines;
let exitCode = 2;
try {
  await Promise.all(engines.map(async (engine) => engine.start()));
  await platform.configure(
    configOf(
      1,
      [
        {
          name: 'r-1',
          pathPrefix: '/puxa403/',
          service: 'lookups',
          type: 'idempotent',
          sloMs: 122,
          timeoutMs: 1_500,
          resumable: false,
          sticky: false,
        },
      ],
      [{ name: 'lookups', healthPath: '/healthz', maxConns: 96, protocol: 'h1', tls: false }],
    ),
  );
  await waitUntil('the entry processes are ready', async () => platform.allReady());
  await delay(CONTACT_MS + 1_000);
  // The engine's last heartbeat is on its way while it deregisters. It sends none after that.
  leaving.silence();
  const lateHeartbeat = leaving.heartbeat();
  const heartbeatAt = performance.now();
  await delay(400);
  const url = `/laburnumgauge/instances/${leaving.id}`;
  const { status } = await platform.control(1, 'POST', `${url}/deregister`, { born: leaving.born });
  const ackAt = performance.now();
  const since = (at) => Math.round(at - ackAt);
  if (status !== 200) {
    throw new Error(`deregistration: status ${status}`);
  }
  log(`deregistration of ${leaving.id} acknowledged by control-1 at 0 ms`);
  await delay(KILL_AFTER_MS);
  let backAt = ackAt;
  if (hasTrouble) {
    KILLED.forEach((name) => platform.signal(name, 'SIGKILL'));
    log(`SIGKILL to ${KILLED.join(', ')} at ${since(performance.now())} ms`);
    await waitUntil('they have ended', () => KILLED.every((name) => platform.hasExited(name)));
    await delay(RESTART_AFTER_MS);
    await Promise.all(KILLED.map(async (name) => platform.startProcess(name, false)));
    backAt = performance.now();
    log(`started again at ${since(backAt)} ms`);
  }
  await delay(Math.max(0, heartbeatAt + HEARTBEAT_DELAY_MS - performance.now()));
  const late = await platform.control(1, 'POST', `${url}/heartbeat`, lateHeartbeat);
  log(
    `heartbeat of ${leaving.id} (seq ${lateHeartbeat.seq}), sent at ${since(heartbeatAt)} ms, ` +
      `arrives at ${since(performance.now())} ms: status ${late.status}`,
  );
  // Twice the time after which calm machines are in touch.
  const inTouchAt = Math.max(backAt + 2 * CONTACT_MS + 200, ackAt + DRAIN_MS);
  await delay(Math.max(0, inTouchAt - performance.now()));
  const asked = [];
  while (performance.now() < ackAt + ASK_UNTIL_MS) {
    // Clients come in small groups, as the hash of the platform spreads them.
    const entry = `entry-${(Math.floor(asked.length / TOGETHER) % ENTRIES) + 1}`;
    const asking = ask(platform.ip(entry), CALLER_PORT, {
      id: `a-${asked.length}`,
      path: '/puxa403/2f',
      deadlineMs: 1_510,
    });
    asked.push(asking.then((answer) => ({ ...answer, entry })));
    // eslint-disable-next-line no-await-in-loop
    await delay(asked.length % TOGETHER === 0 ? 25 : 0);
  }
  const answers = await Promise.all(asked);
  const ran = new Map(engines.flatMap(({ runs, id }) => runs.map((run) => [run.id, id])));
  answers.forEach(({ id, entry, status: code, startedAt }) =>
    log(
      `${id}: sent to ${entry} at ${since(startedAt)} ms, run by ${ran.get(id) ?? 'none'}, ` +
        `status ${code}`,
    ),
  );
  const reached = answers.filter(
    ({ id, startedAt }) => ran.get(id) === leaving.id && startedAt > ackAt + DRAIN_MS,
  );
  log(`DRAIN: ${reached.length} of ${answers.length} requests reached ${leaving.id}`);
  exitCode = reached.length > 0 ? 1 : 0;
} catch (err) {
  log(`could not run: ${err.stack}`);
} finally {
  engines.forEach((engine) => engine.stop());
  await platform.stop();
}
await finish(import.meta.url, lines, exitCode);
