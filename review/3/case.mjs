/** Processes are killed together shortly after the deregistration of an engine was acknowledged; a heartbeat is late. */
import { setTimeout as delay } from 'node:timers/promises';
import { ask } from '../lib/client.mjs';
import { Engine } from '../lib/engine.mjs';
import { CALLER_PORT, configOf, Platform, waitUntil } from '../lib/platform.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
const ENTRIES = 6;
const KILLED = ['control-1', 'control-2', 'control-3', 'entry-1'];
/** Time from the acknowledgement until the kill, and from there until the processes are back. */
const KILL_AFTER_MS = 500;
const RESTART_AFTER_MS = 500;
/** How late the last heartbeat before the deregistration arrives. */
const HEARTBEAT_DELAY_MS = 5_000;
const ASK_UNTIL_MS = 9_000;
/** Plain calls that reach the entry process together, and how often: 5.45 a second on average, as on the sheet. */
const TOGETHER = 4;
const INTERVAL_MS = 734;

/** Adds a line to record.txt, to which run.sh directs the output. */
const log = (text) => process.stdout.write(`${text}\n`);
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
  const { status } = await platform.control(1, 'POST', `${url}/deregister`);
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
    for (let n = 0; n < TOGETHER; n += 1) {
      const asking = ask(platform.ip('entry-1'), CALLER_PORT, {
        id: `a-${asked.length}`,
        path: '/puxa403/2f',
        deadlineMs: 1_510,
      });
      asked.push(asking);
    }
    // eslint-disable-next-line no-await-in-loop
    await delay(INTERVAL_MS);
  }
  const answers = await Promise.all(asked);
  const ran = new Map(engines.flatMap(({ runs, id }) => runs.map((run) => [run.id, id])));
  answers.forEach(({ id, status: code, startedAt }) =>
    log(
      `${id}: sent to entry-1 at ${since(startedAt)} ms, run by ${ran.get(id) ?? 'none'}, ` +
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
// Connections of the stand-ins that are still open must not keep the process running.
// eslint-disable-next-line n/no-process-exit
process.exit(exitCode);
