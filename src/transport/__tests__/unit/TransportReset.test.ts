import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { resetSocket } from '../../TransportReset.js';

const CLOSE_MS = 2_000;

describe('a reset', () => {
  let server: Server;
  let port = 0;
  let peer: Socket;

  before(async () => {
    server = createServer({ allowHalfOpen: true });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    port = (server.address() as AddressInfo).port;
  });

  after(() => server.close());

  async function open(): Promise<Socket> {
    const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
    [[peer]] = (await Promise.all([once(server, 'connection'), once(socket, 'connect')])) as [
      [Socket],
      unknown,
    ];
    return socket;
  }

  it('is what the peer sees', async () => {
    const socket = await open();
    const failed = once(peer, 'error');
    resetSocket(socket);
    const [err] = (await failed) as [NodeJS.ErrnoException];
    assert.equal(err.code, 'ECONNRESET');
  });

  // Guards against: a reset in the middle of a socket's own end leaves it open, and its process never ends.
  it('closes a socket whose own end is under way', async () => {
    const socket = await open();
    peer.on('error', () => undefined).resume();
    const closed = once(socket, 'close', { signal: AbortSignal.timeout(CLOSE_MS) });
    socket.end();
    process.nextTick(() => process.nextTick(() => resetSocket(socket)));
    await closed;
    peer.destroy();
  });
});
