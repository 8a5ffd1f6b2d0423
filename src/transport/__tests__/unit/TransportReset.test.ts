import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { resetSocket } from '../../TransportReset.js';

const CLOSE_MS = 2_000;

describe('resetSocket', () => {
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

  it('resets the connection of the peer', async () => {
    const socket = await open();
    const failed = once(peer, 'error');
    resetSocket(socket);
    const [err] = (await failed) as [NodeJS.ErrnoException];
    assert.equal(err.code, 'ECONNRESET');
  });

  // A reset while a socket's own end is in progress would leave it open, and its process would never exit.
  it('closes a socket whose own end is in progress', async () => {
    const socket = await open();
    peer.on('error', () => undefined).resume();
    const closed = once(socket, 'close', { signal: AbortSignal.timeout(CLOSE_MS) });
    socket.end();
    process.nextTick(() => process.nextTick(() => resetSocket(socket)));
    await closed;
    peer.destroy();
  });
});
