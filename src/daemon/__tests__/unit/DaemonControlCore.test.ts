import assert from 'node:assert/strict';
import { once } from 'node:events';
import { mkdtemp, rm } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { pino } from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { StateDataFolder } from '../../../state/index.js';
import { startControlCore } from '../../DaemonControlCore.js';
import type { Runtime } from '../../DaemonRuntime.js';
import { DaemonTestSwitch } from '../../DaemonTestSwitch.js';

/** A connection that hasn't been opened by then never is, ms. */
const CONNECT_LIMIT_MS = 10_000;

const RUNTIME: Runtime = {
  log: pino({ level: 'silent' }),
  now: () => performance.now(),
  clocks: () => ({ monotonic: performance.now(), wall: Date.now() }),
  rng: xoroshiro128plus(1),
  random: () => 0,
  incarnation: 1,
} as unknown as Runtime;

describe('startControlCore', () => {
  let folder = '';
  let stop = new AbortController();

  beforeEach(async () => {
    folder = await mkdtemp(path.join(os.tmpdir(), 'laburnumgauge-core-'));
    stop = new AbortController();
  });

  afterEach(async () => {
    mock.restoreAll();
    stop.abort();
    await rm(folder, { recursive: true, force: true });
  });

  // Guards against an election after a power loss that waits for the next periodic check to connect to its voters.
  it('connects to a member that only its log names as soon as it starts', async () => {
    const peer = createServer((socket) => socket.on('error', () => undefined));
    stop.signal.addEventListener('abort', () => peer.close());
    peer.listen(0, '127.0.0.1');
    await once(peer, 'listening');
    const { port } = peer.address() as AddressInfo;
    const data = await StateDataFolder.open(folder, 'own');
    const members = { voters: [data.identity.replica, 'peer.1'], learners: [] };
    const snapshot = { index: 0, term: 0, members, image: null };
    await data.append([{ kind: 'snapshot', snapshot }]);
    await data.close();
    // No periodic task runs.
    mock.method(globalThis, 'setInterval', () => undefined);
    const connected = once(peer, 'connection', { signal: AbortSignal.timeout(CONNECT_LIMIT_MS) });
    await startControlCore(
      {
        id: 'own',
        zone: 'z1',
        link: { host: '127.0.0.1', port: 1 },
        bind: { host: '127.0.0.1', port: 0 },
        dataFolder: folder,
        compactEvery: 64,
        lossesBorne: 1,
        founders: null,
        targets: () => [],
        locate: (name) => (name === 'peer' ? { host: '127.0.0.1', port } : undefined),
        retries: null,
        testSwitch: new DaemonTestSwitch(false, []),
      },
      RUNTIME,
      stop.signal,
    );
    const [socket] = (await connected) as [{ destroy: () => void }];
    assert.ok(socket);
    socket.destroy();
  });
});
