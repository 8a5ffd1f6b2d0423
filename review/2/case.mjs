/** A configuration takes the only tenant away, and with it its key. */
import { setTimeout as delay } from 'node:timers/promises';
import { ask } from '../lib/client.mjs';
import { Engine } from '../lib/engine.mjs';
import { CALLER_PORT, configOf, KEY, Platform, waitUntil } from '../lib/platform.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** With KEEP=1 the tenant stays in the list, without keys. */
const keepsTenant = process.env.KEEP === '1';
const CONTACT_MS = 3_000;
const REVOKE_MS = 5_000;
const ENTRIES = 2;
const REQUESTS = 24;
/** The sheet has 5.45 plain calls a second. */
const INTERVAL_MS = 184;
const UNKNOWN_KEY = 'never-in-a-configuration';

/** Adds a line to record.txt, to which run.sh directs the output. */
const log = (text) => process.stdout.write(`${text}\n`);
const platform = await Platform.start({ entries: ENTRIES });
const engines = [1, 2, 3].map(
  (n) => new Engine(platform, `i-${n}`, 'lookups', platform.engineIp(n), { workMs: 21, slots: 6 }),
);
const config = configOf(
  1,
  [
    {
      name: 'r-1',
      pathPrefix: '/puxa403/',
      service: 'lookups',
      type: 'non_idempotent',
      sloMs: 123,
      timeoutMs: 1_500,
      resumable: false,
      sticky: false,
    },
  ],
  [{ name: 'lookups', healthPath: '/healthz', maxConns: 96, protocol: 'h1', tls: false }],
);

/** Sends requests with a key and with an unknown one by turns, to one entry process after the other. */
async function askAll(name) {
  const asked = [];
  while (asked.length < REQUESTS) {
    const n = asked.length;
    const key = n % 4 === 3 ? UNKNOWN_KEY : KEY;
    const asking = ask(platform.ip(`entry-${(n % ENTRIES) + 1}`), CALLER_PORT, {
      id: `${name}-${n}`,
      path: '/puxa403/2f',
      deadlineMs: 1_514,
      headers: { authorization: `Bearer ${key}` },
    });
    asked.push(asking.then((answer) => ({ ...answer, key })));
    // eslint-disable-next-line no-await-in-loop
    await delay(INTERVAL_MS);
  }
  return Promise.all(asked);
}

let exitCode = 2;
try {
  await Promise.all(engines.map(async (engine) => engine.start()));
  await platform.configure(config);
  await waitUntil('the entry processes are ready', async () => platform.allReady());
  await delay(CONTACT_MS + 1_000);
  const before = await askAll('before');
  let ackAt = performance.now();
  if (hasTrouble) {
    const tenants = keepsTenant ? [{ ...config.tenants[0], apiKeys: [] }] : [];
    ackAt = await platform.configure({ ...config, version: 2, tenants });
    log(`version 2, tenants ${JSON.stringify(tenants)}, acknowledged at 0 ms`);
  }
  await delay(Math.max(0, ackAt + REVOKE_MS + 500 - performance.now()));
  const after = await askAll('after');
  const read = await platform.control(2, 'GET', '/laburnumgauge/config/read');
  const inForce = JSON.parse(read.text);
  log(`read back: version ${inForce.version}, tenants ${JSON.stringify(inForce.tenants)}`);
  const ran = new Map(
    engines.flatMap((engine) => engine.runs.map((run) => [run.id, { ...run, id: engine.id }])),
  );
  [...before, ...after].forEach(({ id, key, status, startedAt }) => {
    const run = ran.get(id);
    log(
      `${id}: key ${key}, sent at ${Math.round(startedAt - ackAt)} ms, status ${status}, ` +
        `${run === undefined ? 'not run' : `run by ${run.id}, Tenant ${run.tenant ?? 'missing'}`}`,
    );
  });
  const sentLate = after.filter(({ startedAt }) => startedAt > ackAt + REVOKE_MS);
  const revoked = hasTrouble ? sentLate.filter(({ id, key }) => key === KEY && ran.has(id)) : [];
  const unknown = [...before, ...after].filter(({ id, key }) => key === UNKNOWN_KEY && ran.has(id));
  log(`CONFIG: ${revoked.length} requests with the revoked key have run`);
  log(`ROUTE: ${unknown.length} requests with a key that no configuration ever held have run`);
  exitCode = revoked.length + unknown.length > 0 ? 1 : 0;
} catch (err) {
  log(`could not run: ${err.stack}`);
} finally {
  engines.forEach((engine) => engine.stop());
  await platform.stop();
}
// Connections of the stand-ins that are still open must not keep the process running.
// eslint-disable-next-line n/no-process-exit
process.exit(exitCode);
