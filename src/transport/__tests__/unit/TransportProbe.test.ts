import assert from 'node:assert/strict';
import { createServer, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { probeAddress } from '../../TransportProbe.js';

/** Runs a task beside a server that does something with each connection. */
async function beside(
  host: string,
  onSocket: (socket: Socket) => void,
  task: (address: { host: string; port: number }) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    onSocket(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address() as { port: number };
  await task({ host, port });
  sockets.forEach((socket) => socket.destroy());
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
}

describe('a probe of an address', () => {
  it('tells a process that listens from one that has ended', async () => {
    let gone = { host: '127.0.0.1', port: 0 };
    await beside(
      '127.0.0.1',
      () => undefined,
      async (address) => {
        assert.equal(await probeAddress(address), 'open');
        gone = address;
      },
    );
    assert.equal(await probeAddress(gone), 'refused');
  });

  // A proxy takes the connection, finds nobody behind it and closes it: that tells nothing of the endpoint.
  it('says nothing where the connection is taken and closed', async () => {
    await beside(
      '127.0.0.1',
      (socket) => socket.destroy(),
      async (address) => assert.equal(await probeAddress(address), 'unknown'),
    );
  });
});
