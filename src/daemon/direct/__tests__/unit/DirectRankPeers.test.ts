import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createRuntime } from '../../../DaemonRuntime.js';
import type { RankReport } from '../../../../protocol/index.js';
import { DirectRank, type EngineClient } from '../../DirectRank.js';
import { DirectRankPeers } from '../../DirectRankPeers.js';
import { IDLE_REPORT } from '../../../../__tests__/utils/RankFixtures.js';

const REPORT: RankReport = { ...IDLE_REPORT, rank: 1, ranks: 2, heldStep: 12, active: 3 };

const ENGINE: EngineClient = {
  report: async () => REPORT,
  counts: async () => ({ epoch: 1, step: 10, counts: [[1]] }),
  experts: async () => [[0]],
  order: async () => 'accepted',
};

const ASK = { token: 1, withCounts: false, withExperts: false, outlook: null };

const runtime = createRuntime('test', 'endpoint', 'silent');

/** Peers of rank 0 in a group of two; the sidecar of rank 1 is at the port. */
function peersOf(port: number, signal: AbortSignal): DirectRankPeers {
  const own = new DirectRank(ENGINE, runtime.log);
  const peers = new DirectRankPeers(0, own, signal, runtime, () => ENGINE);
  peers.updateLinks(new Map([[1, { host: '127.0.0.1', port }]]));
  return peers;
}

describe('DirectRankPeers', () => {
  // The sidecar of a rank was the coordinator and has been killed while the group was held. Its successor needs that
  // rank's report to release the group, and all streams stall meanwhile. A refused connection shows at once that
  // there is no process to wait for.
  it('asks the engine at once where its sidecar refuses connections', async () => {
    const stop = new AbortController();
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    const peers = peersOf(port, stop.signal);
    await delay(200);
    const reply = await peers.ask(1, ASK);
    stop.abort();
    assert.deepEqual(reply, { fenced: false, report: REPORT, counts: null, experts: null });
  });

  // A sidecar that answers slowly still runs and fences orders; it can't fence orders that bypass it.
  it('waits for a sidecar that accepts connections', async () => {
    const stop = new AbortController();
    const sockets: Socket[] = [];
    const server = createServer((socket) => sockets.push(socket));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const peers = peersOf(port, stop.signal);
    await delay(200);
    await assert.rejects(peers.ask(1, ASK));
    stop.abort();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
});
